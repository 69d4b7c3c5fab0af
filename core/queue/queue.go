package queue

import (
	"container/heap"
	"math"

	"shallotrun/core/clock"
	"shallotrun/core/work"
)

// Queue holds waiting requests. Set the exported fields before the first call.
type Queue struct {
	Policy Policy // nil means Fair{}
	// Limit is the maximum number of waiting items in a rank, 0 means 1000. A tenant may have at most as many waiting items in
	// a rank as there are places left, so that one tenant cannot keep the others out.
	Limit int
	// FirstTokenDelay is the usual time from Pop to the first token. An item expires that long before its deadline, so that during
	// overload no slot is used for an answer that would be too late. FirstTokenDelay may be changed at any time.
	FirstTokenDelay clock.Span

	// HoldFrom, if not 0, means that more urgent work waits on other VMs: HoldFrom and the less urgent ranks then start a
	// request only while fewer than HoldLimit requests of their rank are running. It requires calls of Done and the policy Fair.
	HoldFrom  work.Rank
	HoldLimit [work.Ranks]int

	entries        map[string]*entry
	ranks          [work.Ranks]rankQueue
	deadlines      deadlines
	seq            uint64
	usesDone       bool // whether Done is used
	creditsUpdated clock.Time
}

// Push adds an item. It refuses an item if the rank or the tenant's part of it is full, if the deadline has passed or cannot be
// met at the current throughput, or if an item with the same id waits. Refusals have Ran set to work.NotRun.
func (q *Queue) Push(now clock.Time, it Item) *work.Refusal {
	q.init()
	it.Rank = min(it.Rank, work.Batch)
	it.Cost = max(it.Cost, 1)
	if q.entries[it.ID] != nil {
		return refuse(work.CodeBadRequest, 400, 0, "a request with this id already waits")
	}
	q.updateCredits(now)
	l := &q.ranks[it.Rank]
	l.advanceMeter(now)
	flowKey := q.flowKey(it)
	if r := q.checkLimit(l, flowKey); r != nil {
		return r
	}
	if r := q.checkDeadline(now, l, it, flowKey); r != nil {
		return r
	}
	q.seq++
	e := &entry{Item: it, seq: q.seq, deadlineIndex: -1}
	l.add(e, flowKey)
	q.entries[it.ID] = e
	if it.Deadline != 0 {
		heap.Push(&q.deadlines, e)
	}
	return nil
}

// Pop removes and returns the item to start now, or returns false if none may start.
func (q *Queue) Pop(now clock.Time) (Item, bool) { return q.PopFree(now, math.MaxInt) }

// PopFree is like Pop for a caller that has the number of free slots, including the one to fill. The policy may leave the last
// ones to more urgent work. Expired items are skipped and stay in the queue until Expire removes them.
func (q *Queue) PopFree(now clock.Time, free int) (Item, bool) {
	q.init()
	q.updateCredits(now)
	var expired []*entry
	for e := q.next(free); e != nil; e = q.next(free) {
		if e.Deadline == 0 || now.Add(q.FirstTokenDelay) < e.Deadline {
			q.chargeCredits(e)
			l := &q.ranks[e.Rank]
			l.advanceMeter(now)
			l.throughput.observe(now, e.Cost)
			l.serve(e)
			l.started(q.flowKey(e.Item))
			q.removeFromIndexes(e)
			q.detach(expired)
			return e.Item, true
		}
		// The expired entry is removed from its rank, so that the search continues with the next entry.
		q.ranks[e.Rank].remove(e)
		expired = append(expired, e)
	}
	q.detach(expired)
	return Item{}, false
}

// Expire removes and returns the items that can no longer meet their deadline.
func (q *Queue) Expire(now clock.Time) []Item {
	var out []Item
	for len(q.deadlines) > 0 && q.deadlines[0].Deadline <= now.Add(q.FirstTokenDelay) {
		e := q.deadlines[0]
		if e.flow != nil {
			l := &q.ranks[e.Rank]
			l.advanceMeter(now)
			l.remove(e)
		}
		q.removeFromIndexes(e)
		out = append(out, e.Item)
	}
	return out
}

