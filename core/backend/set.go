package backend

import (
	"maps"
	"slices"
	"strings"

	"shallotrun/core/clock"
)

const (
	// outdatedSpan is how long after the store came back from an older copy an entry is not used whose server is known to be leaving or
	// gone. A server that has ended is removed from the store after three missed heartbeats.
	outdatedSpan = 6 * clock.Second
	// goneTTL is how long servers are remembered that were removed.
	goneTTL = clock.Minute
)

// recoveryGrace is how long a server is kept whose entry expired during an outage of the store, from the end of the outage.
const recoveryGrace = 1500 * clock.Millisecond

// Server is one backend server.
type Server struct {
	ID      string // identifies the incarnation together with Born
	Service string
	Addr    string // IP:port
	Domain  string // failure domain
	Version string // version of its software
	Slots   int    // concurrent requests that it runs
	Leaving bool   // gets no new requests
	Born    int64  // start time in Unix milliseconds, 0 if unknown
	Made    uint64 // revision of the store at which it registered

	// Cold is how much longer the server is cold: in an entry as of its write, from Set.Servers as of now; 0 if it is not.
	Cold    clock.Span `cbor:",omitempty"`
	ColdRev uint64     `cbor:",omitempty"` // revision of the entry that says how long it is cold, 0 if the entry says that it is not
}

// Set is the set of servers. The zero value is empty.
type Set struct {
	entries     map[string]*entry
	gone        map[string]removal // by server
	unavailable bool               // the store does not answer
	recoveredAt clock.Time         // end of the last outage of the store, 0 before the first one
	restoredAt  clock.Time         // when the store last came back from an older copy, 0 for never
	coldUntil   clock.Time         // when the last of the cold servers is warm, 0 for none
}

type entry struct {
	Server
	missingSince clock.Time // start of the grace period of an entry that is not listed, 0 while it is listed
	hiddenUntil  clock.Time // the entry is older than what is known of the server, and not used before, 0 for always
	coldUntil    clock.Time // when the server is warm at the latest, 0 if its entry says that it is not cold
}

// removal is a server that was removed.
type removal struct {
	Server
	at clock.Time
}

// Restored records that the store came back from an older copy. The next list may lack servers that live, and show others as they
// were before they left.
func (s *Set) Restored(now clock.Time) {
	s.restoredAt = now
	s.StoreUnavailable() // servers that are not listed get the grace period
	for _, e := range s.entries {
		e.ColdRev = 0 // revisions are given out again
	}
}

// Replace applies a complete list of the store: it puts the listed servers and removes all others.
func (s *Set) Replace(now clock.Time, list []Server) {
	s.markAvailable(now)
	listed := make(map[string]bool, len(list))
	for _, v := range list {
		listed[v.ID] = true
		outdated := s.isOutdated(now, v)
		s.Put(now, v)
		if outdated {
			s.entries[v.ID].hiddenUntil = s.restoredAt.Add(outdatedSpan)
		}
	}
	for id := range s.entries {
		if !listed[id] {
			s.remove(now, id)
		}
	}
}

// Put applies a new or changed entry of the store.
func (s *Set) Put(now clock.Time, v Server) {
	s.markAvailable(now)
	if s.entries == nil {
		s.entries = make(map[string]*entry)
	}
	v.Made = s.Made(v)
	delete(s.gone, v.ID)
	until := s.warmAt(now, v)
	s.coldUntil = max(s.coldUntil, until)
	s.entries[v.ID] = &entry{Server: v, coldUntil: until}
}

// Made returns the revision at which a server registered, as far as this set knows: one whose entry was lost and written again keeps
// that of its first entry. v is what the store has.
func (s *Set) Made(v Server) uint64 {
	if known, ok := s.last(v.ID); ok && known.Born == v.Born && v.Born != 0 {
		return known.Made
	}
	return v.Made
}

// last returns what was last known of a server, also if it was removed.
func (s *Set) last(id string) (Server, bool) {
	if e := s.entries[id]; e != nil {
		return e.Server, true
	}
	r, ok := s.gone[id]
	return r.Server, ok
}

// isOutdated reports whether a listed entry is older than what is known of its server: the store has just come back from an older
// copy, and the server is known to be leaving or gone.
func (s *Set) isOutdated(now clock.Time, v Server) bool {
	if s.restoredAt == 0 || now.Sub(s.restoredAt) >= outdatedSpan || v.Leaving {
		return false
	}
	if e := s.entries[v.ID]; e != nil {
		return e.Born == v.Born && (e.Leaving || e.hiddenUntil != 0)
	}
	r, ok := s.gone[v.ID]
	return ok && r.Born == v.Born
}

// Remove applies the removal of an entry from the store.
func (s *Set) Remove(now clock.Time, id string) {
	s.markAvailable(now)
	s.remove(now, id)
}

// StoreAnswered records an answer of the store that contains no change.
func (s *Set) StoreAnswered(now clock.Time) { s.markAvailable(now) }

// StoreUnavailable records that the store does not answer.
func (s *Set) StoreUnavailable() { s.unavailable = true }

// Servers returns the servers of a service that may get new requests, sorted by ID. It drops entries whose grace period is
// over.
func (s *Set) Servers(now clock.Time, service string) (out []Server) {
	for id, e := range s.entries {
		if e.missingSince != 0 && now.Sub(e.missingSince) >= recoveryGrace {
			s.drop(now, id)
			continue
		}
		if e.Service == service && !e.Leaving && now >= e.hiddenUntil {
			v := e.Server
			v.Cold = max(e.coldUntil.Sub(now), 0)
			out = append(out, v)
		}
	}
	slices.SortFunc(out, func(a, b Server) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// Len returns the number of servers in the set, including those that are leaving.
func (s *Set) Len() int { return len(s.entries) }

// markAvailable ends an outage of the store.
func (s *Set) markAvailable(now clock.Time) {
	if s.unavailable {
		s.unavailable, s.recoveredAt = false, now
	}
}

// remove drops a server that is not listed, or starts its grace period if the store has only just recovered.
func (s *Set) remove(now clock.Time, id string) {
	e := s.entries[id]
	if e == nil {
		return
	}
	if s.recoveredAt == 0 || now.Sub(s.recoveredAt) >= recoveryGrace || e.Leaving {
		s.drop(now, id)
		return
	}
	if e.missingSince == 0 {
		e.missingSince = s.recoveredAt
	}
}

// drop removes an entry and remembers its server for a while.
func (s *Set) drop(now clock.Time, id string) {
	maps.DeleteFunc(s.gone, func(_ string, r removal) bool { return now.Sub(r.at) >= goneTTL })
	if s.gone == nil {
		s.gone = make(map[string]removal)
	}
	s.gone[id] = removal{s.entries[id].Server, now}
	delete(s.entries, id)
}
