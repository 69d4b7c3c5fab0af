package rollout

import "slices"

// Stages is the percentages of new work through which a roll-out goes; the last one is followed by the state live.
type Stages []int

// DefaultStages starts small: the requests that a bad version can harm grow with its share.
func DefaultStages() Stages { return Stages{1, 5, 20, 50} }

// Next returns the stage after the given share, false when the version should become live.
func (s Stages) Next(share int) (int, bool) {
	if i := slices.IndexFunc(s, func(n int) bool { return n > share }); i >= 0 {
		return s[i], true
	}
	return 100, false
}