// Remove removes the item of a caller that disconnected. It returns false if no item with this id waits.
func (q *Queue) Remove(id string) bool {
	e := q.entries[id]
	if e == nil {
		return false
	}
	if e.flow != nil {
		q.ranks[e.Rank].remove(e)
	}
	q.removeFromIndexes(e)
	return true
}

// Len returns the number of waiting items of a rank, without the expired ones that Pop skipped.
func (q *Queue) Len(r work.Rank) int { return q.ranks[r].length }

// Done records that a request that Pop returned has ended, successfully or not, and how many tokens it used. From the first call
// on, the minimum shares are measured by the slots in use, which is exact at any time. Without calls they are measured by the
// cost of the requests at their start. A caller that uses Done calls it once for each popped item.
func (q *Queue) Done(now clock.Time, it Item, used int) {
	q.init()
	if !q.usesDone {
		q.usesDone = true
		for r := range q.ranks {
			q.ranks[r].credit = 0 // it was in tokens
		}
	}
	q.updateCredits(now)
	l := &q.ranks[min(it.Rank, work.Batch)]
	l.ended(q.flowKey(it))
	if f := l.flows[q.flowKey(it)]; f != nil {
		l.shiftStart(f, float64(used-max(it.Cost, 1))/f.weight)
	}
}

func (q *Queue) init() {
	if q.entries != nil {
		return
	}
	if q.Policy == nil {
		q.Policy = Fair{}
	}
	if q.Limit == 0 {
		q.Limit = 1000
	}
	q.entries = make(map[string]*entry)
	for r := range q.ranks {
		q.ranks[r].rank = work.Rank(r)
		q.ranks[r].flows = make(map[string]*flow)
	}
}

// flowKey returns the key of an item's flow: its tenant under the policy Fair, and the same for all items otherwise.
func (q *Queue) flowKey(it Item) string {
	if _, ok := q.Policy.(Fair); ok {
		return it.Tenant
	}
	return ""
}

// checkLimit refuses an item if its rank or its tenant's part of the rank is full.
func (q *Queue) checkLimit(l *rankQueue, flowKey string) *work.Refusal {
	free := q.Limit - l.length
	own := 0
	if f := l.flows[flowKey]; f != nil && flowKey != "" {
		own = f.items.Len()
	}
	if free > 0 && own < free {
		return nil
	}
	retry, ok := l.throughput.wait(float64(l.cost) / 2)
	if !ok {
		retry = clock.Second
	}
	return refuse(work.CodeOverloaded, 429, max(retry, 100), "too many requests wait")
}

// checkDeadline refuses an item that is not expected to start before its deadline.
func (q *Queue) checkDeadline(now clock.Time, l *rankQueue, it Item, flowKey string) *work.Refusal {
	if it.Deadline == 0 {
		return nil
	}
	ahead := float64(l.cost)
	if f := l.flows[flowKey]; f != nil && flowKey != "" && f.items.Len() > 0 {
		ahead = min(ahead, float64(f.cost)*l.weight/f.weight)
	} else if flowKey != "" {
		ahead = 0
	}
	wait, ok := l.throughput.wait(ahead)
	start := now.Add(q.FirstTokenDelay)
	if start < it.Deadline && (!ok || start.Add(wait) < it.Deadline) {
		return nil
	}
	return refuse(work.CodeDeadline, 503, max(wait, 100), "the deadline would pass before the request starts")
}

// removeFromIndexes removes an entry that has left its rank from entries and deadlines.
func (q *Queue) removeFromIndexes(e *entry) {
	delete(q.entries, e.ID)
	if e.deadlineIndex >= 0 {
		heap.Remove(&q.deadlines, e.deadlineIndex)
	}
}

// detach marks expired entries as removed from their rank. They stay in the queue until Expire or Remove removes them.
func (q *Queue) detach(expired []*entry) {
	for _, e := range expired {
		e.flow = nil
	}
}

// advanceMeter adds the time since the last change to the throughput meter if the rank had waiting items, and skips it otherwise.
func (l *rankQueue) advanceMeter(now clock.Time) {
	if l.length == 0 {
		l.throughput.idle(now)
		return
	}
	l.throughput.advance(now)
}

func refuse(code string, status int, retry clock.Span, detail string) *work.Refusal {
	return &work.Refusal{Code: code, Status: status, Ran: work.NotRun, Retry: retry, Detail: detail}
}
