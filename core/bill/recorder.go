package bill

import (
	"fmt"
	"slices"

	"shallotrun/core/clock"
	"shallotrun/core/work"
)

const (
	ackWait       = 2 * clock.Second  // longest wait of a closed batch for missing acknowledgements of copies
	retryInterval = clock.Second      // between two attempts at the same step
	stopWait      = 3 * clock.Second  // in place of takerWait at a planned stop, so that the VM exits soon
	takerWait     = 60 * clock.Second // after which the owner bills a request that was taken over, because its taker may be lost
)

// Recorder is one VM's share of billing: its own bills, and copies of other VMs' bills. Set the exported fields before use.
// It is not safe for concurrent use.
type Recorder struct {
	Self       string     // name of this VM
	Inc        uint64     // its incarnation
	MaxAge     clock.Span // age at which a batch is closed
	MaxBills   int        // number of bills at which a batch is closed
	MaxPending int        // number of bills in memory at which Full reports true

	// Lost reports whether an incarnation of a VM has ended or has been silent for long. The result may be wrong.
	Lost func(name string, inc uint64) bool
	// PickHolder returns a VM to keep copies that is reachable now, or a Holder without a name if there is none.
	PickHolder func() Holder

	seq         uint64
	stopping    bool
	openBatches map[string]*batch  // by holder's name and incarnation
	batches     map[string]*batch  // by name
	singles     map[string]*single // by request
	takes       map[string]*take   // by request
	batched     map[string]bool    // requests in batches of this VM
	history     history
}

// batch is a batch of this VM, one that it took over, or one whose copies it keeps.
type batch struct {
	name      string
	owner     Holder
	holder    Holder // VM that keeps the copies; set only in batches of this VM
	bills     []*item
	opened    clock.Time
	closed    clock.Time // 0 while it is open
	created   bool       // the object exists, and its bills are known
	attempted clock.Time // last attempt to create or read the object, 0 if none; the first one fixes the set of bills
	mustRead  bool       // the object exists with unknown content
	pending   int        // bills that are not in the object and still have to get objects of their own
}

// item is a bill in a batch.
type item struct {
	bill          work.Bill
	requestHolder string // Holder of the request, as text
	accepted      bool   // may go into the batch: the copy is acknowledged, or the request has no copy holder
	copied        bool   // the batch's present copy holder has the bill
	copySent      clock.Time
}

// single is a bill that goes into the object of its request.
type single struct {
	bill       work.Bill
	owner      Holder // if it is lost, the VM with the copy creates the object
	due        clock.Time
	holder     Holder // VM that keeps the copy
	copied     bool
	copySent   clock.Time
	createSent bool
	origin     *batch // the batch whose object was created without this bill, or nil
}

// Record records the bill of a request that ends on this VM. holder is the result of PickHolder when the request started.
func (r *Recorder) Record(now clock.Time, b work.Bill, holder Holder) []Command {
	r.init()
	if t := r.takes[b.Request]; t != nil {
		return r.recordTaken(now, b, t)
	}
	if r.singles[b.Request] != nil || r.batched[b.Request] {
		return []Command{Finish{Request: b.Request}}
	}
	if holder.Name != "" && (r.Lost(holder.Name, holder.Inc) || now.Sub(holder.StartedAt) > maxRequestAge) {
		return r.recordSingle(now, b)
	}
	key := fmt.Sprintf("%s/%d", holder.Name, holder.Inc)
	p := r.openBatches[key]
	if p == nil {
		r.seq++
		p = &batch{
			name: fmt.Sprintf("%s-%d-%d", r.Self, r.Inc, r.seq), owner: r.self(),
			holder: Holder{Name: holder.Name, Inc: holder.Inc}, opened: now,
		}
		r.openBatches[key], r.batches[p.name] = p, p
	}
	i := &item{bill: b, requestHolder: holder.String(), copySent: now}
	p.bills = append(p.bills, i)
	r.batched[b.Request] = true
	if len(p.bills) >= r.MaxBills || r.stopping {
		r.close(now, p)
	}
	if holder.Name == "" {
		// No resume token names a holder, so that no other VM can take the request over.
		i.accepted = true
		return []Command{Finish{Request: b.Request, Uncopied: true}}
	}
	return []Command{SendCopy{To: holder.Name, Copy: Copy{Batch: p.name, Bill: b, Holder: i.requestHolder}}}
}

