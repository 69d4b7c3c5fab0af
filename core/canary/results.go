package canary

import (
	"fmt"

	"shallotrun/core/clock"
)

// The results of a series are kept by slices of time, so that the versions are compared with each other in the same time: a fault
// of the old version's servers that has ended must not excuse failures of the new version. Slice 0 holds all results before the new
// version gets requests, and those of VMs of earlier builds, whose times are not known. The last slice has no end.
const (
	// maxSlices bounds the size of reports. They cover the order's duration and half as much after it.
	maxSlices = 25
	// slicesPerOrder is the number of slices in an order's duration, unless they would be shorter than minSlice.
	slicesPerOrder = 32
	// minSlice is the shortest slice. A result is counted up to this much later on a VM that read the order later.
	minSlice = 700 * clock.Millisecond
)

// slice returns the number of the slice that a time is in.
func (r *Rollout) slice(now clock.Time) int {
	first := clock.Span(trialStart * float64(r.Order.Duration))
	elapsed := now.Sub(r.FirstSeen) - first
	if elapsed < 0 {
		return 0
	}
	return int(min(1+elapsed/max(r.Order.Duration/slicesPerOrder, minSlice), maxSlices-1))
}

// series identifies a series of results: that of a service or route, of the old or the new version.
type series struct {
	name   string
	target bool
}

// count counts the good and the bad results of a version.
type count struct{ good, bad uint64 }

func (c count) all() float64 { return float64(c.good + c.bad) }

func (c count) plus(d count) count { return count{c.good + d.good, c.bad + d.bad} }

// String returns the bad results and all results as text for the log.
func (c count) String() string { return fmt.Sprintf("%d of %d", c.bad, c.good+c.bad) }

// results are the results of one version in a series, by slice.
type results [maxSlices]count

// at returns the results in a slice; a nil t has none.
func (t *results) at(slice int) count {
	if t == nil {
		return count{}
	}
	return t[slice]
}

// total returns the results in all slices.
func (t *results) total() (sum count) {
	if t == nil {
		return count{}
	}
	for _, c := range t {
		sum = sum.plus(c)
	}
	return sum
}

// seriesOf returns the results of a series, which it adds if there are none.
func seriesOf(m map[series]*results, k series) *results {
	t := m[k]
	if t == nil {
		t = &results{}
		m[k] = t
	}
	return t
}

// add adds results to a slice.
func (t *results) add(slice int, c count) { t[slice] = t[slice].plus(c) }
