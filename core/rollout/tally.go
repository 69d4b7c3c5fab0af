package rollout

import "shallotrun/core/work"

// sourcesMost bounds the VMs and incarnations whose counts are kept for one version. At 340 VMs with 330 failures and
// restarts a day it lasts for a roll-out of ten days; later sources are ignored.
const sourcesMost = 4096

// countMost bounds a count: a source that claims more is broken.
const countMost = 1 << 40

// Tally is what one source counted for a version since it started. A source is an entry VM with its incarnation, so
// that a restart counts from zero under a new name.
type Tally struct {
	Source  string `cbor:"source"`
	Model   string `cbor:"model"`
	Version string `cbor:"version"`
	Good    uint64 `cbor:"good"`
	Bad     uint64 `cbor:"bad"`
}

// version identifies a version of a model.
type version struct{ model, version string }

// counts are the results of one version by source.
type counts map[string]Tally

// merge takes the larger counts and returns how many results are new.
func (c counts) merge(t Tally) (good, bad uint64) {
	if t.Good > countMost || t.Bad > countMost {
		return 0, 0
	}
	old, known := c[t.Source]
	if !known && len(c) >= sourcesMost {
		return 0, 0
	}
	good, bad = max(t.Good, old.Good)-old.Good, max(t.Bad, old.Bad)-old.Bad
	t.Good, t.Bad = max(t.Good, old.Good), max(t.Bad, old.Bad)
	c[t.Source] = t
	return good, bad
}

// Counts reports whether a result is evidence about a version: refusals show load and are left out.
func Counts(r work.Result) bool { return r.Version != "" && !r.Refused }
