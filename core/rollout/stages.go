package rollout

import "slices"

// Stages are the shares of new work, in percent, of the stages of a rollout. After the last one the version becomes live.
type Stages []int

// DefaultStages returns the default shares. They start small because the number of requests that a bad version can harm grows
// with its share.
func DefaultStages() Stages { return Stages{1, 5, 20, 50} }

// Next returns the share of the stage after the given one, or 100 and false if the version should become live.
func (s Stages) Next(share int) (int, bool) {
	if i := slices.IndexFunc(s, func(n int) bool { return n > share }); i >= 0 {
		return s[i], true
	}
	return 100, false
}
