package relay

import (
	"slices"
	"strconv"

	"shallotrun/core/clock"
	"shallotrun/core/member"
)

const (
	// Watchers is the number of VMs in each domain that watch the platform: if one fails, the other delivers without delay.
	Watchers = 2
	// fanout is the number of children of a VM: each VM sends at most two copies, and 34 VMs are reached in five hops.
	fanout = 2
	// fetchTimeout is the time to wait for the document from one peer before another peer is asked.
	fetchTimeout = 500 * clock.Millisecond
)

// IsWatcher reports whether self watches the platform. names are the live VMs of the domain, sorted.
func IsWatcher(self string, names []string) bool {
	return slices.Contains(names[:min(Watchers, len(names))], self)
}

// Children returns the VMs to which self sends a revision. The watchers, which receive it from the platform, are the roots.
// names are the live VMs of the domain, sorted.
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

// FetchLimiter limits the requests for a newer document to one at a time.
type FetchLimiter struct {
	askedAt clock.Time
	pending bool
}

// Allow reports whether to request the document now from a peer that has revision theirs, and records the request as pending. The
// revision must be higher than own, and an earlier request must be done or at least fetchTimeout old.
func (w *FetchLimiter) Allow(now clock.Time, own, theirs uint64) bool {
	if theirs <= own {
		return false
	}
	if w.pending && now.Sub(w.askedAt) < fetchTimeout {
		return false
	}
	w.askedAt, w.pending = now, true
	return true
}

// Done records that a document arrived.
func (w *FetchLimiter) Done() { w.pending = false }
