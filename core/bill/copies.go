package bill

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"shallotrun/core/clock"
)

// How long a holder vouches for a request after its start, and how long it remembers what it has said. All
// three are measured by the holder's clock alone, except that the start is stamped by the first VM: skew
// bounds the difference of the two clocks, and a request beyond it is not vouched for.
const (
	vouch = 30 * clock.Minute
	skew  = 5 * clock.Minute
	keep  = 60 * clock.Minute // has to be longer than vouch and skew together

	maxFiled = 100000 // in each of two generations, about 2 MB
	maxMarks = 10000
	recheck  = 10 * clock.Minute // a copy of that age is checked against the platform
)

// guard is the holder's memory of copies and takes, in two generations of at least keep.
type guard struct {
	filed, filedOld map[uint64]struct{} // hashes of requests with a copy
	marks, marksOld map[string]struct{} // requests that were taken
	began, marked   clock.Time          // start of the present generations
	floor           clock.Time          // copies of requests started before may have been forgotten
}

// Accept takes a copy from another VM.
func (d *Desk) Accept(now clock.Time, from Holder, c Copy) Reply {
	d.init()
	d.guard.turn(now)
	from.At = 0
	if c.Batch == "" {
		if s := d.alone[c.Bill.Request]; s == nil {
			d.alone[c.Bill.Request] = &alone{bill: c.Bill, owner: from, due: now.Add(recheck)}
		}
		return Reply{Held}
	}
	p := d.batches[c.Batch]
	if p != nil && slices.ContainsFunc(p.bills, func(i *item) bool { return i.held && i.bill.Request == c.Bill.Request }) {
		return Reply{Held}
	}
	if p != nil && p.closed != 0 {
		return Reply{Closed}
	}
	if c.Holder != "" {
		h, err := ParseHolder(c.Holder)
		if err != nil || !d.vouches(now, h) {
			return Reply{Stranger}
		}
		if d.guard.taken(c.Bill.Request) {
			return Reply{Refused}
		}
		d.guard.filed[xxhash.Sum64String(c.Bill.Request)] = struct{}{}
	}
	if p == nil {
		p = &batch{name: c.Batch, owner: from, opened: now}
		d.batches[c.Batch] = p
	}
	p.bills = append(p.bills, &item{bill: c.Bill, held: true})
	return Reply{Held}
}

// Mark takes another VM's wish to bill a request whose copies come here.
func (d *Desk) Mark(now clock.Time, t Take) Reply {
	d.init()
	d.guard.turn(now)
	h, err := ParseHolder(t.Holder)
	if err != nil || !d.vouches(now, h) || h.At <= d.guard.floor {
		return Reply{Stranger}
	}
	if d.guard.has(t.Request) {
		return Reply{Filed}
	}
	if !d.guard.taken(t.Request) {
		if len(d.guard.marks) >= maxMarks {
			return Reply{Stranger}
		}
		d.guard.marks[t.Request] = struct{}{}
	}
	return Reply{Marked}
}

// Drop takes an owner's word that bills are in the platform.
func (d *Desk) Drop(from Holder, s Sealed) Reply {
	from.At = 0
	if p := d.batches[s.Batch]; p != nil && p.owner == from {
		delete(d.batches, s.Batch)
	}
	if a := d.alone[s.Request]; a != nil && a.owner == from {
		delete(d.alone, s.Request)
	}
	return Reply{Held}
}

func (d *Desk) vouches(now clock.Time, h Holder) bool {
	return h.Name == d.Self && h.Inc == d.Inc && now.Sub(h.At) <= vouch && h.At.Sub(now) <= skew
}

// turn starts new generations. A generation that is full early raises the floor.
func (g *guard) turn(now clock.Time) {
	switch full := len(g.filed) >= maxFiled; {
	case g.filed == nil:
		g.filed, g.began = map[uint64]struct{}{}, now
	case full && now.Sub(g.began) < keep:
		g.floor = g.began.Add(skew)
		fallthrough
	case now.Sub(g.began) >= keep:
		g.filedOld, g.filed, g.began = g.filed, map[uint64]struct{}{}, now
	}
	if g.marks == nil || now.Sub(g.marked) >= keep {
		g.marksOld, g.marks, g.marked = g.marks, map[string]struct{}{}, now
	}
}

func (g *guard) has(request string) bool {
	h := xxhash.Sum64String(request)
	_, now := g.filed[h]
	_, old := g.filedOld[h]
	return now || old
}

func (g *guard) taken(request string) bool {
	_, now := g.marks[request]
	_, old := g.marksOld[request]
	return now || old
}
