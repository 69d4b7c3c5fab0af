package evacuation

import (
	"slices"

	"shallotrun/core/backend"
	"shallotrun/core/clock"
)

// Bounds of the time after which callers are told to come back if all servers of a service are in evacuated domains.
const (
	minWait = clock.Second
	maxWait = 30 * clock.Second
)

// Set is the set of evacuated failure domains. The zero value is empty.
type Set struct {
	domains map[string]evacuated
}

type evacuated struct {
	since clock.Time // when this VM learned it
	until clock.Time // until when an evacuation that the store lost stays in force, 0 for one that the store has
}

// Put adds a domain, and reports whether it was not evacuated before.
func (s *Set) Put(now clock.Time, domain string) bool {
	e, known := s.domains[domain]
	if !known {
		e.since = now
	}
	e.until = 0
	if s.domains == nil {
		s.domains = make(map[string]evacuated)
	}
	s.domains[domain] = e
	return !known
}

// Remove takes the evacuation of a domain back, and reports whether it was in force.
func (s *Set) Remove(domain string) bool {
	_, known := s.domains[domain]
	delete(s.domains, domain)
	return known
}

// Replace applies a complete list of the store, and returns the domains that are evacuated or taken back by it. Evacuations that are not
// listed stay in force for keep, 0 for not at all.
func (s *Set) Replace(now clock.Time, list []string, keep clock.Span) (begun, ended []string) {
	for _, d := range list {
		if s.Put(now, d) {
			begun = append(begun, d)
		}
	}
	for d, e := range s.domains {
		switch {
		case slices.Contains(list, d):
		case keep > 0:
			e.until = now.Add(keep)
			s.domains[d] = e
		case e.until > now: // it was kept for an earlier list of the same copy of the store
		default:
			delete(s.domains, d)
			ended = append(ended, d)
		}
	}
	slices.Sort(ended)
	return begun, ended
}

// Expire ends the evacuations that the store lost and that were not written again in time, and returns their domains.
func (s *Set) Expire(now clock.Time) (ended []string) {
	for d, e := range s.domains {
		if e.until != 0 && now >= e.until {
			delete(s.domains, d)
			ended = append(ended, d)
		}
	}
	slices.Sort(ended)
	return ended
}

// Len returns the number of evacuated domains.
func (s *Set) Len() int { return len(s.domains) }

// Split divides servers into those that may get new requests and those in evacuated domains. If none may, wait is the time after which
// callers should come back. The end of an evacuation is not known, so it is the time for which the shortest one has lasted, within bounds:
// callers come back soon after a short one, and seldom during a long one.
func (s *Set) Split(now clock.Time, all []backend.Server) (usable, away []backend.Server, wait clock.Span) {
	if !slices.ContainsFunc(all, s.contains) {
		return all, nil, 0
	}
	for _, v := range all {
		if !s.contains(v) {
			usable = append(usable, v)
			continue
		}
		away = append(away, v)
		if age := max(now.Sub(s.domains[v.Domain].since), minWait); wait == 0 || age < wait {
			wait = age
		}
	}
	if len(usable) > 0 {
		return usable, away, 0
	}
	return nil, away, min(wait, maxWait)
}

func (s *Set) contains(v backend.Server) bool {
	_, ok := s.domains[v.Domain]
	return ok
}
