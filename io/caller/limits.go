package caller

import (
	"time"

	"shallotrun/core/catalog"
	"shallotrun/core/clock"
)

// Timeouts that hold if neither the limits nor the Server's fields set one.
const (
	defaultReadTimeout = 30 * clock.Second
	defaultIdleTimeout = 60 * clock.Second
)

// maxTimeout is the longest timeout that is applied. Longer ones would overflow a [time.Duration].
const maxTimeout = 24 * clock.Hour

// maxBodyLimit is the largest limit on bodies that is applied, in bytes. Sums of sizes would overflow with larger ones.
const maxBodyLimit = 1 << 40

// SetLimits puts limits in force, also for open connections. A limit that is 0 or less counts as not set: the Server's fields hold. SetLimits is
// safe for concurrent use, and may be called before Run. It reports whether the limits differ from those before.
func (s *Server) SetLimits(l catalog.Limits) bool {
	old := s.limits.Swap(&l)
	if old != nil && *old == l {
		return false
	}
	s.connections.rearm()
	return true
}

// configured returns the limits that were set, zero for none.
func (s *Server) configured() catalog.Limits {
	if l := s.limits.Load(); l != nil {
		return *l
	}
	return catalog.Limits{}
}

// headLimit returns the size of the largest request line with headers, in bytes.
func (s *Server) headLimit() int { return firstPositive(s.configured().Header, s.readBuffer()) }

// readBuffer returns the size of the buffer in which a head of usual size arrives, in bytes.
func (s *Server) readBuffer() int { return firstPositive(s.MaxHeader, HeaderLimit) }

// bodyLimit returns the size of the largest body, in bytes.
func (s *Server) bodyLimit() int {
	return min(firstPositive(s.configured().Body, s.MaxBody, BodyLimit), maxBodyLimit)
}

// openedTimeout returns how long a connection may stay without its first request.
func (s *Server) openedTimeout() time.Duration {
	return firstSet(s.configured().Idle, s.ReadTimeout, defaultReadTimeout)
}

// idleTimeout returns how long a connection may stay without another request.
func (s *Server) idleTimeout() time.Duration {
	return firstSet(s.configured().Idle, s.IdleTimeout, defaultIdleTimeout)
}

// headTimeout returns how long the head of a request may take to arrive.
func (s *Server) headTimeout() time.Duration {
	return firstSet(s.configured().Arrive, s.ReadTimeout, defaultReadTimeout)
}

// requestTimeout returns how long a whole request may take to arrive.
func (s *Server) requestTimeout() time.Duration {
	return max(firstSet(s.ReadTimeout, defaultReadTimeout), s.headTimeout())
}

// firstPositive returns the first of the numbers that is more than 0.
func firstPositive(all ...int) int {
	for _, n := range all {
		if n > 0 {
			return n
		}
	}
	return 0
}

// firstSet returns the first of the timeouts that is more than 0.
func firstSet(all ...clock.Span) time.Duration {
	for _, s := range all {
		if s > 0 {
			return min(s, maxTimeout).Std()
		}
	}
	return 0
}
