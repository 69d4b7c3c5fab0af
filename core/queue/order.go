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
		return q.urgent()
	case Fair:
		if e := q.owed(p); e != nil {
			return e
		}
		return q.fair(p, free)
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

// urgent returns the head of the most urgent rank.
func (q *Queue) urgent() *entry {
	for r := range q.lanes {
		if e := q.lanes[r].head(); e != nil {
			return e
		}
	}
	return nil
}

// fair returns the first entry of the most urgent rank that may start with the given number of free slots.
func (q *Queue) fair(p Fair, free int) *entry {
	for r := range q.lanes {
		l := &q.lanes[r]
		e := l.head()
		if e == nil || free <= p.reserve(work.Rank(r), false) || q.held(work.Rank(r)) {
			continue
		}
		if free > p.reserve(work.Rank(r), true) || !q.ends || !l.heavy(e.flow) {
			return e
		}
		if e = l.light(); e != nil {
			return e
		}
	}
	return nil
}

// held reports whether a rank has to leave slots to more urgent work on other VMs.
func (q *Queue) held(r work.Rank) bool {
	return q.Hold > 0 && r >= q.Hold && q.lanes[r].running >= q.Keep[r]
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
