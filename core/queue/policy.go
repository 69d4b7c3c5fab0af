package queue

import "shallotrun/core/work"

// Policy is the order in which waiting items are served.
type Policy interface{ policy() }

// FIFO serves in order of arrival, regardless of rank and tenant. It is a baseline for comparison.
type FIFO struct{}

// Strict serves the most urgent rank first and in order of arrival within a rank. It is a baseline for comparison: during
// overload by urgent requests the lower ranks get nothing, and a tenant with many requests delays the others.
type Strict struct{}

// Fair serves the most urgent rank first, except that a lower rank gets its minimum share of the service while more urgent work
// waits. Within a rank the service is divided among the tenants by weight.
type Fair struct {
	Normal int // minimum share of Normal in percent, 0 means 10
	Batch  int // minimum share of Batch in percent, 0 means 5
	// Reserve is the number of free slots that PopFree leaves to more urgent ranks: Batch starts only while more than
	// Reserve slots are free, Normal only while more than half of that are. A tenant that overuses its share of the running
	// requests of its rank has to leave another half of Reserve. Without a reserve, urgent requests and small tenants that
	// arrive during overload have to wait until a running request ends.
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

// reservedSlots returns the number of free slots that a request has to leave to more urgent ranks and to tenants within their
// share. Overusing means that the request's tenant overuses its own.
func (f Fair) reservedSlots(r work.Rank, overusing bool) int {
	n := int(r) * f.Reserve
	if overusing {
		n += f.Reserve
	}
	return n / 2
}
