package bench

import (
	"fmt"
	"math/rand/v2"

	"shallotrun/core/rollout"
	"shallotrun/core/work"
)

const (
	rolloutTrials = 200  // for each seed and error rate
	rolloutLong   = 5000 // requests to the new version in one roll-out
	tallyGap      = 500 * millisecond
	canaryShare   = 0.05
)

// trial is one roll-out: results arrive at the entry VMs, which pool them by tallies.
type trial struct {
	sim     *sim
	rand    *rand.Rand
	vms     []*rollout.Evidence
	halted  []bool
	pending []bool
	begun   int // requests to the new version
	rate    float64
}

// rollouts measures how many requests a bad version gets in the whole fleet before every VM has halted it, and how often
// a good version is halted.
func rollouts(u user, seeds []uint64) []line {
	policies := []rollout.Policy{rollout.Sequential{}, rollout.Threshold{}}
	rs := each(seeds, func(seed uint64) []float64 {
		var row []float64
		for _, p := range policies {
			for _, bad := range []float64{0.2, 0.03} {
				var n []float64
				for i := range rolloutTrials {
					n = append(n, float64(roll(u, p, seed*100000+uint64(i), bad)))
				}
				row = append(row, quantile(n, 0.5), quantile(n, 0.99), quantile(n, 1))
			}
			false0 := 0
			for i := range rolloutTrials {
				if roll(u, p, seed*100000+uint64(i), 0.01) < rolloutLong {
					false0++
				}
			}
			row = append(row, 100*float64(false0)/rolloutTrials)
		}
		return row
	})
	mean := func(v []float64) []float64 {
		sum := 0.0
		for _, x := range v {
			sum += x
		}
		return []float64{sum / float64(len(v))}
	}
	n := u.name + "/rollout."
	out := []line{}
	for i, m := range []struct {
		name string
		goal float64
		info bool
	}{{"median-requests-to-halt-20%", 60, true}, {"p99-requests-to-halt-20%", 60, false}, {"most-requests-to-halt-20%", 60, false},
		{"median-requests-to-halt-3%", 1500, true}, {"p99-requests-to-halt-3%", 1500, false}, {"most-requests-to-halt-3%", 1500, false}} {
		out = append(out, line{name: n + m.name, policy: "sequential", got: column(rs, i), naive: "threshold", baseline: column(rs, 7+i), goal: m.goal, info: m.info})
	}
	return append(out, line{name: n + fmt.Sprintf("percent-false-halts-of-%d", rolloutTrials*len(seeds)), policy: "sequential",
		got: mean(column(rs, 6)), naive: "threshold", baseline: mean(column(rs, 13)), goal: 0.999})
}

// roll plays one roll-out and returns the requests that the version got until every VM had halted it.
func roll(u user, p rollout.Policy, seed uint64, bad float64) int {
	t := &trial{sim: &sim{}, rand: rand.New(rand.NewPCG(seed, 5)), rate: bad, halted: make([]bool, u.entries), pending: make([]bool, u.entries)}
	for i := range u.entries {
		e := &rollout.Evidence{Policy: p, Source: fmt.Sprint("vm-", i, ".1")}
		// The versions before it have served for long.
		e.Merge(rollout.Tally{Source: "before", Model: "m", Version: "1", Good: 3960, Bad: 40})
		t.vms = append(t.vms, e)
	}
	all := 0.7 * u.capacity()
	end := micros(float64(rolloutLong) / (all * canaryShare) * 1.3 * float64(second))
	t.arrivals(all*canaryShare, end)
	t.control(all*(1-canaryShare), end)
	for t.begun < rolloutLong && t.sim.now < end && !t.all() {
		t.sim.run(t.sim.now + second)
	}
	return t.begun
}

// arrivals sends requests to the new version through VMs that have not halted it. A failure shows after a short time, a
// success only at the end of the answer.
func (t *trial) arrivals(rate float64, end micros) {
	var next func()
	gap := func() micros { return micros(t.rand.ExpFloat64() / rate * float64(second)) }
	next = func() {
		i := t.rand.IntN(len(t.vms))
		if !t.halted[i] {
			t.begun++
			r := work.Result{Model: "m", Version: "2", Failed: t.rand.Float64() < t.rate}
			d := lognormal(t.rand, 4, 0.5)
			if r.Failed {
				d *= t.rand.Float64()
			}
			t.sim.after(micros(d*float64(second)), func() {
				t.vms[i].Report(r, "1")
				t.check(i)
				t.send(i)
			})
		}
		if t.sim.now < end {
			t.sim.after(gap(), next)
		}
	}
	t.sim.after(gap(), next)
}

// send passes the counts of a VM to the others in its next heartbeat, if none is under way already.
func (t *trial) send(i int) {
	if t.pending[i] {
		return
	}
	t.pending[i] = true
	t.sim.after(micros(t.rand.Float64()*float64(tallyGap)), func() {
		t.pending[i] = false
		for _, x := range t.vms[i].Tallies() {
			for k := range t.vms {
				if k != i && t.vms[k].Merge(x, "1") {
					t.check(k)
				}
			}
		}
	})
}

// control adds the results of the version in service, which gets the rest of the work.
func (t *trial) control(rate float64, end micros) {
	const gap = 30 * second
	good, bad := uint64(3960), uint64(40)
	t.sim.every(gap, end, func() {
		n := int(rate * float64(gap/second))
		b := 0
		for range n {
			if t.rand.Float64() < 0.01 {
				b++
			}
		}
		good, bad = good+uint64(n-b), bad+uint64(b)
		for _, e := range t.vms {
			e.Merge(rollout.Tally{Source: "before", Model: "m", Version: "1", Good: good, Bad: bad})
		}
	})
}

// check halts the version at a VM, which tells the others.
func (t *trial) check(i int) {
	if t.halted[i] || t.vms[i].Decide("m", "2").Action != rollout.Halt {
		return
	}
	t.halted[i] = true
	for k := range t.vms {
		t.sim.after(2*millisecond, func() { t.halted[k] = true })
	}
}

func (t *trial) all() bool {
	for _, h := range t.halted {
		if !h {
			return false
		}
	}
	return true
}