// CopyAnswered handles the answer of a copy holder to a copy.
func (r *Recorder) CopyAnswered(now clock.Time, c Copy, from string, a Answer) []Command {
	request := c.Bill.Request
	if c.Batch == "" {
		if s := r.singles[request]; s != nil && a == Accepted && s.holder.Name == from {
			s.copied = true
		}
		return []Command{Finish{Request: request, Uncopied: a != Accepted}}
	}
	p := r.batches[c.Batch]
	if p == nil || p.owner != r.self() {
		return nil
	}
	at := slices.IndexFunc(p.bills, func(i *item) bool { return i.bill.Request == request })
	if at < 0 {
		return nil
	}
	i := p.bills[at]
	switch a {
	case Accepted:
		// An acknowledgement after the first attempt to create the object is too late: the bill was not in it.
		i.accepted = i.accepted || p.attempted == 0
		i.copied = p.holder.Name == from
		return []Command{Finish{Request: request}}
	case Refused:
		if i.accepted {
			return nil // late answer to an earlier copy
		}
		p.bills = slices.Delete(p.bills, at, at+1)
		delete(r.batched, request)
		wait := takerWait
		if r.stopping {
			wait = stopWait // this VM cannot wait longer for the taker
		}
		r.addSingle(i.bill, now.Add(wait), nil)
		return []Command{Finish{Request: request, Err: ErrTakenOver}}
	default:
		r.close(now, p)
		return []Command{Finish{Request: request, Uncopied: true}}
	}
}

// CopyUnanswered handles a copy without an answer in time. The response to the request ends although no copy is confirmed.
func (r *Recorder) CopyUnanswered(_ clock.Time, c Copy) []Command {
	return []Command{Finish{Request: c.Bill.Request, Uncopied: true}}
}

// Full reports whether new requests have to be refused because too many bills are in memory.
func (r *Recorder) Full() bool { return r.Pending() >= r.MaxPending }

// Pending returns the number of bills in memory that the platform's store is not known to have, including copies for
// other VMs.
func (r *Recorder) Pending() int {
	n := len(r.singles)
	for _, p := range r.batches {
		n += len(p.bills)
	}
	return n
}

// Stop closes the open batches of this VM for a planned stop. The VM may exit when AllReplicated reports true.
func (r *Recorder) Stop(now clock.Time) {
	r.init()
	r.stopping = true
	for _, p := range r.openBatches {
		r.close(now, p)
	}
	for _, s := range r.singles {
		if s.owner == r.self() {
			s.due = min(s.due, now.Add(stopWait)) // do not wait longer for the taker
		}
	}
}

// AllStored reports whether the platform's store has every bill of this VM.
func (r *Recorder) AllStored() bool {
	for _, p := range r.batches {
		if p.owner == r.self() && len(p.bills) > 0 {
			return false
		}
	}
	for _, s := range r.singles {
		if s.owner == r.self() {
			return false
		}
	}
	return true
}

// AllReplicated reports whether every bill of this VM is in the platform's store or has a copy on another VM.
func (r *Recorder) AllReplicated() bool {
	for _, p := range r.batches {
		for _, i := range p.bills {
			if p.owner == r.self() && !i.copied {
				return false
			}
		}
	}
	for _, s := range r.singles {
		if s.owner == r.self() && !s.copied {
			return false
		}
	}
	return true
}

func (r *Recorder) init() {
	if r.openBatches == nil {
		r.openBatches, r.batches = map[string]*batch{}, map[string]*batch{}
		r.singles, r.takes = map[string]*single{}, map[string]*take{}
		r.batched = map[string]bool{}
	}
}

func (r *Recorder) self() Holder { return Holder{Name: r.Self, Inc: r.Inc} }

func (r *Recorder) close(now clock.Time, p *batch) {
	if p.closed == 0 {
		p.closed = now
	}
	for k, o := range r.openBatches {
		if o == p {
			delete(r.openBatches, k)
		}
	}
}

// recordSingle adds a bill that goes into the object of its request, and sends a copy of it.
func (r *Recorder) recordSingle(now clock.Time, b work.Bill) []Command {
	s := r.addSingle(b, now, nil)
	if s.holder = r.PickHolder(); s.holder.Name == "" {
		return []Command{Finish{Request: b.Request, Uncopied: true}}
	}
	s.copySent = now
	return []Command{SendCopy{To: s.holder.Name, Copy: Copy{Bill: b}}}
}

// addSingle makes this VM create the object of a request. Several bills for the request replace each other: any of them
// is safe, and the last one covers the most tokens.
func (r *Recorder) addSingle(b work.Bill, due clock.Time, origin *batch) *single {
	s := r.singles[b.Request]
	if s == nil {
		s = &single{due: due, origin: origin}
		r.singles[b.Request] = s
		if origin != nil {
			origin.pending++
		}
	}
	s.bill, s.owner, s.due, s.copied = b, r.self(), min(s.due, due), false
	return s
}
