package bill

import (
	"fmt"
	"slices"

	"shallotrun/core/clock"
	"shallotrun/core/work"
)

const (
	grace      = 2 * clock.Second  // wait of a closing batch for missing acknowledgements
	retryEvery = clock.Second      // between two tries of the same step
	stopWait   = 3 * clock.Second  // at a planned stop, for a copy at another VM
	laterAfter = 60 * clock.Second // a taker that has not billed by then may be lost
)

// Desk is one VM's part in billing. Set the exported fields before use. It is not safe for concurrent use.
type Desk struct {
	Self  string
	Inc   uint64
	Seal  clock.Span // age at which a batch is sealed
	Max   int        // bills at which a batch is sealed
	Bound int        // bills in memory at which Full reports true

	// Lost reports that an incarnation of a VM has ended or is silent for long. It may be wrong.
	Lost func(name string, inc uint64) bool
	// Pick chooses a VM that is reachable now to keep copies; no name if there is none.
	Pick func() Holder

	seq      uint64
	stopping bool
	open     map[string]*batch // by holder's name and incarnation
	batches  map[string]*batch // by name
	alone    map[string]*alone // by request
	takes    map[string]*take  // by request
	filed    map[string]bool   // requests in own batches
	guard    guard
}

// batch is a batch of this VM, or one that it took over or keeps copies of.
type batch struct {
	name   string
	owner  Holder
	holder Holder // of an own batch: who keeps the copies
	bills  []*item
	opened clock.Time
	closed clock.Time // 0 while it is open
	made   bool       // the object exists; the bills that remain are not in it
	tried  clock.Time // last try to create or read it; the set of bills is fixed from the first one on
	read   bool       // the object exists and has to be read
	out    int        // bills that are on their way alone because the object was made without them
}

// item is a bill in a batch.
type item struct {
	bill   work.Bill
	token  string // the request's holder
	held   bool   // may go into the batch
	copied bool   // the batch's present holder has it
	sent   clock.Time
}

// alone is a bill that goes into the object of its request.
type alone struct {
	bill   work.Bill
	owner  Holder // a lost owner makes the holder of the copy create the object
	due    clock.Time
	holder Holder // of the copy
	copied bool
	sent   clock.Time
	tried  bool
	from   *batch // the batch that was made without it
}

// File takes the bill of a request that ends here. holder is what Pick gave when the request started.
func (d *Desk) File(now clock.Time, b work.Bill, holder Holder) []Command {
	d.init()
	if t := d.takes[b.Request]; t != nil {
		return d.fileTaken(now, b, t)
	}
	if d.alone[b.Request] != nil || d.filed[b.Request] {
		return []Command{Done{Request: b.Request}}
	}
	if holder.Name != "" && (d.Lost(holder.Name, holder.Inc) || now.Sub(holder.At) > vouch) {
		return d.copyAlone(now, b)
	}
	key := fmt.Sprintf("%s/%d", holder.Name, holder.Inc)
	p := d.open[key]
	if p == nil {
		d.seq++
		p = &batch{
			name: fmt.Sprintf("%s-%d-%d", d.Self, d.Inc, d.seq), owner: d.self(),
			holder: Holder{Name: holder.Name, Inc: holder.Inc}, opened: now,
		}
		d.open[key], d.batches[p.name] = p, p
	}
	i := &item{bill: b, token: holder.String(), sent: now}
	p.bills = append(p.bills, i)
	d.filed[b.Request] = true
	if len(p.bills) >= d.Max || d.stopping {
		d.close(now, p)
	}
	if holder.Name == "" {
		// No resume token names a holder, so that no VM can take the request.
		i.held = true
		return []Command{Done{Request: b.Request, Uncopied: true}}
	}
	return []Command{SendCopy{To: holder.Name, Copy: Copy{Batch: p.name, Bill: b, Holder: i.token}}}
}

