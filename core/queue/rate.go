package queue

import (
	"math"

	"shallotrun/core/clock"
)

// The meter forgets past service over rateMemory, long enough to average over single requests and short
// enough to follow the loss of a replica. It reports no rate before it has seen rateWarm of service.
const (
	rateMemory = 5 * clock.Second
	rateWarm   = clock.Second
)

// meter estimates the tokens per millisecond that a lane gets while it has a backlog.
type meter struct {
	tokens float64
	span   float64 // decayed milliseconds of backlog
	last   clock.Time
}

// observe notes that tokens were served. Time during which the lane was empty is left out by idle.
func (m *meter) observe(now clock.Time, tokens int) {
	m.advance(now)
	m.tokens += float64(tokens)
}

// advance counts the time since the last call as time with a backlog.
func (m *meter) advance(now clock.Time) {
	d := float64(now.Sub(m.last))
	if d <= 0 {
		return
	}
	keep := math.Exp(-d / float64(rateMemory))
	m.tokens *= keep
	m.span = m.span*keep + d
	m.last = now
}

// idle skips the time since the last call.
func (m *meter) idle(now clock.Time) { m.last = max(m.last, now) }

// wait returns the time that the given tokens take at the present rate, false while the rate is unknown.
func (m *meter) wait(tokens float64) (clock.Span, bool) {
	if m.span < float64(rateWarm) || m.tokens <= 0 {
		return 0, false
	}
	return clock.Span(tokens * m.span / m.tokens), true
}
