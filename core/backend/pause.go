package backend

import (
	"maps"

	"shallotrun/core/clock"
)

// Pauses holds for how long servers take no requests from this VM, by incarnation: a server that starts again at the same address or
// under the same name is another one. The zero value holds nothing. It is not safe for concurrent use.
type Pauses struct {
	until map[incarnation]clock.Time
}

type incarnation struct {
	id   string
	born int64
}

// maxPaused bounds the servers that are remembered.
const maxPaused = 4096

// Record takes in an answer that came now, with the time for which its server takes no requests from this VM, 0 if it says nothing of
// that. It reports whether the pause differs from what was known.
func (s *Pauses) Record(now clock.Time, v Server, d clock.Span) bool {
	if d <= 0 {
		return false
	}
	if s.until == nil {
		s.until = make(map[incarnation]clock.Time)
	}
	k, until := incarnation{v.ID, v.Born}, now.Add(d)
	changed := s.until[k] != until
	s.until[k] = until
	s.prune(now)
	return changed
}

// prune drops the pauses that are over and, beyond maxPaused, any.
func (s *Pauses) prune(now clock.Time) {
	if len(s.until) <= maxPaused {
		return
	}
	maps.DeleteFunc(s.until, func(_ incarnation, until clock.Time) bool { return now >= until })
	for k := range s.until {
		if len(s.until) <= maxPaused {
			return
		}
		delete(s.until, k)
	}
}

// Usable returns the servers that take requests from this VM now. If there are none, wait is the time until the first one takes some
// again.
func (s *Pauses) Usable(now clock.Time, all []Server) (out []Server, wait clock.Span) {
	if len(s.until) == 0 {
		return all, 0
	}
	for _, v := range all {
		left := s.until[incarnation{v.ID, v.Born}].Sub(now)
		switch {
		case left <= 0:
			out = append(out, v)
		case wait == 0 || left < wait:
			wait = left
		}
	}
	if len(out) > 0 {
		return out, 0
	}
	return nil, wait
}
