package config

import (
	"sort"
	"sync"

	"shallotrun/core/clock"
	"shallotrun/core/document"
)

// Halt is what is known about halts of one version. Both revisions only grow, so VMs merge their views by
// taking the higher of each in any order; the version is halted while Halted is above Cleared.
type Halt struct {
	Model   string     `json:"model" cbor:"model"`
	Version string     `json:"version" cbor:"version"`
	Halted  uint64     `json:"halted" cbor:"halted"`   // revision in force when evidence halted the version
	Cleared uint64     `json:"cleared" cbor:"cleared"` // halts of this revision and earlier no longer count
	Reason  string     `json:"reason" cbor:"reason"`
	At      clock.Time `json:"at" cbor:"at"` // wall clock
}

// Active reports whether the version is halted.
func (h Halt) Active() bool { return h.Halted > h.Cleared }

type halts struct {
	mu  sync.RWMutex
	all map[string]Halt // by MODEL@VERSION
}

// Halted reports whether evidence halted the version.
func (s *Store) Halted(model, version string) bool {
	s.halts.mu.RLock()
	defer s.halts.mu.RUnlock()
	return s.halts.all[model+"@"+version].Active()
}

// Halt halts a version on evidence, until an operator changes its state in the document. It reports
// whether the version was not halted before.
func (s *Store) Halt(model, version, reason string) bool {
	news := s.MergeHalts([]Halt{{
		Model: model, Version: version, Halted: max(1, s.Revision()), Reason: reason, At: s.Clock.Wall(),
	}})
	return len(news) > 0
}

// MergeHalts takes the halts of a peer and returns the ones that became active by it, which are worth
// passing on. Versions that the document in force does not have are kept out, which bounds the set.
func (s *Store) MergeHalts(from []Halt) []Halt {
	now := s.Current()
	if now == nil {
		return nil
	}
	s.halts.mu.Lock()
	defer s.halts.mu.Unlock()
	var news []Halt
	for _, h := range from {
		if now.Document.Version(h.Model, h.Version) == nil {
			continue
		}
		key := h.Model + "@" + h.Version
		old := s.halts.all[key]
		merged := merge(old, h)
		if s.halts.all == nil {
			s.halts.all = map[string]Halt{}
		}
		s.halts.all[key] = merged
		if merged.Active() && !old.Active() {
			news = append(news, merged)
			s.Log.Warn().Str("model", h.Model).Str("version", h.Version).Str("reason", h.Reason).Msg("config: version halted")
		}
	}
	return news
}

// Halts returns everything known about halts, ordered by name. Entries that are not active are given to
// peers too, so that a peer that missed the document that cleared a halt learns of it.
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

func merge(a, b Halt) Halt {
	if a.Model == "" {
		return b
	}
	if b.Halted > a.Halted {
		a.Halted, a.Reason, a.At = b.Halted, b.Reason, b.At
	}
	a.Cleared = max(a.Cleared, b.Cleared)
	return a
}

// accept clears the halts of versions whose state the new document changes. A change of the share alone
// does not clear a halt: the next step of a roll-out may have been written before the halt was known.
func (h *halts) accept(old, d *document.Document, revision uint64) {
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
