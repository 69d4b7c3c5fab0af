package work

import "github.com/samber/oops"

// The ranks, from the most to the least urgent.
const (
	Urgent Rank = iota
	Normal
	Batch
	// Ranks is the number of ranks.
	Ranks = 3
)

// Rank is the priority class of a request. A lower number is more urgent.
type Rank uint8

// ParseRank returns the rank of a name. It returns an error for any other string.
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

// String returns the name that ParseRank accepts.
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
