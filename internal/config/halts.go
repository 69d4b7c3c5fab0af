package config

import (
	"sort"
	"sync"

	"shallotrun/core/clock"
	"shallotrun/core/document"
)

// Halt is the halt state of one version. The version is halted while Halted is higher than Cleared. Neither revision ever
// decreases, so VMs merge their states, in any order, by taking the maximum of each.
type Halt struct {
	Model   string     `json:"model" cbor:"model"`
	Version string     `json:"version" cbor:"version"`
	Halted  uint64     `json:"halted" cbor:"halted"`   // revision in force when the version was halted
	Cleared uint64     `json:"cleared" cbor:"cleared"` // halts at this revision or an earlier one are cleared
	Reason  string     `json:"reason" cbor:"reason"`
	At      clock.Time `json:"at" cbor:"at"` // wall clock
}

// Active reports whether the version is halted.
func (h Halt) Active() bool { return h.Halted > h.Cleared }

// halts holds the halt state of the versions.
type halts struct {
	mu  sync.RWMutex
	all map[string]Halt // by MODEL@VERSION
}

// Halted reports whether the version is halted because of the results of its attempts.
func (s *Store) Halted(model, version string) bool {
	s.halts.mu.RLock()
	defer s.halts.mu.RUnlock()
	return s.halts.all[model+"@"+version].Active()
}

// Halt halts a version until an operator changes its state in the document. It reports whether the halt is new: false if the
// version is halted already or is not in the document in force.
func (s *Store) Halt(model, version, reason string) bool {
	activated := s.MergeHalts([]Halt{{
		Model: model, Version: version, Halted: max(1, s.Revision()), Reason: reason, At: s.Clock.Wall(),
	}})
	return len(activated) > 0
}

// MergeHalts merges the halts of a peer and returns those that became active, so that the caller can forward them. Versions
// that are not in the document in force are ignored, which bounds the set.
func (s *Store) MergeHalts(from []Halt) []Halt {
	now := s.Current()
	if now == nil {
		return nil
	}
	s.halts.mu.Lock()
	defer s.halts.mu.Unlock()
	var activated []Halt
	for _, h := range from {
		if now.Document.Version(h.Model, h.Version) == nil {
			continue
		}
		key := h.Model + "@" + h.Version
		old := s.halts.all[key]
		merged := mergeHalt(old, h)
		if s.halts.all == nil {
			s.halts.all = map[string]Halt{}
		}
		s.halts.all[key] = merged
		if merged.Active() && !old.Active() {
			activated = append(activated, merged)
			s.Log.Warn().Str("model", h.Model).Str("version", h.Version).Str("reason", h.Reason).Msg("config: version halted")
		}
	}
	return activated
}

// Halts returns the halt states of all versions, ordered by MODEL@VERSION. Cleared halts are included, because a peer may have
// missed the document that cleared them.
func (s *Store) Halts() []Halt {
	s.halts.mu.RLock()
	defer s.halts.mu.RUnlock()
	out := make([]Halt, 0, len(s.halts.all))
	for _, h := range s.halts.all {
		out = append(out, h)
	}
	sort.Slice(out, func(i, j int) bool {
		return out[i].Model+"@"+out[i].Version < out[j].Model+"@"+out[j].Version
	})
	return out
}

// mergeHalt returns the maximum of both revisions, with the reason of the later halt. a may be the zero value.
func mergeHalt(a, b Halt) Halt {
	if a.Model == "" {
		return b
	}
	if b.Halted > a.Halted {
		a.Halted, a.Reason, a.At = b.Halted, b.Reason, b.At
	}
	a.Cleared = max(a.Cleared, b.Cleared)
	return a
}

// clearChanged clears the halts of versions whose state the new document changes, and drops those of versions that it does not
// have. A change of the share alone does not clear a halt, because the next stage of a rollout may have been written before the
// halt was known.
func (h *halts) clearChanged(old, d *document.Document, revision uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for key, x := range h.all {
		now := d.Version(x.Model, x.Version)
		if now == nil {
			delete(h.all, key)
			continue
		}
		if was := old.Version(x.Model, x.Version); was != nil && was.State != now.State {
			x.Cleared = max(x.Cleared, revision-1)
			h.all[key] = x
		}
	}
}
