package queue

import (
	"container/heap"
	"math"

	"shallotrun/core/clock"
	"shallotrun/core/work"
)

// Queue holds the requests that wait. Set the exported fields before the first call.
type Queue struct {
	Policy Policy // nil means Fair{}
	// Limit is the number of items that may wait in one rank, 0 means 1000. A tenant may fill at most as many
	// places of a rank as are still free, so one tenant cannot keep the others out.
	Limit int
	// Margin is the time that a request usually still needs after Pop until its first token. Deadlines count as
	// reached that much earlier, so that overload does not fill the slots with answers that come too late. It may
	// be changed at any time.
	Margin clock.Span

	// Hold, when not 0, says that more urgent work waits on other VMs: a rank that is not more urgent than Hold
	// starts nothing beyond Keep running requests. It needs Done, and applies to the policy Fair.
	Hold work.Rank
	Keep [work.Ranks]int

	entries   map[string]*entry
	lanes     [work.Ranks]lane
	deadlines deadlines
	seq       uint64
	ends      bool // whether Done is used
	accounted clock.Time
}

// Push adds an item. It returns a refusal, with nothing run, when the rank or the tenant's part of it is full,
// when the deadline passed or cannot be met at the present rate of service, or when the id already waits.
func (q *Queue) Push(now clock.Time, it Item) *work.Refusal {
	q.init()
	it.Rank = min(it.Rank, work.Batch)
	it.Cost = max(it.Cost, 1)
	if q.entries[it.ID] != nil {
		return refuse(work.CodeBadRequest, 400, 0, "a request with this id already waits")
	}
	q.account(now)
	l := &q.lanes[it.Rank]
	l.tick(now)
	tenant := q.tenant(it)
	if r := q.full(l, tenant); r != nil {
		return r
	}
	if r := q.late(now, l, it, tenant); r != nil {
		return r
	}
	q.seq++
	e := &entry{Item: it, seq: q.seq, index: -1}
	l.add(e, tenant)
	q.entries[it.ID] = e
	if it.Deadline != 0 {
		heap.Push(&q.deadlines, e)
	}
	return nil
}

// Pop takes out the item to start now, false when none may start.
func (q *Queue) Pop(now clock.Time) (Item, bool) { return q.PopFree(now, math.MaxInt) }

// PopFree is Pop for a caller that knows how many slots are free, the one to fill included. The policy may
// leave the last ones to more urgent work. An expired item that it meets stays for Expire.
func (q *Queue) PopFree(now clock.Time, free int) (Item, bool) {
	q.init()
	q.account(now)
	var late []*entry
	for e := q.next(free); e != nil; e = q.next(free) {
		if e.Deadline == 0 || now.Add(q.Margin) < e.Deadline {
			q.charge(e)
			l := &q.lanes[e.Rank]
			l.tick(now)
			l.rate.observe(now, e.Cost)
			l.serve(e)
			l.begin(q.tenant(e.Item))
			q.drop(e)
			q.keep(late)
			return e.Item, true
		}
		// Taken out of its lane for the time of this call, so that the search meets the next entry.
		q.lanes[e.Rank].remove(e)
		late = append(late, e)
	}
	q.keep(late)
	return Item{}, false
}

// Expire takes out the items whose deadline has passed.
func (q *Queue) Expire(now clock.Time) []Item {
	var out []Item
	for len(q.deadlines) > 0 && q.deadlines[0].Deadline <= now.Add(q.Margin) {
		e := q.deadlines[0]
		if e.flow != nil {
			l := &q.lanes[e.Rank]
			l.tick(now)
			l.remove(e)
		}
		q.drop(e)
		out = append(out, e.Item)
	}
	return out
}

// Remove takes out the item of a caller that went away. It returns false when the id does not wait.
func (q *Queue) Remove(id string) bool {
	e := q.entries[id]
	if e == nil {
		return false
	}
	if e.flow != nil {
		q.lanes[e.Rank].remove(e)
	}
	q.drop(e)
	return true
}

// Len returns the number of items of a rank that wait, expired ones that Pop has met excluded.
func (q *Queue) Len(r work.Rank) int { return q.lanes[r].count }

// Done records that a request that Pop returned ended, by success or not, and how many tokens it used. From the
// first call on the minimum shares are kept by the slots in use, which is exact at every time; without calls they
// are kept by the cost of the requests at their start. A caller that uses Done calls it once for each popped item.
func (q *Queue) Done(now clock.Time, it Item, used int) {
	q.init()
	if !q.ends {
		q.ends = true
		for r := range q.lanes {
			q.lanes[r].credit = 0 // it was counted in tokens
		}
	}
	q.account(now)
	l := &q.lanes[min(it.Rank, work.Batch)]
	l.end(q.tenant(it))
	if f := l.flows[q.tenant(it)]; f != nil {
		l.settle(f, float64(used-max(it.Cost, 1))/f.weight)
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
	for r := range q.lanes {
		q.lanes[r].rank = work.Rank(r)
		q.lanes[r].flows = make(map[string]*flow)
	}
}

// tenant returns the flow that an item joins.
func (q *Queue) tenant(it Item) string {
	if _, ok := q.Policy.(Fair); ok {
		return it.Tenant
	}
	return ""
}

// full refuses an item that finds no place.
func (q *Queue) full(l *lane, tenant string) *work.Refusal {
	free := q.Limit - l.count
	own := 0
	if f := l.flows[tenant]; f != nil && tenant != "" {
		own = f.items.Len()
	}
	if free > 0 && own < free {
		return nil
	}
	retry, ok := l.rate.wait(float64(l.cost) / 2)
	if !ok {
		retry = clock.Second
	}
	return refuse(work.CodeOverloaded, 429, max(retry, 100), "too many requests wait")
}

// late refuses an item that will not start before its deadline.
func (q *Queue) late(now clock.Time, l *lane, it Item, tenant string) *work.Refusal {
	if it.Deadline == 0 {
		return nil
	}
	ahead := float64(l.cost)
	if f := l.flows[tenant]; f != nil && tenant != "" && f.items.Len() > 0 {
		ahead = min(ahead, float64(f.cost)*l.weight/f.weight)
	} else if tenant != "" {
		ahead = 0
	}
	wait, ok := l.rate.wait(ahead)
	start := now.Add(q.Margin)
	if start < it.Deadline && (!ok || start.Add(wait) < it.Deadline) {
		return nil
	}
	return refuse(work.CodeDeadline, 503, max(wait, 100), "the deadline would pass before the request starts")
}

// drop forgets an entry that has left its lane.
func (q *Queue) drop(e *entry) {
	delete(q.entries, e.ID)
	if e.index >= 0 {
		heap.Remove(&q.deadlines, e.index)
	}
}

// keep marks expired entries as being outside their lane until Expire or Remove takes them.
func (q *Queue) keep(late []*entry) {
	for _, e := range late {
		e.flow = nil
	}
}

// tick tells the meter of a lane how the time since its last change counts.
func (l *lane) tick(now clock.Time) {
	if l.count == 0 {
		l.rate.idle(now)
		return
	}
	l.rate.advance(now)
}

func refuse(code string, status int, retry clock.Span, detail string) *work.Refusal {
	return &work.Refusal{Code: code, Status: status, Ran: work.NotRun, Retry: retry, Detail: detail}
}
