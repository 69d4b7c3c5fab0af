package follow

import (
	"slices"

	"shallotrun/core/clock"
	"shallotrun/internal/feed"
)

const (
	// candidatesPerDomain is the number of VMs of a failure domain that others may follow. Each has an entry in the store, and
	// the domain has to find another one only when all of them are lost together.
	candidatesPerDomain = 4
	// presenceTimeout is how long after its last poll a VM is regarded as present. It covers several lost polls.
	presenceTimeout = 3 * clock.Second
	// settleTime is how long a VM records polls before it chooses candidates, so that all VMs that are present have polled it.
	settleTime = 2 * clock.Second
	// removeAfter is how long after a candidate's last poll its entry is removed from the store.
	removeAfter = 60 * clock.Second
	// removeInterval bounds the rate at which entries are removed.
	removeInterval = clock.Second
	// maxEntries is the number of entries of a failure domain beyond which the last ones in the order are removed. There can be more
	// than candidatesPerDomain because VMs that found none to follow in time write entries of their own.
	maxEntries = 2 * candidatesPerDomain
)

// followerTable records the polls of the VMs that follow this one, and chooses the candidates of the failure domain from them.
type followerTable struct {
	since       clock.Time            // when the upstream last changed
	lastPolls   map[string]pollRecord // by VM
	lastRemoval clock.Time            // when an entry was last removed
}

// pollRecord is the last poll of a VM.
type pollRecord struct {
	at  clock.Time
	cpu float64
}

// record records a poll of a VM.
func (t *followerTable) record(now clock.Time, name string, cpu float64) {
	if t.lastPolls == nil {
		t.lastPolls = make(map[string]pollRecord)
	}
	t.lastPolls[name] = pollRecord{now, cpu}
}

// shouldBecomeCandidate reports whether a VM that follows this one should become a candidate: it is among the first in the
// order of those that are present, and has no entry yet.
func (t *followerTable) shouldBecomeCandidate(now clock.Time, self feed.Member, entries []feed.Member, name string) bool {
	if now.Sub(t.since) < settleTime || slices.ContainsFunc(entries, func(m feed.Member) bool { return m.Name == name }) {
		return false
	}
	present := []feed.Member{self}
	for name, poll := range t.lastPolls {
		switch age := now.Sub(poll.at); {
		case age < presenceTimeout:
			present = append(present, feed.Member{Name: name, Domain: self.Domain, CPU: poll.cpu})
		case age > removeAfter:
			delete(t.lastPolls, name)
		}
	}
	first := sortByPreference(present)[:min(candidatesPerDomain, len(present))]
	return slices.ContainsFunc(first, func(m feed.Member) bool { return m.Name == name })
}

// entryToRemove returns a candidate of this failure domain whose entry is to be removed, if any: the last one in the order if
// there are more than maxEntries, else one that has not polled for removeAfter.
func (t *followerTable) entryToRemove(now clock.Time, self feed.Member, entries []feed.Member) (string, bool) {
	if now.Sub(t.since) < settleTime || now.Sub(t.lastRemoval) < removeInterval {
		return "", false
	}
	candidates := sortByPreference(inDomain(self.Domain, entries))
	if last := len(candidates) - 1; last >= maxEntries && candidates[last].Name != self.Name {
		t.lastRemoval = now
		return candidates[last].Name, true
	}
	if now.Sub(t.since) < removeAfter {
		return "", false
	}
	for _, m := range candidates {
		if poll, ok := t.lastPolls[m.Name]; m.Name != self.Name && (!ok || now.Sub(poll.at) > removeAfter) {
			t.lastRemoval = now
			return m.Name, true
		}
	}
	return "", false
}
