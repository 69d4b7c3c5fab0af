package config

import (
	"sync"
	"sync/atomic"

	"github.com/rs/zerolog"
	"github.com/samber/oops"

	"shallotrun/core/clock"
	"shallotrun/core/document"
)

// Store holds the document in force. Set the exported fields before the first call. All methods may be
// called from several goroutines.
type Store struct {
	Clock clock.Clock
	Log   zerolog.Logger

	current atomic.Pointer[held]
	pause   pause
	halts   halts

	mu       sync.Mutex
	refused  Refused
	watchers []func(*document.Snapshot)
}

// Refused is a document that was offered and is not valid.
type Refused struct {
	Revision uint64     `json:"revision"` // 0 means that none was refused since the document in force
	Reason   string     `json:"reason,omitempty"`
	At       clock.Time `json:"at,omitempty"`
}

// held is a snapshot with the compact JSON that is given to peers.
type held struct {
	snapshot document.Snapshot
	raw      []byte
}

// Offer puts the document in force if it is valid and its revision is higher than the one in force. It
// returns false and no error for a revision that is not higher, and an error for a document that is not
// valid; the document in force then stays.
func (s *Store) Offer(raw []byte, revision uint64) (bool, error) {
	if revision <= s.Revision() {
		s.Heard(revision)
		return false, nil
	}
	d, err := document.Parse(raw)
	if err != nil {
		s.refuse(revision, err)
		return false, oops.Wrapf(err, "the document of revision %d is not valid", revision)
	}
	compact, digest, err := document.Compact(d)
	if err != nil {
		return false, oops.Wrapf(err, "the document of revision %d", revision)
	}
	h := &held{raw: compact, snapshot: document.Snapshot{
		Revision: revision, Digest: digest, At: s.Clock.Wall(), Document: d,
	}}
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.current.Load()
	if old != nil && revision <= old.snapshot.Revision {
		return false, nil
	}
	s.current.Store(h)
	if s.refused.Revision < revision {
		s.refused = Refused{}
	}
	if old != nil {
		s.halts.accept(old.snapshot.Document, d, revision)
	}
	s.handle(revision)
	s.Log.Info().Uint64("revision", revision).Str("author", d.Author).Msg("config: document in force")
	for _, f := range s.watchers {
		f(&h.snapshot)
	}
	return true, nil
}

// Subscribe calls f with every document that comes into force from now on, in order, and at once with the
// one in force. f must return quickly and must not call Offer.
func (s *Store) Subscribe(f func(*document.Snapshot)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchers = append(s.watchers, f)
	if h := s.current.Load(); h != nil {
		f(&h.snapshot)
	}
}

// Current returns the snapshot in force, nil before the first one. It must not be modified.
func (s *Store) Current() *document.Snapshot {
	if h := s.current.Load(); h != nil {
		return &h.snapshot
	}
	return nil
}

// Raw returns the compact JSON of the document in force with its revision, for peers. It must not be
// modified.
func (s *Store) Raw() (raw []byte, revision uint64) {
	if h := s.current.Load(); h != nil {
		return h.raw, h.snapshot.Revision
	}
	return nil, 0
}

// Revision returns the revision in force, 0 before the first document.
func (s *Store) Revision() uint64 {
	if h := s.current.Load(); h != nil {
		return h.snapshot.Revision
	}
	return 0
}

// Refused returns the last document that was refused since the one in force.
func (s *Store) Refused() Refused {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refused
}

// refuse records a document that is not valid. It counts as heard: a revision that never comes into force
// must not hold back work after a pause.
func (s *Store) refuse(revision uint64, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision <= s.refused.Revision {
		return
	}
	s.refused = Refused{Revision: revision, Reason: err.Error(), At: s.Clock.Wall()}
	s.handle(revision)
	s.Log.Error().Uint64("revision", revision).Err(err).Msg("config: document refused, the last valid one stays in force")
}
