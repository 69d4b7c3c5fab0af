package queue

import "shallotrun/core/work"

// Policy is the order in which waiting items are served.
type Policy interface{ policy() }

// FIFO serves in order of arrival whatever the rank and tenant. It is a baseline.
type FIFO struct{}

// Strict serves the most urgent rank first and in order of arrival within a rank. It is a baseline: during a
// flood the lower ranks get nothing, and a large tenant delays the small ones.
type Strict struct{}

// Fair serves the most urgent rank first, except that a lower rank gets its minimum share of the tokens while
// more urgent work waits. Within a rank the tenants share by weight.
type Fair struct {
	Normal int // minimum share of Normal in percent, 0 means 10
	Batch  int // minimum share of Batch in percent, 0 means 5
	// Reserve is the number of free slots that PopFree leaves to more urgent ranks: Batch starts only while
	// more than Reserve slots are free, Normal while more than half of that are. A tenant above its fair part of
	// the running requests of its rank leaves half of Reserve more. Without it, urgent work and small tenants
	// that arrive during a flood have to wait until a running request ends.
	Reserve int
}

func (FIFO) policy()   {}
func (Strict) policy() {}
func (Fair) policy()   {}

// share returns the minimum share of a rank as a fraction.
func (f Fair) share(r work.Rank) float64 {
	switch {
	case r == work.Normal && f.Normal > 0:
		return float64(f.Normal) / 100
	case r == work.Normal:
		return 0.10
	case r == work.Batch && f.Batch > 0:
		return float64(f.Batch) / 100
	case r == work.Batch:
		return 0.05
	}
	return 0
}

// reserve returns the number of free slots that a request leaves to more urgent ranks and smaller tenants.
func (f Fair) reserve(r work.Rank, heavy bool) int {
	n := int(r) * f.Reserve
	if heavy {
		n += f.Reserve
	}
	return n / 2
}
