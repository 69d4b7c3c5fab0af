package queue

import (
	"container/heap"

	"shallotrun/core/work"
)

// next returns the entry that the policy serves next with the given number of free slots, nil for none.
func (q *Queue) next(free int) *entry {
	switch p := q.Policy.(type) {
	case FIFO:
		return q.oldest()
	case Strict:
		return q.urgent(nil)
	case Fair:
		if e := q.owed(p); e != nil {
			return e
		}
		return q.urgent(func(r work.Rank) bool { return free > p.reserve(r) })
	}
	return nil
}

// oldest returns the entry that arrived first.
func (q *Queue) oldest() *entry {
	var first *entry
	for r := range q.lanes {
		if e := q.lanes[r].head(); e != nil && (first == nil || e.seq < first.seq) {
			first = e
		}
	}
	return first
}

// urgent returns the head of the most urgent rank that may start.
func (q *Queue) urgent(may func(work.Rank) bool) *entry {
	for r := range q.lanes {
		if e := q.lanes[r].head(); e != nil && (may == nil || may(work.Rank(r))) {
			return e
		}
	}
	return nil
}

// owed returns the head of a lower rank that has earned it by its minimum share, nil when there is none.
func (q *Queue) owed(p Fair) *entry {
	for r := work.Normal; r <= work.Batch; r++ {
		e := q.lanes[r].head()
		// Half of the cost, so that the share lies around its target and not always one item below it.
		if e != nil && q.contended(r) && p.share(r) > 0 && q.lanes[r].credit >= float64(e.Cost)/2 {
			return e
		}
	}
	return nil
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

// charge updates the minimum share accounts for an entry that is about to be served. Accounts move only while
// more urgent work waits: service that nobody else wanted is not held against a rank.
func (q *Queue) charge(e *entry) {
	p, ok := q.Policy.(Fair)
	if !ok {
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

// settle moves the virtual start of a flow.
func (l *lane) settle(f *flow, by float64) {
	f.start = max(f.start+by, l.now)
	if f.items.Len() > 0 {
		heap.Fix(&l.active, f.index)
		return
	}
	heap.Fix(&l.idle, f.index)
}
