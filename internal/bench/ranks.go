package bench

import (
	"runtime"
	"sync"

	"shallotrun/core/clock"
	"shallotrun/core/queue"
	"shallotrun/core/work"
)

// hall is one queue in front of all replicas, with exact knowledge of the free slots.
type hall struct {
	sim     *sim
	q       *queue.Queue
	engines []*engine
	jobs    map[string]*job
	done    []*job
	lost    []*job // refused or expired
	expired int
	preempt bool // whether urgent work that finds no slot cancels a batch request, which starts again later
	wasted  float64
}

func newHall(u user, p queue.Policy) *hall {
	s := &sim{}
	return &hall{sim: s, q: &queue.Queue{Policy: p}, engines: u.engines(s), jobs: map[string]*job{}}
}

func (h *hall) arrive(j *job) {
	j.done = h.end
	it := queue.Item{ID: j.id, Rank: j.rank, Tenant: j.tenant, Weight: 1, Cost: j.guess, Arrived: h.sim.clock()}
	switch j.rank {
	case work.Urgent:
		it.Deadline = h.sim.clock().Add(10 * clock.Second)
	case work.Normal:
		it.Deadline = h.sim.clock().Add(30 * clock.Second)
	}
	if h.q.Push(h.sim.clock(), it) != nil {
		h.lost = append(h.lost, j)
		return
	}
	h.jobs[j.id] = j
	h.dispatch()
	if h.preempt && j.rank == work.Urgent && j.started == 0 {
		h.cancelBatch()
		h.dispatch()
	}
}

// cancelBatch cancels the batch request that was started last and queues it again.
func (h *hall) cancelBatch() {
	var last *job
	var at *engine
	for _, e := range h.engines {
		for _, j := range e.active {
			if j.rank == work.Batch && (last == nil || j.started > last.started) {
				last, at = j, e
			}
		}
	}
	if last == nil {
		return
	}
	at.cancel(last)
	it := queue.Item{ID: last.id, Rank: last.rank, Tenant: last.tenant, Cost: last.guess}
	h.q.Done(h.sim.clock(), it, 0)
	h.wasted += float64(h.sim.now - last.started)
	again := &job{id: last.id, rank: last.rank, tenant: last.tenant, prompt: last.prompt, out: last.out, guess: last.guess, arrived: last.arrived}
	delete(h.jobs, last.id)
	h.arrive(again)
}

func (h *hall) dispatch() {
	for _, it := range h.q.Expire(h.sim.clock()) {
		h.lost = append(h.lost, h.jobs[it.ID])
		h.expired++
		delete(h.jobs, it.ID)
	}
	for {
		free := 0
		var best *engine
		for _, e := range h.engines {
			free += e.slots - e.running
			if e.running < e.slots && (best == nil || e.crowd() < best.crowd()) {
				best = e
			}
		}
		if free == 0 {
			return
		}
		it, ok := h.q.PopFree(h.sim.clock(), free)
		if !ok {
			return
		}
		best.submit(h.jobs[it.ID])
	}
}

func (h *hall) end(j *job) {
	delete(h.jobs, j.id)
	h.q.Done(h.sim.clock(), queue.Item{ID: j.id, Rank: j.rank, Tenant: j.tenant, Cost: j.guess}, j.out)
	h.done = append(h.done, j)
	h.dispatch()
}

// ranksLength is long enough for the 99th percentile of urgent work: about 2,000 urgent requests.
const ranksLength = 400 * second

