package queue

import (
	"container/heap"
	"container/list"

	"shallotrun/core/work"
)

// idleFlows bounds the number of tenants without waiting items whose past service is remembered. Beyond it
// the one with the least service ahead of the others is forgotten, which gives it at most that head start.
const idleFlows = 4096

// flow is the waiting items of one tenant in one rank. Start and finish are virtual times in tokens per unit
// of weight, as in start-time fair queuing.
type flow struct {
	tenant string
	weight float64
	cost   int // sum over items
	start  float64
	items  list.List
	index  int // in the heap that holds it
}

// lane is one rank: its tenants with waiting items ordered by virtual start, and tenants without waiting
// items that are still ahead of the virtual time.
type lane struct {
	rank   work.Rank
	flows  map[string]*flow
	active flowHeap
	idle   flowHeap
	now    float64 // virtual time: start of the item served last
	weight float64 // sum over active flows
	count  int
	cost   int
	rate   meter
	// credit is what the minimum share has earned and not used: tokens, or slot milliseconds once Done is used.
	credit  float64
	running int            // requests that were started and not reported as ended
	using   map[string]int // the same for each tenant
}

// flowHeap orders flows by virtual start.
type flowHeap []*flow

func (h flowHeap) Len() int           { return len(h) }
func (h flowHeap) Less(i, j int) bool { return h[i].start < h[j].start }

func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements [heap.Interface].
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.index = len(*h)
	*h = append(*h, f)
}

// Pop implements [heap.Interface].
func (h *flowHeap) Pop() any {
	old := *h
	f := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return f
}

// add appends an entry to its tenant's flow.
func (l *lane) add(e *entry, tenant string) {
	f := l.flows[tenant]
	switch {
	case f == nil:
		f = &flow{tenant: tenant, start: l.now}
		l.flows[tenant] = f
	case f.items.Len() == 0:
		heap.Remove(&l.idle, f.index)
		f.start = max(f.start, l.now)
	}
	if f.items.Len() == 0 {
		f.weight = float64(max(e.Weight, 1))
		l.weight += f.weight
		heap.Push(&l.active, f)
	}
	e.flow = f
	e.place = f.items.PushBack(e)
	f.cost += e.Cost
	l.cost += e.Cost
	l.count++
}

// head returns the entry to serve next, nil when the lane is empty.
func (l *lane) head() *entry {
	if len(l.active) == 0 {
		return nil
	}
	return l.active[0].items.Front().Value.(*entry)
}

// serve takes the head out and charges its tenant.
func (l *lane) serve(e *entry) {
	f := e.flow
	l.now = f.start
	f.start += float64(e.Cost) / f.weight
	heap.Fix(&l.active, f.index)
	l.remove(e)
}

// remove takes an entry out without charging its tenant.
func (l *lane) remove(e *entry) {
	f := e.flow
	f.items.Remove(e.place)
	f.cost -= e.Cost
	l.cost -= e.Cost
	l.count--
	if f.items.Len() > 0 {
		return
	}
	heap.Remove(&l.active, f.index)
	l.weight -= f.weight
	heap.Push(&l.idle, f)
	l.forget()
}

// forget drops the idle flows that no longer matter: all of them once nothing waits, since unused share is
// not credited, and otherwise those that the virtual time has passed.
func (l *lane) forget() {
	if l.count == 0 {
		clear(l.flows)
		l.idle = l.idle[:0]
		l.now, l.weight, l.credit = 0, 0, min(l.credit, 0)
		return
	}
	for len(l.idle) > 0 && (l.idle[0].start <= l.now || len(l.idle) > idleFlows) {
		delete(l.flows, heap.Pop(&l.idle).(*flow).tenant)
	}
}
