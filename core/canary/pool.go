package canary

import (
	"cmp"
	"slices"

	"shallotrun/core/rollout"
)

// subject is what results are counted for: a service or route, and the old or the new version.
type subject struct {
	model  string
	target bool
}

type count struct{ good, bad uint64 }

// Tally is the number of results for a service or route, of the old or of the new version. Counts only grow.
type Tally struct {
	Model  string // service or route
	Target bool   // of the new version
	Good   uint64
	Bad    uint64
}

// fleetSource names the sums of other VMs in the evidence.
const fleetSource = "fleet"

// Tallies returns the results of this VM, to be added up with those of other VMs.
func (r *Rollout) Tallies() []Tally {
	out := make([]Tally, 0, len(r.own))
	for k, c := range r.own {
		out = append(out, Tally{k.model, k.target, c.good, c.bad})
	}
	slices.SortFunc(out, func(a, b Tally) int {
		if c := cmp.Compare(a.Model, b.Model); c != 0 {
			return c
		}
		return cmp.Compare(b2f(a.Target), b2f(b.Target))
	})
	return out
}

// Merge takes the sums of other VMs' results. A sum that is smaller than an earlier one, for example after another VM
// began to add them up, changes nothing until it has grown beyond.
func (r *Rollout) Merge(sums []Tally) {
	if r.Order.State == Done || r.Order.State == RolledBack {
		return
	}
	if r.fleet == nil {
		r.fleet = make(map[subject]count)
	}
	for _, t := range sums {
		k := subject{t.Model, t.Target}
		had := r.fleet[k]
		now := count{max(had.good, t.Good), max(had.bad, t.Bad)}
		if now == had {
			continue
		}
		r.fleet[k] = now
		r.evidence.Merge(rollout.Tally{
			Source: fleetSource, Model: t.Model, Version: r.version(t.Target), Good: now.good, Bad: now.bad,
		}, "")
		r.add(k, float64(now.good-had.good), float64(now.bad-had.bad))
	}
}

// Verdict returns why the new version is bad, "" if it is not known to be.
func (r *Rollout) Verdict() string { return r.verdict }

// Blame takes the verdict of another VM.
func (r *Rollout) Blame(reason string) {
	if r.verdict == "" {
		r.verdict = reason
	}
}

// Sum adds tallies up.
func Sum(all ...[]Tally) []Tally {
	sums := make(map[subject]count)
	for _, ts := range all {
		for _, t := range ts {
			c := sums[subject{t.Model, t.Target}]
			sums[subject{t.Model, t.Target}] = count{c.good + t.Good, c.bad + t.Bad}
		}
	}
	r := Rollout{own: sums}
	return r.Tallies()
}