func ranks(u user, seeds []uint64) []line {
	c := u.capacity()
	usual := []source{{rank: work.Urgent, rate: 0.2 * c, to: ranksLength}, {rank: work.Normal, rate: 0.4 * c, to: ranksLength},
		{rank: work.Batch, rate: 0.1 * c, to: ranksLength}}
	batch := append(usual[:2:2], source{rank: work.Batch, rate: 10 * c, to: ranksLength})
	urgent := append([]source{{rank: work.Urgent, rate: 3 * c, to: ranksLength}}, usual[1], source{rank: work.Batch, rate: 0.2 * c, to: ranksLength})
	fair := queue.Fair{Reserve: reserved}
	flood := func(p queue.Policy, seed uint64) float64 {
		calm, full := play(u, p, seed, usual), play(u, p, seed, batch)
		return quantile(firsts(full, isUrgent), 0.99) / quantile(firsts(calm, isUrgent), 0.99)
	}
	rs := each(seeds, func(seed uint64) []float64 {
		row := []float64{flood(fair, seed), flood(queue.Strict{}, seed), flood(queue.FIFO{}, seed)}
		for _, p := range []queue.Policy{fair, queue.Strict{}} {
			h := play(u, p, seed, urgent)
			s := worstShares(h)
			row = append(row, s[work.Normal], s[work.Batch], 100*float64(h.expired)/float64(len(h.lost)))
		}
		calm, full := playWith(u, queue.Fair{}, seed, usual, true), playWith(u, queue.Fair{}, seed, batch, true)
		slots := float64(u.replicas*slotsEach) * float64(ranksLength)
		row = append(row, quantile(firsts(full, isUrgent), 0.99)/quantile(firsts(calm, isUrgent), 0.99), 100*full.wasted/slots)
		reserve := play(u, fair, seed, batch)
		return append(row, tokens(full)/tokens(reserve))
	})
	n := u.name + "/ranks."
	return []line{
		{name: n + "urgent-p99-ratio-batch-flood", policy: "fair", got: column(rs, 0), naive: "strict", baseline: column(rs, 1), goal: 1.2},
		{name: n + "urgent-p99-ratio-batch-flood", policy: "fair", got: column(rs, 0), naive: "fifo", baseline: column(rs, 2), goal: 1.2},
		{name: n + "normal-least-share-urgent-flood", policy: "fair", got: column(rs, 3), naive: "strict", baseline: column(rs, 6), goal: 9, least: true},
		{name: n + "batch-least-share-urgent-flood", policy: "fair", got: column(rs, 4), naive: "strict", baseline: column(rs, 7), goal: 4, least: true},
		{name: n + "urgent-p99-ratio-batch-flood", policy: "preempt", got: column(rs, 9), naive: "strict", baseline: column(rs, 1), goal: 1.2},
		{name: n + "percent-of-slot-time-wasted", policy: "preempt", got: column(rs, 10), naive: "none", info: true},
		{name: n + "tokens-ratio-to-reserve-batch-flood", policy: "preempt", got: column(rs, 11), naive: "none", info: true},
		{name: n + "percent-of-losses-late", policy: "fair", got: column(rs, 5), naive: "strict", baseline: column(rs, 8), info: true},
	}
}

func isUrgent(j *job) bool { return j.rank == work.Urgent }

// reserved is the number of slots kept for more urgent work and small tenants. What matters is the number that may
// arrive together, so it does not shrink with the fleet.
const reserved = 8

// play runs the sources through one queue and returns it after the end.
func play(u user, p queue.Policy, seed uint64, sources []source) *hall {
	return playWith(u, p, seed, sources, false)
}

// playWith is play with the choice to preempt batch work.
func playWith(u user, p queue.Policy, seed uint64, sources []source, preempt bool) *hall {
	var end micros
	for _, src := range sources {
		end = max(end, src.to)
	}
	h := newHall(u, p)
	h.preempt = preempt
	for i, src := range sources {
		h.sim.feed(seed, i+1, src, h.arrive)
	}
	h.sim.run(end)
	return h
}

// lostTime is the time to the first token, in milliseconds, that stands for a request that was refused or expired.
const lostTime = 10_000

// firsts returns the times to the first token of some jobs, without the first 20 s.
func firsts(h *hall, which func(*job) bool) []float64 {
	var v []float64
	for _, j := range h.lost {
		if which(j) && j.arrived > 20*second {
			v = append(v, lostTime)
		}
	}
	for _, j := range h.done {
		if which(j) && j.arrived > 20*second {
			v = append(v, j.ttft())
		}
	}
	return v
}

// worstShares returns the lowest share of the generated tokens, in percent, that each rank had in a window of 10 s
// after the first 20 s.
func worstShares(h *hall) [work.Ranks]float64 {
	const window = 10 * second
	n := int(ranksLength / window)
	tokens := make([][work.Ranks]float64, n)
	for _, j := range h.done {
		for k := j.first / window; k <= j.ended/window && int(k) < n; k++ {
			part := min(j.ended, (k+1)*window) - max(j.first, k*window)
			tokens[k][j.rank] += float64(j.out) * float64(part) / float64(max(j.ended-j.first, 1))
		}
	}
	worst := [work.Ranks]float64{100, 100, 100}
	// Requests that still run at the end are not counted, so the last windows are left out.
	for _, w := range tokens[2 : n-3] {
		sum := w[0] + w[1] + w[2]
		for r := range w {
			worst[r] = min(worst[r], 100*w[r]/sum)
		}
	}
	return worst
}

// each runs f for each seed, a few at a time.
func each[T any](seeds []uint64, f func(seed uint64) T) []T {
	out := make([]T, len(seeds))
	var wg sync.WaitGroup
	limit := make(chan struct{}, max(runtime.GOMAXPROCS(0)/2, 1))
	for i, seed := range seeds {
		wg.Add(1)
		limit <- struct{}{}
		go func() {
			defer wg.Done()
			out[i] = f(seed)
			<-limit
		}()
	}
	wg.Wait()
	return out
}
