package place

import (
	"shallotrun/core/clock"
	"shallotrun/core/work"
)

const (
	// A server is ejected when it cannot be reached or after ejectAfterFailures consecutive failures, first for minEjection, then
	// twice as long each time until a success, up to maxEjection. One failure may be caused by the request; three consecutive
	// ones hardly are. maxEjection is below the 5 s within which a pool has to recover.
	ejectAfterFailures = 3
	minEjection        = clock.Second
	maxEjection        = 3 * clock.Second
	// refusalBackoff is the time for which a server that refused a request is avoided. Such a server is full, and some of its
	// requests have to end first.
	refusalBackoff = 200 * clock.Millisecond
	// serverStateTTL is the time after its last start or result when the state of a server is dropped.
	serverStateTTL = 10 * clock.Minute
	// maxRecent bounds the starts and the ends that are kept until a later load report includes them.
	maxRecent = 256
)

// server is the state of one backend server, from the requests of this VM.
type server struct {
	failures     int        // since the last success
	ejection     clock.Span // length of the last ejection since a success
	ejectedUntil clock.Time // time when the ejection ends
	unreachable  bool       // the last attempt could not reach it
	refusedUntil clock.Time // time when the backoff after a refusal ends
	lastUsed     clock.Time
	tokenTime    average      // milliseconds for each generated token
	starts       []clock.Time // ascending, not yet included in a load report
	ends         []clock.Time // as starts
}

// average is an exponentially weighted moving average.
type average struct {
	value float64
	count int
}

// add includes v with weight 1/20, or 1/n for the nth value if n is below 20.
func (a *average) add(v float64) {
	a.count = min(a.count+1, 20)
	a.value += (v - a.value) / float64(a.count)
}

// valueOr returns the average, or v if no value was added.
func (a *average) valueOr(v float64) float64 {
	if a.count == 0 {
		return v
	}
	return a.value
}

// server returns the state of a server, which it creates if necessary and marks as used.
func (p *Placer) server(name string, now clock.Time) *server {
	s := p.servers[name]
	if s == nil {
		s = &server{}
		p.servers[name] = s
	}
	s.lastUsed = now
	return s
}

// ejected reports whether a server is ejected at present.
func (p *Placer) ejected(name string, now clock.Time) bool {
	s := p.servers[name]
	return s != nil && now < s.ejectedUntil
}

// unreachable reports whether a server is ejected because the last attempt could not reach it.
func (p *Placer) unreachable(name string, now clock.Time) bool {
	s := p.servers[name]
	return s != nil && s.unreachable && now < s.ejectedUntil
}

// refusing reports whether a server is in the backoff after a refusal.
func (p *Placer) refusing(name string, now clock.Time) bool {
	s := p.servers[name]
	return s != nil && now < s.refusedUntil
}

// sweep drops the state of servers that were not used for serverStateTTL.
func (p *Placer) sweep(now clock.Time) {
	if now.Sub(p.lastSweep) < serverStateTTL/10 {
		return
	}
	p.lastSweep = now
	for name, s := range p.servers {
		if now.Sub(s.lastUsed) > serverStateTTL {
			delete(p.servers, name)
		}
	}
}

// picked records the start of an attempt.
func (s *server) picked(now clock.Time) { s.starts = trimRecent(append(s.starts, now)) }

// report updates the state with the result of an attempt.
func (s *server) report(now clock.Time, r work.Result) {
	s.ends = trimRecent(append(s.ends, now))
	s.unreachable = r.Unreachable
	switch {
	case r.Failed:
		s.failures++
		if (r.Unreachable || s.failures >= ejectAfterFailures) && now >= s.ejectedUntil {
			s.ejection = min(max(2*s.ejection, minEjection), maxEjection)
			s.ejectedUntil = now.Add(s.ejection)
		}
	case r.Refused:
		s.refusedUntil = now.Add(refusalBackoff)
	default:
		s.failures, s.ejection, s.ejectedUntil = 0, 0, 0
	}
}

// netStarts returns the number of own requests that started after the load report of time at, minus those that ended.
func (s *server) netStarts(at clock.Time) int {
	s.starts = after(s.starts, at)
	s.ends = after(s.ends, at)
	return len(s.starts) - len(s.ends)
}

// estimate returns the estimated number of requests at a server: the load report, corrected by the own requests that started
// and ended since, and at least the number of own requests in flight.
func (p *Placer) estimate(c Candidate) float64 {
	if !c.HasLoad {
		return float64(c.OwnInFlight + c.OthersInFlight)
	}
	n := c.Load.Running + c.Load.Waiting
	if s := p.servers[c.Name]; s != nil {
		n += s.netStarts(c.Load.At)
	}
	return float64(max(n, c.OwnInFlight))
}

// after drops the times up to and including at from the front of an ascending list.
func after(ts []clock.Time, at clock.Time) []clock.Time {
	i := 0
	for i < len(ts) && ts[i] <= at {
		i++
	}
	return ts[i:]
}

// trimRecent returns the last maxRecent/2 times if there are more than maxRecent.
func trimRecent(ts []clock.Time) []clock.Time {
	if len(ts) > maxRecent {
		return append([]clock.Time(nil), ts[len(ts)-maxRecent/2:]...)
	}
	return ts
}
