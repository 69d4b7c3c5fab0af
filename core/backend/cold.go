package backend

import "shallotrun/core/clock"

// warmAt returns when a server is warm at the latest, 0 if its entry says that it is not cold. The entry was written before it
// became known, so the time counts from when this set first knew of it: an entry that is read again ends no later.
func (s *Set) warmAt(now clock.Time, v Server) clock.Time {
	if v.Cold <= 0 {
		return 0
	}
	until := now.Add(v.Cold)
	if e := s.entries[v.ID]; e != nil && sameColdEntry(e.Server, v) {
		until = min(until, e.coldUntil)
	}
	return until
}

// sameColdEntry reports whether two servers are from the same write of an entry.
func sameColdEntry(a, b Server) bool {
	return a.Born == b.Born && a.ColdRev == b.ColdRev && a.ColdRev != 0
}

// AsOf returns an entry as it would be if it were written now: with the time for which its server is still cold. A VM that gets it from
// this one counts from then, so the servers that have become warm meanwhile are not cold for it.
func (s *Set) AsOf(now clock.Time, v Server) Server {
	if e := s.entries[v.ID]; e != nil && sameColdEntry(e.Server, v) {
		v.Cold = max(e.coldUntil.Sub(now), 0)
	}
	return v
}

// AnyCold reports whether a server is cold, or the last one became warm since the last call.
func (s *Set) AnyCold(now clock.Time) bool {
	if s.coldUntil == 0 {
		return false
	}
	if now >= s.coldUntil {
		s.coldUntil = 0
	}
	return true
}
