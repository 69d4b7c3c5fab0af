package queue

import (
	"container/heap"
	"container/list"

	"shallotrun/core/work"
)

// maxIdleFlows bounds the number of tenants without waiting items whose virtual start is kept. Beyond it, the flow with the
// earliest virtual start is dropped. Its tenant gains at most the service by which it was ahead of the virtual time.
const maxIdleFlows = 4096

// flow holds the waiting items of one tenant in one rank. The virtual start is in tokens per unit of weight, as in start-time
// fair queueing.
type flow struct {
	tenant    string
	weight    float64
	cost      int // sum over items
	start     float64
	items     list.List
	heapIndex int // in the heap that holds it
}

// rankQueue holds the waiting items of one rank. Active flows have waiting items. Idle flows have none, but their virtual start
// is still ahead of the virtual time.
type rankQueue struct {
	rank        work.Rank
	flows       map[string]*flow
	active      flowHeap
	idle        flowHeap
	virtualTime float64 // virtual start of the item served last
	weight      float64 // sum over active flows
	length      int
	cost        int
	throughput  throughputMeter
	// credit is the unused part of the rank's minimum share, in tokens, or in slot milliseconds once Done is used.
	credit          float64
	running         int            // requests that Pop returned and Done did not get yet
	runningByTenant map[string]int // running for each tenant
}

// flowHeap orders flows by virtual start.
type flowHeap []*flow

func (h flowHeap) Len() int           { return len(h) }
func (h flowHeap) Less(i, j int) bool { return h[i].start < h[j].start }

func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements [heap.Interface].
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.heapIndex = len(*h)
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
func (l *rankQueue) add(e *entry, tenant string) {
	f := l.flows[tenant]
	switch {
	case f == nil:
		f = &flow{tenant: tenant, start: l.virtualTime}
		l.flows[tenant] = f
	case f.items.Len() == 0:
		heap.Remove(&l.idle, f.heapIndex)
		f.start = max(f.start, l.virtualTime)
	}
	if f.items.Len() == 0 {
		f.weight = float64(max(e.Weight, 1))
		l.weight += f.weight
		heap.Push(&l.active, f)
	}
	e.flow = f
	e.element = f.items.PushBack(e)
	f.cost += e.Cost
	l.cost += e.Cost
	l.length++
}

// head returns the entry to serve next, or nil if the rank is empty.
func (l *rankQueue) head() *entry {
	if len(l.active) == 0 {
		return nil
	}
	return l.active[0].items.Front().Value.(*entry)
}

// serve removes an entry, which is the first one of its flow, and charges its cost to the tenant.
func (l *rankQueue) serve(e *entry) {
	f := e.flow
	l.virtualTime = f.start
	f.start += float64(e.Cost) / f.weight
	heap.Fix(&l.active, f.heapIndex)
	l.remove(e)
}

// remove removes an entry without charging its tenant.
func (l *rankQueue) remove(e *entry) {
	f := e.flow
	f.items.Remove(e.element)
	f.cost -= e.Cost
	l.cost -= e.Cost
	l.length--
	if f.items.Len() > 0 {
		return
	}
	heap.Remove(&l.active, f.heapIndex)
	l.weight -= f.weight
	heap.Push(&l.idle, f)
	l.dropIdleFlows()
}

// dropIdleFlows drops the idle flows that no longer affect the order: all of them if the rank is empty, since a tenant gets no
// credit for unused service, and otherwise those that the virtual time has passed.
func (l *rankQueue) dropIdleFlows() {
	if l.length == 0 {
		clear(l.flows)
		l.idle = l.idle[:0]
		l.virtualTime, l.weight, l.credit = 0, 0, min(l.credit, 0)
		return
	}
	for len(l.idle) > 0 && (l.idle[0].start <= l.virtualTime || len(l.idle) > maxIdleFlows) {
		delete(l.flows, heap.Pop(&l.idle).(*flow).tenant)
	}
}
