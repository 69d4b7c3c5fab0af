package bench

import (
	"fmt"
	"io"
	"slices"
)

// line is one result: a measure of a policy over several seeds, the same for the baseline, and the goal.
type line struct {
	name     string
	policy   string
	got      []float64 // one for each seed
	naive    string    // name of the baseline policy
	baseline []float64
	goal     float64
	least    bool // the goal is a lower bound
	info     bool // there is no goal
}

// ok reports whether the worst seed reaches the goal.
func (l line) ok() bool {
	if l.info {
		return true
	}
	if l.least {
		return slices.Min(l.got) >= l.goal
	}
	return slices.Max(l.got) <= l.goal
}

func (l line) write(w io.Writer) bool {
	goal, word := fmt.Sprintf("<=%.4g", l.goal), "short"
	if l.least {
		goal = fmt.Sprintf(">=%.4g", l.goal)
	}
	if l.info {
		goal = "none"
	}
	if l.ok() {
		word = "ok"
	}
	fmt.Fprintf(w, "bench %s policy=%s got=%s baseline=%s:%s goal=%s %s\n",
		l.name, l.policy, spread(l.got), l.naive, spread(l.baseline), goal, word)
	return l.ok()
}

// spread formats the median and the range.
func spread(v []float64) string {
	if len(v) == 0 {
		return "none"
	}
	return fmt.Sprintf("%.4g[%.4g..%.4g]", quantile(v, 0.5), slices.Min(v), slices.Max(v))
}

// quantile returns the q quantile of unsorted values, 0 without any.
func quantile(v []float64, q float64) float64 {
	if len(v) == 0 {
		return 0
	}
	s := slices.Sorted(slices.Values(v))
	return s[min(int(q*float64(len(s))), len(s)-1)]
}
