package place

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"shallotrun/core/clock"
	"shallotrun/core/work"
)

func policies() []Policy {
	return []Policy{Random{}, RoundRobin{}, LeastConnections{}, TwoChoices{}, CacheAffinity{}, LearnedCapacity{}}
}

func candidates(n int) []Candidate {
	var all []Candidate
	for i := range n {
		all = append(all, Candidate{Name: fmt.Sprint("s", i), Domain: fmt.Sprint("d", i%3), Slots: 8, HasLoad: true, Load: work.Load{Slots: 8}})
	}
	return all
}

// Guards against a pick of a server that was tried, is full or is leaving, under any policy.
func TestPickIsEligible(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &Placer{Policy: rapid.SampledFrom(policies()).Draw(t, "policy"), Domain: "d0"}
		for step := range rapid.IntRange(1, 30).Draw(t, "steps") {
			now := clock.Time(step * 100)
			all := candidates(rapid.IntRange(0, 6).Draw(t, "servers"))
			req := Request{Model: "m", Version: "1", Tokens: 100, Prefix: uint64(step % 4)}
			good := map[string]bool{}
			for i := range all {
				c := &all[i]
				switch rapid.IntRange(0, 4).Draw(t, "fault") {
				case 0:
					c.OwnInFlight = c.Slots
				case 1:
					c.Load.Leaving = true
				case 2:
					req.Exclude = append(req.Exclude, c.Name)
				default:
					good[c.Name] = true
				}
			}
			name, ok := p.Pick(now, req, all)
			assert.Equal(t, ok, len(good) > 0)
			assert.Assert(t, !ok || good[name], "picked %s", name)
			if ok {
				r := work.Result{Server: name, Failed: rapid.Bool().Draw(t, "failed"), Refused: step%3 == 0, Total: 100, Tokens: 10}
				p.Report(now, r)
			}
		}
	})
}

// Guards against servers that fail and still receive requests, and against ejecting a whole pool for a fault whose cause is
// not the servers.
func TestEjection(t *testing.T) {
	tests := []struct {
		failing int
		at      clock.Time
		want    int // servers that are picked
	}{
		{0, 100, 6}, {2, 100, 4}, {3, 100, 3}, {5, 100, 6}, {2, 100 + clock.Time(minEjection), 6},
	}
	for _, tt := range tests {
		p := &Placer{Policy: Random{}, Rand: rand.New(rand.NewPCG(1, 1))}
		for i := range tt.failing {
			for range ejectAfterFailures {
				p.Report(0, work.Result{Server: fmt.Sprint("s", i), Failed: true})
			}
		}
		seen := map[string]bool{}
		for range 200 {
			name, _ := p.Pick(tt.at, Request{}, candidates(6))
			seen[name] = true
		}
		assert.Equal(t, len(seen), tt.want, "%d failing at %d", tt.failing, tt.at)
	}
}

// Guards against VMs that send the same session to different servers while all are idle, and against affinity that outweighs
// the queue of a full server.
func TestAffinity(t *testing.T) {
	all := candidates(12)
	req := Request{Session: "dispute-7", Tokens: 2000}
	first := map[string]int{}
	for vm := range 20 {
		p := &Placer{Rand: rand.New(rand.NewPCG(uint64(vm), 1))}
		name, _ := p.Pick(0, req, all)
		first[name]++
	}
	assert.Equal(t, len(first), 1)
	for i := range all {
		if first[all[i].Name] > 0 {
			all[i].Load.Running, all[i].Load.Waiting = 8, 20
		}
	}
	name, _ := (&Placer{}).Pick(0, req, all)
	assert.Equal(t, first[name], 0)
}

// Guards against a burst from one VM to one server whose load report lags.
func TestEstimateIncludesOwnPicks(t *testing.T) {
	p := &Placer{Policy: TwoChoices{}}
	all := candidates(2)
	all[0].Load.Running = 3
	got := map[string]int{}
	for range 13 {
		name, _ := p.Pick(10, Request{}, all)
		got[name]++
	}
	assert.Check(t, got["s1"] == 8 && got["s0"] == 5, "%v", got)
	p.Report(11, work.Result{Server: "s1"})
	assert.Equal(t, p.estimate(all[1]), 7.0)
	all[1].Load.At = 12
	assert.Equal(t, p.estimate(all[1]), 0.0)
}

// Guards against memory use that grows with the number of sessions or of replaced servers.
func TestStateIsBounded(t *testing.T) {
	p := &Placer{MaxAffinities: 100}
	for i := range 1000 {
		now := clock.Time(i) * clock.Time(clock.Minute)
		name := fmt.Sprint("s", i)
		_, ok := p.Pick(now, Request{Session: name}, []Candidate{{Name: name}})
		assert.Assert(t, ok)
		p.Report(now, work.Result{Server: name, Total: 10})
	}
	assert.Check(t, len(p.affinities.entries) == 100 && p.affinities.order.Len() == 100 && len(p.servers) <= 12, "%d", len(p.servers))
}

// Guards against a request that is sent to one unreachable server after another while the VM's failure domain is partitioned
// from the rest: then most servers cannot be reached, and earlier results show which ones can.
func TestUnreachableServersAreSkipped(t *testing.T) {
	for _, c := range []struct {
		name string
		down bool
		want bool // only servers of the own domain are picked
	}{
		{"cannot be reached", true, true},
		{"fail requests, which may be the requests' fault", false, false},
	} {
		p := &Placer{Policy: CacheAffinity{}, Domain: "d0"}
		all := candidates(12) // four of them in d0
		for _, v := range all {
			for range ejectAfterFailures {
				if v.Domain != "d0" {
					p.Pick(0, Request{}, all)
					p.Report(0, work.Result{Server: v.Name, Failed: true, Unreachable: c.down})
				}
			}
		}
		own := true
		for range 50 {
			name, ok := p.Pick(100, Request{}, all)
			assert.Assert(t, ok)
			own = own && (name == "s0" || name == "s3" || name == "s6" || name == "s9")
		}
		assert.Equal(t, own, c.want, c.name)
	}
	// If no server can be reached, any may be picked.
	p := &Placer{Policy: CacheAffinity{}, Domain: "d0"}
	all := candidates(3)
	for _, v := range all {
		p.Report(0, work.Result{Server: v.Name, Failed: true, Unreachable: true})
	}
	_, ok := p.Pick(100, Request{}, all)
	assert.Check(t, ok)
}
