package queue

import (
	"container/heap"

	"shallotrun/core/work"
)

// next returns the entry that the policy serves next with the given number of free slots, or nil for none.
func (q *Queue) next(free int) *entry {
	switch p := q.Policy.(type) {
	case FIFO:
		return q.oldest()
	case Strict:
		return q.mostUrgent()
	case Fair:
		if e := q.dueMinimumShare(p); e != nil {
			return e
		}
		return q.fair(p, free)
	}
	return nil
}

// oldest returns the entry that arrived first, or nil.
func (q *Queue) oldest() *entry {
	var first *entry
	for r := range q.ranks {
		if e := q.ranks[r].head(); e != nil && (first == nil || e.seq < first.seq) {
			first = e
		}
	}
	return first
}

// mostUrgent returns the head of the most urgent rank with waiting items, or nil.
func (q *Queue) mostUrgent() *entry {
	for r := range q.ranks {
		if e := q.ranks[r].head(); e != nil {
			return e
		}
	}
	return nil
}

// fair returns the first entry of the most urgent rank that may start with the given number of free slots, or nil.
func (q *Queue) fair(p Fair, free int) *entry {
	for r := range q.ranks {
		l := &q.ranks[r]
		e := l.head()
		if e == nil || free <= p.reservedSlots(work.Rank(r), false) || q.atHoldLimit(work.Rank(r)) {
			continue
		}
		if free > p.reservedSlots(work.Rank(r), true) || !q.usesDone || !l.overusing(e.flow) {
			return e
		}
		if e = l.headWithinShare(); e != nil {
			return e
		}
	}
	return nil
}

// atHoldLimit reports whether a rank may start nothing because more urgent work waits on other VMs.
func (q *Queue) atHoldLimit(r work.Rank) bool {
	return q.HoldFrom > 0 && r >= q.HoldFrom && q.ranks[r].running >= q.HoldLimit[r]
}

// shiftStart moves the virtual start of a flow, but not before the virtual time.
func (l *rankQueue) shiftStart(f *flow, by float64) {
	f.start = max(f.start+by, l.virtualTime)
	if f.items.Len() > 0 {
		heap.Fix(&l.active, f.heapIndex)
		return
	}
	heap.Fix(&l.idle, f.heapIndex)
}
