package queue

import (
	"shallotrun/core/clock"
	"shallotrun/core/work"
)

const (
	// A deficit of one slot for this long counts like one slot missing now. It is short against the 10 s over
	// which the minimum shares are promised.
	creditSpan = 2 * clock.Second
	// Credit beyond this many slot milliseconds for each slot of the share is dropped, in both directions, so
	// that a rank that could not use its share for long takes no burst later.
	creditMost = float64(10 * clock.Second)
)

// owed returns the head of a lower rank that has earned it by its minimum share, nil when there is none.
func (q *Queue) owed(p Fair) *entry {
	for r := work.Normal; r <= work.Batch; r++ {
		e := q.lanes[r].head()
		if e != nil && q.Hold > 0 && q.ends {
			if q.lanes[r].running < q.Keep[r] {
				return e
			}
			continue
		}
		if e != nil && p.share(r) > 0 && q.contended(r) && q.earned(p, e) {
			return e
		}
	}
	return nil
}

// earned reports whether the account of an entry's rank covers half of it: then the share lies around its target
// and not always one item below it.
func (q *Queue) earned(p Fair, e *entry) bool {
	l := &q.lanes[e.Rank]
	if !q.ends {
		return l.credit >= float64(e.Cost)/2
	}
	missing := p.share(e.Rank)*float64(q.running()+1) - float64(l.running)
	return missing+l.credit/float64(creditSpan) >= 0.5
}

// contended reports whether work more urgent than r waits.
func (q *Queue) contended(r work.Rank) bool {
	for u := range r {
		if q.lanes[u].count > 0 {
			return true
		}
	}
	return false
}

// running returns the number of requests that were started and have not ended.
func (q *Queue) running() int {
	n := 0
	for r := range q.lanes {
		n += q.lanes[r].running
	}
	return n
}

// account updates the accounts kept by slots. Accounts move only while more urgent work waits: service that
// nobody else wanted is not held against a rank.
func (q *Queue) account(now clock.Time) {
	d := float64(now.Sub(q.accounted))
	q.accounted = max(q.accounted, now)
	p, ok := q.Policy.(Fair)
	if !ok || !q.ends || d <= 0 {
		return
	}
	for r := work.Normal; r <= work.Batch; r++ {
		l := &q.lanes[r]
		if l.count == 0 || !q.contended(r) {
			continue
		}
		target := p.share(r) * float64(q.running())
		most := creditMost * max(target, 1)
		l.credit = min(max(l.credit+d*(target-float64(l.running)), -most), most)
	}
}

// charge updates the accounts kept by cost for an entry that is about to be served.
func (q *Queue) charge(e *entry) {
	p, ok := q.Policy.(Fair)
	if !ok || q.ends {
		return
	}
	for r := work.Normal; r <= work.Batch; r++ {
		l := &q.lanes[r]
		if l.count == 0 || !q.contended(r) {
			continue
		}
		l.credit += p.share(r) * float64(e.Cost)
		if r == e.Rank {
			l.credit -= float64(e.Cost)
		}
	}
}
