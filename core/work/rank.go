package work

import "github.com/samber/oops"

// The ranks, most urgent first.
const (
	Urgent Rank = iota
	Normal
	Batch
	// Ranks is the number of ranks.
	Ranks = 3
)

// Rank is the urgency of a request. A lower number is more urgent.
type Rank uint8

// ParseRank reads the name of a rank. It fails on any other string.
func ParseRank(s string) (Rank, error) {
	switch s {
	case "urgent":
		return Urgent, nil
	case "normal":
		return Normal, nil
	case "batch":
		return Batch, nil
	}
	return 0, oops.Errorf("unknown rank %q, want urgent, normal or batch", s)
}

// String returns the name that ParseRank reads.
func (r Rank) String() string {
	switch r {
	case Urgent:
		return "urgent"
	case Normal:
		return "normal"
	default:
		return "batch"
	}
}
