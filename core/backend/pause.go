package backend

import (
	"maps"

	"shallotrun/core/clock"
)

// Pauses holds for how long servers take no requests from this VM, by incarnation: a server that starts again at the same address or
// under the same name is another one. The zero value holds nothing. It is not safe for concurrent use.
//
// A server comes back into use gradually, as it may still be in need and all VMs that it turned away come back to it. It is a reserve,
// to be used if no other server can take a request, for a random time after its pause, and then while more attempts of this VM are open
// there than have ended since.
type Pauses struct {
	// Rand returns a random number in [0, 1) for the random time; nil means that the time is 0.
	Rand func() float64

	paused map[incarnation]*pause
}

type incarnation struct {
	id   string
	born int64
}

// pause is the last pause of a server.
type pause struct {
	until   clock.Time // before it, the server gets nothing
	reserve clock.Time // before it, the server is a reserve
	open    int        // attempts since the pause that have not ended
	ended   int        // attempts since the pause that have ended
	held    bool       // the server gets nothing until Usable is asked about it
}

const (
	// maxPaused bounds the servers that are remembered.
	maxPaused = 4096
	// reserveFraction is the longest time for which a server is a reserve, as a fraction of its pause. A server that wants nothing for long
	// is turning away much.
	reserveFraction = 0.5
	// maxReserve is the longest time for which a server is a reserve.
	maxReserve = 2 * clock.Second
	// returnAttempts is the number of ended attempts from which a server is in full use again. The number of open ones doubles up to it.
	returnAttempts = 16
	// returnTime is the time after a pause at which a server is in full use again, if few attempts are made there or end.
	returnTime = 10 * clock.Second
)

// Record takes in an answer that came now, with the time for which its server takes no requests from this VM, 0 if it says nothing of
// that. It reports whether the pause differs from what was known.
func (s *Pauses) Record(now clock.Time, v Server, d clock.Span) bool {
	k := incarnation{v.ID, v.Born}
	p := s.paused[k]
	if d <= 0 {
		if p != nil && now >= p.until {
			p.open, p.ended = max(p.open-1, 0), p.ended+1
		}
		return false
	}
	before := clock.Time(0)
	if p != nil {
		before = p.until
	}
	if s.paused == nil {
		s.paused = make(map[incarnation]*pause)
	}
	p = &pause{until: now.Add(d), held: p != nil && p.held}
	p.reserve = p.until
	if s.Rand != nil {
		p.reserve = p.until.Add(clock.Span(s.Rand() * min(reserveFraction*float64(d), float64(maxReserve))))
	}
	s.paused[k] = p
	s.prune(now)
	return p.until != before
}

// Start records that an attempt is made at a server.
func (s *Pauses) Start(now clock.Time, v Server) {
	if p := s.paused[incarnation{v.ID, v.Born}]; p != nil && now >= p.until {
		p.open++
	}
}

// Hold records that a server gets nothing for a reason that is not its own, such as the evacuation of its failure domain. It has a pause
// that ends when Usable is next asked about it, because all VMs come back to it at the same moment.
func (s *Pauses) Hold(now clock.Time, v Server) {
	k := incarnation{v.ID, v.Born}
	if p := s.paused[k]; p != nil {
		p.held = true
		return
	}
	if s.paused == nil {
		s.paused = make(map[incarnation]*pause)
	}
	s.paused[k] = &pause{held: true}
	s.prune(now)
}

// release ends the time for which a server got nothing.
func (s *Pauses) release(now clock.Time, p *pause) {
	p.held, p.open, p.ended = false, 0, 0
	p.until = max(p.until, now)
	p.reserve = p.until
	if s.Rand != nil {
		p.reserve = p.until.Add(clock.Span(s.Rand() * float64(maxReserve)))
	}
}

// prune drops the pauses after which the servers are in full use and, beyond maxPaused, any.
func (s *Pauses) prune(now clock.Time) {
	if len(s.paused) <= maxPaused {
		return
	}
	maps.DeleteFunc(s.paused, func(_ incarnation, p *pause) bool { return p.returned(now) })
	for k := range s.paused {
		if len(s.paused) <= maxPaused {
			return
		}
		delete(s.paused, k)
	}
}

// returned reports whether the server is in full use again.
func (p *pause) returned(now clock.Time) bool {
	return !p.held && (now >= p.reserve && p.ended >= returnAttempts || now.Sub(p.until) >= returnTime)
}

// Usable returns the servers that take requests from this VM now, and those of them that are a reserve apart. If there are none, wait is
// the time until the first one takes some again.
func (s *Pauses) Usable(now clock.Time, all []Server) (out, reserve []Server, wait clock.Span) {
	if len(s.paused) == 0 {
		return all, nil, 0
	}
	for _, v := range all {
		k := incarnation{v.ID, v.Born}
		p := s.paused[k]
		if p != nil && p.held {
			s.release(now, p)
		}
		switch {
		case p == nil:
			out = append(out, v)
		case now < p.until:
			if left := p.until.Sub(now); wait == 0 || left < wait {
				wait = left
			}
		case p.returned(now):
			delete(s.paused, k)
			out = append(out, v)
		case now < p.reserve || p.open > p.ended:
			reserve = append(reserve, v)
		default:
			out = append(out, v)
		}
	}
	if len(out)+len(reserve) > 0 {
		wait = 0
	}
	return out, reserve, wait
}
