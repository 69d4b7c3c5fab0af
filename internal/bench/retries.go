package bench

import (
	"shallotrun/core/place"
	"shallotrun/core/queue"
	"shallotrun/core/retry"
	"shallotrun/core/work"
)

const (
	overloadLength = 120 * second
	overloadLimit  = 10 * second // to the first token, then a caller has no use for the answer
	lossFrom       = 60 * second
	lossTo         = 90 * second
	lossEnd        = 180 * second
)

// guarded is the daemon's behaviour: a queue with deadlines in front of the VM's part of the slots, a retry budget,
// backoff, breakers, and cancellation of what is given up.
func guarded(u user) func(*front) {
	return func(f *front) {
		f.q = &queue.Queue{Policy: queue.Fair{}}
		f.share = max((slotsEach+u.entries-1)/u.entries, 1)
		f.placer = &place.Placer{Domain: f.domain, Rand: f.rand}
		f.budget, f.backoff, f.breakers = &retry.Budget{}, &retry.Backoff{}, &retry.Breakers{}
		f.attempts, f.patience, f.cancel, f.deadline = 4, 8*second, true, overloadLimit
	}
}

// naive sends at once, repeats at once and without a budget, and cancels nothing.
func naive(f *front) {
	f.budget = &retry.Budget{Policy: retry.Always{}}
	f.attempts, f.patience, f.deadline = 4, 8*second, overloadLimit
}

// overload measures goodput under more load than capacity, and recovery from the loss of half of the replicas.
func overload(u user, seeds []uint64) []line {
	rs := each(seeds, func(seed uint64) []float64 {
		var row []float64
		for _, set := range []func(*front){guarded(u), naive} {
			worst := 100.0
			for _, times := range []float64{1.5, 3, 10} {
				fs := pour(u, seed, set, times, overloadLength, nil)
				worst = min(worst, goodput(u, fs, 20*second, overloadLength))
			}
			fs := pour(u, seed, set, 0.8, lossEnd, halfLost)
			row = append(row, worst, recovery(fs), extraPart(fs))
		}
		return row
	})
	n := u.name + "/retries."
	return []line{
		{name: n + "least-percent-goodput-1.5x-3x-10x", policy: "guarded", got: column(rs, 0), naive: "naive", baseline: column(rs, 3), goal: 90, least: true},
		{name: n + "seconds-to-recover-half-lost-30s", policy: "guarded", got: column(rs, 1), naive: "naive", baseline: column(rs, 4), goal: 5},
		{name: n + "percent-extra-attempts", policy: "guarded", got: column(rs, 2), naive: "naive", baseline: column(rs, 5), goal: 10},
	}
}

// halfLost stops every second engine from lossFrom to lossTo.
func halfLost(s *sim, es []*engine) {
	for i := 0; i < len(es); i += 2 {
		s.at(lossFrom, func() { es[i].setDown(true) })
		s.at(lossTo, func() { es[i].setDown(false) })
	}
}

// pour offers a multiple of the capacity through all entry VMs.
func pour(u user, seed uint64, set func(*front), times float64, length micros, faults func(*sim, []*engine)) []*front {
	s := &sim{}
	es := u.engines(s)
	for _, e := range es {
		e.limit = 2 * slotsEach
	}
	fs := u.fronts(s, es, seed, set)
	s.every(100*millisecond, length, func() {
		for _, e := range es {
			if !e.down {
				e.load(s.clock())
			}
		}
		for _, f := range fs {
			f.dispatch()
		}
	})
	if faults != nil {
		faults(s, es)
	}
	turn := 0
	s.feed(seed, 1, source{rank: work.Normal, rate: times * u.capacity(), to: length}, func(j *job) {
		turn++
		fs[turn%len(fs)].arrive(j)
	})
	s.run(length)
	return fs
}

// goodput returns the tokens of answers that began in time, in percent of the capacity.
func goodput(u user, fs []*front, from, to micros) float64 {
	tokens := 0
	for _, f := range fs {
		for _, c := range f.ended {
			if c.ok && c.done >= from {
				tokens += c.job.out
			}
		}
	}
	return 100 * float64(tokens) / (u.capacity() * meanOut * float64(to-from) / float64(second))
}

// recovery returns the seconds from the end of the loss until 95% of the requests that arrive in a second succeed,
// and do so for the next 5 s. It returns the whole rest of the run if that never happens.
func recovery(fs []*front) float64 {
	n := int((lossEnd - overloadLimit*2) / second)
	all, good := make([]float64, n), make([]float64, n)
	for _, f := range fs {
		for _, c := range f.ended {
			if k := int(c.job.arrived / second); k < n {
				all[k]++
				if c.ok {
					good[k]++
				}
			}
		}
	}
	from, streak := int(lossTo/second), 0
	for k := from; k < n; k++ {
		streak++
		if good[k] < 0.95*all[k] {
			streak = 0
		}
		if streak == 6 {
			return float64(k - 5 - from)
		}
	}
	return float64(n - from)
}

// extraPart returns the retries in percent of the first attempts.
func extraPart(fs []*front) float64 {
	first, extra := 0, 0
	for _, f := range fs {
		first += f.first
		extra += f.extra
	}
	return 100 * float64(extra) / float64(first)
}
