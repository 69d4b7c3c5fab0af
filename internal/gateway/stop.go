package gateway

import (
	"math"

	"shallotrun/core/catalog"
	"shallotrun/core/clock"
)

// Stop begins a planned stop: from now on a request that cannot end within Grace is refused.
func (g *Gateway) Stop() { g.stopStart.CompareAndSwap(0, int64(g.Clock.Now())) }

// Stopping reports whether a planned stop has begun.
func (g *Gateway) Stopping() bool { return g.stopStart.Load() != 0 }

// canFinish reports whether a request that arrives during a planned stop is started. One that must not be repeated is started only if it
// is certain to end before the process does: its caller can send it to another VM now, but not once it may have run. Another one is
// started while the objective is left, in which most answers arrive, and a stream that can be resumed at another VM in the first half of
// the time.
func (x *exchange) canFinish() bool {
	now := x.g.Clock.Now()
	wanted, left := x.deadline.Sub(now), x.g.stopEnd().Sub(now)
	switch {
	case wanted <= left:
		return true
	case !x.repeatable() || x.route.Objective == 0:
		return false
	case x.route.Kind == catalog.Streaming:
		return left > x.g.Grace/2
	}
	return left > x.route.Objective
}

const (
	// stopMargin is the time before the end of the process at which open requests are ended, so that their callers get an answer. A short
	// grace has a margin of the fraction stopMarginFraction.
	stopMargin         = 400 * clock.Millisecond
	stopMarginFraction = 0.25
)

// noStop is the end of open requests before a planned stop has begun.
const noStop = clock.Time(math.MaxInt64)

// stopEnd returns the time at which a planned stop ends the requests that are still open, noStop before it has begun.
func (g *Gateway) stopEnd() clock.Time {
	start := g.stopStart.Load()
	if start == 0 {
		return noStop
	}
	margin := min(stopMargin, clock.Span(stopMarginFraction*float64(g.Grace)))
	return clock.Time(start).Add(g.Grace - margin)
}

// timeLeft returns the time until the final answer is due: by the request's deadline, or before a planned stop ends the process.
func (x *exchange) timeLeft(now clock.Time) clock.Span {
	return min(x.deadline, x.g.stopEnd()).Sub(now)
}
