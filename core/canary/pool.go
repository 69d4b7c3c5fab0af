package canary

import (
	"cmp"
	"slices"
)

// Tally counts the results of one version in a series of a service or route. The counts only grow.
type Tally struct {
	Model  string // service or route; a suffix marks results about failures, first answers or the pace of streams
	Target bool   // whether the results are those of the new version
	Good   uint64
	Bad    uint64
	// Slices are the parts of Good and Bad in each slice of time after the first one: the good results of a slice are followed by its
	// bad ones. Slices without results at the end are left out; VMs of earlier builds send none.
	Slices []uint64 `cbor:",omitempty"`
}

// Tallies returns the results of this VM, ordered by series, for the sums that other VMs take.
func (r *Rollout) Tallies() []Tally { return tallies(r.own) }

func tallies(m map[series]*results) []Tally {
	out := make([]Tally, 0, len(m))
	for k, t := range m {
		sum := t.total()
		out = append(out, Tally{k.name, k.target, sum.good, sum.bad, t.encode()})
	}
	slices.SortFunc(out, func(a, b Tally) int {
		if c := cmp.Compare(a.Model, b.Model); c != 0 {
			return c
		}
		return cmp.Compare(b2f(a.Target), b2f(b.Target))
	})
	return out
}

// encode returns the slices after the first one, as Tally.Slices has them.
func (t *results) encode() (out []uint64) {
	for i, c := range t {
		if i == 0 || c == (count{}) {
			continue
		}
		out = append(out, make([]uint64, 2*(i-1)-len(out))...)
		out = append(out, c.good, c.bad)
	}
	return out
}

// decode returns the results of a tally by slice. What is in no slice is in the first one; slices that exceed the sums of the tally,
// as only a faulty peer sends them, are left out.
func (t Tally) decode() (out results) {
	left := count{t.Good, t.Bad}
	for i := 0; i+1 < len(t.Slices) && i/2+1 < maxSlices; i += 2 {
		c := count{t.Slices[i], t.Slices[i+1]}
		if c.good > left.good || c.bad > left.bad {
			break
		}
		out[i/2+1], left = c, count{left.good - c.good, left.bad - c.bad}
	}
	out[0] = left
	return out
}

// Merge takes in the sums of other VMs' results. Counts that are not larger than those merged before change nothing, for
// example the smaller sum that follows when another VM starts to compute it.
func (r *Rollout) Merge(sums []Tally) {
	if r.Order.State == Done || r.Order.State == RolledBack {
		return
	}
	if r.fleet == nil {
		r.fleet = make(map[series]*results)
	}
	var worse []series
	for _, t := range sums {
		if k := (series{t.Model, t.Target}); r.mergeSeries(k, t.decode()) {
			worse = append(worse, k)
		}
	}
	for _, k := range worse {
		r.judge(k)
	}
}

// mergeSeries takes in the sums of other VMs' results in a series, and reports whether there are new bad ones.
func (r *Rollout) mergeSeries(k series, sums results) (bad bool) {
	fleet := seriesOf(r.fleet, k)
	if had, now := fleet.total(), sums.total(); now.good <= had.good && now.bad <= had.bad {
		return false
	}
	for i, c := range sums {
		had := fleet[i]
		more := count{max(had.good, c.good) - had.good, max(had.bad, c.bad) - had.bad}
		if more != (count{}) {
			fleet.add(i, more)
			r.addResults(k, i, more)
			bad = bad || more.bad > 0
		}
	}
	return bad
}

// Verdict returns the reason why the new version is bad, or "" while there is no verdict against it.
func (r *Rollout) Verdict() string { return r.verdict }

// AdoptVerdict takes over the verdict of another VM, unless there is one already.
func (r *Rollout) AdoptVerdict(reason string) {
	if r.verdict == "" {
		r.verdict = reason
	}
}

// Sum returns the sum of tallies by series, in the order of Tallies.
func Sum(all ...[]Tally) []Tally {
	sums := make(map[series]*results)
	for _, ts := range all {
		for _, t := range ts {
			sum := seriesOf(sums, series{t.Model, t.Target})
			for i, c := range t.decode() {
				sum.add(i, c)
			}
		}
	}
	return tallies(sums)
}
