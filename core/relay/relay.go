package relay

import (
	"slices"
	"strconv"

	"shallotrun/core/clock"
	"shallotrun/core/member"
)

const (
	// Watchers is the number of VMs in each domain that watch the platform: one may die without delay.
	Watchers = 2
	// fanout is the number of children: each VM sends two copies at most, and 34 VMs are reached in five hops.
	fanout = 2
	// answerTime is the wait for one peer's document before another one is asked.
	answerTime = 500 * clock.Millisecond
)

// Watches reports whether self watches the platform. names are the domain's VMs that live, sorted.
func Watches(self string, names []string) bool {
	return slices.Contains(names[:min(Watchers, len(names))], self)
}

// Children returns the VMs to which self passes a revision. The watchers, which have it from the platform,
// are the roots.
func Children(self string, revision uint64, names []string) []string {
	roots := min(Watchers, len(names))
	order := slices.Concat(names[:roots], member.Rank(strconv.FormatUint(revision, 10), names[roots:], len(names)))
	at := slices.Index(order, self)
	if at < 0 {
		return nil
	}
	first := roots + at*fanout
	if first >= len(order) {
		return nil
	}
	return order[first:min(first+fanout, len(order))]
}

// Wants chooses whom to ask for a document.
type Wants struct {
	asked clock.Time
	busy  bool
}

// Heard takes the revision of a peer. It reports whether to ask that peer now: one is asked at a time, and
// the next one when the answer is late.
func (w *Wants) Heard(now clock.Time, own, theirs uint64) bool {
	if theirs <= own {
		return false
	}
	if w.busy && now.Sub(w.asked) < answerTime {
		return false
	}
	w.asked, w.busy = now, true
	return true
}

// Answered says that a document arrived.
func (w *Wants) Answered() { w.busy = false }
