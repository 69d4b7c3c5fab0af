package share

import (
	"slices"

	"shallotrun/core/work"
)

// Policy is the rule by which an owner divides the slots among the holders.
type Policy interface{ policy() }

// Equal gives each holder the same number of slots, regardless of its demand. It is a baseline for comparison.
type Equal struct{}

// Demand gives slots to the most urgent demand first, with minimum shares for the lower ranks. It divides them equally among
// holders that want more than they can get, and distributes unwanted slots among all.
type Demand struct {
	Normal int // minimum share of Normal in percent, 0 means 10
	Batch  int // minimum share of Batch in percent, 0 means 5
	// Reserve is the number of slots that are granted only for urgent demand, so that it does not have to wait until another
	// holder gives back a slot.
	Reserve int
}

func (Equal) policy()  {}
func (Demand) policy() {}

// divide returns the slots of each holder, and how many of them belong to the minimum share of each rank.
func divide(p Policy, total int, wants [][work.Ranks]int) (out []int, shares [][work.Ranks]int) {
	out = make([]int, len(wants))
	given := make([][work.Ranks]int, len(wants))
	d, ok := p.(Demand)
	if !ok {
		distribute(out, total, nil)
		return out, given
	}
	if d.Normal == 0 {
		d.Normal = 10
	}
	if d.Batch == 0 {
		d.Batch = 5
	}
	unreserved := max(total-d.Reserve, 0)
	left := total
	give := func(r work.Rank, most int) {
		rest := make([]int, len(wants))
		for i, w := range wants {
			rest[i] = w[r] - given[i][r]
		}
		got := make([]int, len(wants))
		left -= distribute(got, min(most, left), rest)
		for i, n := range got {
			given[i][r] += n
			out[i] += n
		}
	}
	give(work.Normal, unreserved*d.Normal/100)
	give(work.Batch, unreserved*d.Batch/100)
	shares = slices.Clone(given)
	give(work.Urgent, left)
	give(work.Normal, left-d.Reserve)
	give(work.Batch, left-d.Reserve)
	distribute(out, left-d.Reserve, nil)
	return out, shares
}

// distribute adds up to n slots to out, one by one in turn, to those that want more, or to all if wants is nil. It returns how
// many it added.
func distribute(out []int, n int, wants []int) int {
	given := 0
	for more := len(out) > 0; more && given < n; {
		more = false
		for i := range out {
			if given < n && (wants == nil || out[i] < wants[i]) {
				out[i]++
				given++
				more = true
			}
		}
	}
	return given
}
