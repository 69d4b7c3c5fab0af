package queue

import (
	"container/list"

	"shallotrun/core/clock"
	"shallotrun/core/work"
)

// Item is a waiting request.
type Item struct {
	ID       string
	Rank     work.Rank
	Tenant   string
	Weight   int        // weight among the tenants of the rank, at least 1; lower values are taken as 1
	Cost     int        // expected tokens, at least 1; lower values are taken as 1
	Deadline clock.Time // until the first token, 0 for none
	Arrived  clock.Time
}

// entry is an item with its positions in the data structures of the queue.
type entry struct {
	Item
	seq           uint64
	flow          *flow
	element       *list.Element // in flow.items
	deadlineIndex int           // in deadlines, -1 without a deadline
}

// deadlines is a heap of the entries that have a deadline, earliest first.
type deadlines []*entry

func (d deadlines) Len() int           { return len(d) }
func (d deadlines) Less(i, j int) bool { return d[i].Deadline < d[j].Deadline }

func (d deadlines) Swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].deadlineIndex, d[j].deadlineIndex = i, j
}

// Push implements [heap.Interface].
func (d *deadlines) Push(x any) {
	e := x.(*entry)
	e.deadlineIndex = len(*d)
	*d = append(*d, e)
}

// Pop implements [heap.Interface].
func (d *deadlines) Pop() any {
	old := *d
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*d = old[:len(old)-1]
	e.deadlineIndex = -1
	return e
}
