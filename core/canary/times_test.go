package canary

import (
	"math"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"shallotrun/core/clock"
)

// playStreams simulates a fleet that exchanges its results three times a second. Streams of the new version take factor times
// as long between events as those of the old one. Two thirds of the VMs restart during the trial and adopt the usual times of
// the others.
func playStreams(seed uint64, factor float64) State {
	const vms, rate, restarted, restartAt = 9, 60, 6, 0.55
	order := Order{Service: "s", Target: "v2", Duration: 16 * clock.Second}
	random := rand.New(rand.NewPCG(seed, 3))
	fleet := make([]*Rollout, vms)
	for i := range fleet {
		fleet[i] = &Rollout{Order: order}
	}
	pool := func() {
		for i, x := range fleet {
			var others [][]Tally
			for j, y := range fleet {
				if i != j {
					others = append(others, y.Tallies())
					x.AdoptTimes(y.Times())
				}
			}
			x.Merge(Sum(others...))
		}
	}
	next, again := clock.Time(0), false
	for i := 0; ; i++ {
		now := clock.Time(i * 1000 / rate)
		if now >= clock.Time(order.Duration) {
			return Running
		}
		if float64(now) >= restartAt*float64(order.Duration) && !again {
			again = true
			for i := range restarted {
				fleet[i] = &Rollout{Order: order}
			}
		}
		if now >= next {
			next = now.Add(300)
			pool()
		}
		r := fleet[random.IntN(vms)]
		v := Result{Route: []string{"a", "b", "c"}[random.IntN(3)], First: 100, Pace: 40 * math.Exp(0.4*random.NormFloat64())}
		if r.Admit(now, random.Float64(), false) {
			v.Version = order.Target
			v.Pace *= factor
		}
		r.Report(now, v)
		for _, r := range fleet {
			if s, _ := r.Decide(now); s != Running {
				return s
			}
		}
	}
}

// Guards against finishing an order whose new version is several times as slow under load, and so hardly twice as slow while it
// gets few requests, and against VMs that take it for good because they have no usual times of their own.
func TestSlowStreams(t *testing.T) {
	for _, c := range []struct {
		name   string
		factor float64
		want   State
	}{
		{"alike", 1, Done},
		{"a little slower", 1.1, Done},
		{"twice as slow", 2.2, RolledBack},
		{"several times as slow", 8, RolledBack},
	} {
		wrong := 0
		for seed := range uint64(100) {
			if playStreams(seed, c.factor) != c.want {
				wrong++
			}
		}
		assert.Check(t, wrong <= 2, "%s: %d of 100 orders end in another state", c.name, wrong)
	}
}

// Guards against first answers that never come and so are never recorded: a request that waits for long is recorded as late
// early, but only once the usual time is reliable.
func TestOverdue(t *testing.T) {
	r := &Rollout{Order: Order{Service: "s", Target: "v2", Duration: 10000}}
	waiting := Result{Route: "a", Version: "v2", First: 900}
	assert.Check(t, !r.Overdue(0, waiting), "the usual time is not reliable yet")
	for range baselineMin {
		r.Report(0, Result{Route: "a", Version: "v1", First: 100, Partial: true})
	}
	assert.Check(t, !r.Overdue(0, Result{Route: "a", Version: "v2", First: 400}))
	for range 20 {
		assert.Check(t, r.Overdue(0, waiting))
	}
	s, reason := r.Decide(6000)
	assert.Equal(t, s, RolledBack, reason)
}