// Copied takes a holder's answer to a copy.
func (d *Desk) Copied(now clock.Time, c Copy, from string, a Answer) []Command {
	request := c.Bill.Request
	if c.Batch == "" {
		if s := d.alone[request]; s != nil && a == Held && s.holder.Name == from {
			s.copied = true
		}
		return []Command{Done{Request: request, Uncopied: a != Held}}
	}
	p := d.batches[c.Batch]
	if p == nil || p.owner != d.self() {
		return nil
	}
	at := slices.IndexFunc(p.bills, func(i *item) bool { return i.bill.Request == request })
	if at < 0 {
		return nil
	}
	i := p.bills[at]
	switch a {
	case Held:
		// A copy that is acknowledged after the first try to create the object does not count any more.
		i.held = i.held || p.tried == 0
		i.copied = p.holder.Name == from
		return []Command{Done{Request: request}}
	case Refused:
		if i.held {
			return nil // a late answer to an earlier copy
		}
		p.bills = slices.Delete(p.bills, at, at+1)
		delete(d.filed, request)
		wait := laterAfter
		if d.stopping {
			wait = stopWait // this VM cannot wait for the taker
		}
		d.putAlone(i.bill, now.Add(wait), nil)
		return []Command{Done{Request: request, Err: ErrTaken}}
	default:
		d.close(now, p)
		return []Command{Done{Request: request, Uncopied: true}}
	}
}

// CopyLost says that no answer to a copy came in time. The answer of the request ends without a copy.
func (d *Desk) CopyLost(_ clock.Time, c Copy) []Command {
	return []Command{Done{Request: c.Bill.Request, Uncopied: true}}
}

// Full reports that new work has to be refused because too many bills wait.
func (d *Desk) Full() bool { return d.Waiting() >= d.Bound }

// Waiting counts the bills in memory that are not known to be in the platform, copies included.
func (d *Desk) Waiting() int {
	n := len(d.alone)
	for _, p := range d.batches {
		n += len(p.bills)
	}
	return n
}

// Stop seals the own batches now. The VM may exit when Settled reports true.
func (d *Desk) Stop(now clock.Time) {
	d.init()
	d.stopping = true
	for _, p := range d.open {
		d.close(now, p)
	}
	for _, s := range d.alone {
		if s.owner == d.self() {
			s.due = min(s.due, now.Add(stopWait)) // no time is left to wait for the taker
		}
	}
}

// Stored reports that every bill of this VM is in the platform.
func (d *Desk) Stored() bool {
	for _, p := range d.batches {
		if p.owner == d.self() && len(p.bills) > 0 {
			return false
		}
	}
	for _, s := range d.alone {
		if s.owner == d.self() {
			return false
		}
	}
	return true
}

// Settled reports that every bill of this VM is in the platform, or at least at another VM.
func (d *Desk) Settled() bool {
	for _, p := range d.batches {
		for _, i := range p.bills {
			if p.owner == d.self() && !i.copied {
				return false
			}
		}
	}
	for _, s := range d.alone {
		if s.owner == d.self() && !s.copied {
			return false
		}
	}
	return true
}

func (d *Desk) init() {
	if d.open == nil {
		d.open, d.batches = map[string]*batch{}, map[string]*batch{}
		d.alone, d.takes = map[string]*alone{}, map[string]*take{}
		d.filed = map[string]bool{}
	}
}

func (d *Desk) self() Holder { return Holder{Name: d.Self, Inc: d.Inc} }

func (d *Desk) close(now clock.Time, p *batch) {
	if p.closed == 0 {
		p.closed = now
	}
	for k, o := range d.open {
		if o == p {
			delete(d.open, k)
		}
	}
}

// copyAlone files a bill into the object of its request.
func (d *Desk) copyAlone(now clock.Time, b work.Bill) []Command {
	s := d.putAlone(b, now, nil)
	if s.holder = d.Pick(); s.holder.Name == "" {
		return []Command{Done{Request: b.Request, Uncopied: true}}
	}
	s.sent = now
	return []Command{SendCopy{To: s.holder.Name, Copy: Copy{Bill: b}}}
}

// putAlone makes this VM responsible for the object of a request. Which of several bills for the request
// gets there does not matter for safety; the last one covers the most tokens.
func (d *Desk) putAlone(b work.Bill, due clock.Time, from *batch) *alone {
	s := d.alone[b.Request]
	if s == nil {
		s = &alone{due: due, from: from}
		d.alone[b.Request] = s
		if from != nil {
			from.out++
		}
	}
	s.bill, s.owner, s.due, s.copied = b, d.self(), min(s.due, due), false
	return s
}
