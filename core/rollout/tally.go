package rollout

import "shallotrun/core/work"

// maxSources bounds the sources whose counts are kept for one version. With 340 VMs and 330 failures and restarts a day it
// suffices for a rollout of ten days; later sources are ignored.
const maxSources = 4096

// maxCount bounds a count; a source with a higher one is faulty.
const maxCount = 1 << 40

// Tally holds the counts of one source for a version since the source started. A source is an entry VM with its incarnation, so
// that a VM counts from zero under a new name after a restart.
type Tally struct {
	Source  string `cbor:"source"`
	Model   string `cbor:"model"`
	Version string `cbor:"version"`
	Good    uint64 `cbor:"good"`
	Bad     uint64 `cbor:"bad"`
}

// version identifies a version of a model.
type version struct{ model, version string }

// tallies holds the counts of one version by source.
type tallies map[string]Tally

// merge takes the larger counts, and returns the number of good and bad results that are new.
func (c tallies) merge(t Tally) (good, bad uint64) {
	if t.Good > maxCount || t.Bad > maxCount {
		return 0, 0
	}
	old, known := c[t.Source]
	if !known && len(c) >= maxSources {
		return 0, 0
	}
	good, bad = max(t.Good, old.Good)-old.Good, max(t.Bad, old.Bad)-old.Bad
	t.Good, t.Bad = max(t.Good, old.Good), max(t.Bad, old.Bad)
	c[t.Source] = t
	return good, bad
}

// IsEvidence reports whether a result is evidence about a version. Refusals are not, since they are due to load.
func IsEvidence(r work.Result) bool { return r.Version != "" && !r.Refused }
