package queue

import (
	"math"

	"shallotrun/core/clock"
)

// rateTimeConstant is the time constant of the exponential decay of past service: long enough to average over single requests
// and short enough to follow the loss of a replica. No throughput is reported before minRateSample of service.
const (
	rateTimeConstant = 5 * clock.Second
	minRateSample    = clock.Second
)

// throughputMeter estimates the tokens per millisecond that a rank gets while it has waiting items.
type throughputMeter struct {
	tokens      float64
	backlogTime float64 // milliseconds with waiting items, decayed
	last        clock.Time
}

// observe records that tokens were served. The caller excludes the time during which the rank was empty with idle.
func (m *throughputMeter) observe(now clock.Time, tokens int) {
	m.advance(now)
	m.tokens += float64(tokens)
}

// advance adds the time since the last call as time with waiting items.
func (m *throughputMeter) advance(now clock.Time) {
	d := float64(now.Sub(m.last))
	if d <= 0 {
		return
	}
	keep := math.Exp(-d / float64(rateTimeConstant))
	m.tokens *= keep
	m.backlogTime = m.backlogTime*keep + d
	m.last = now
}

// idle excludes the time since the last call, in which the rank was empty.
func (m *throughputMeter) idle(now clock.Time) { m.last = max(m.last, now) }

// wait returns the time that the given tokens take at the current throughput, or false while that is unknown.
func (m *throughputMeter) wait(tokens float64) (clock.Span, bool) {
	if m.backlogTime < float64(minRateSample) || m.tokens <= 0 {
		return 0, false
	}
	return clock.Span(tokens * m.backlogTime / m.tokens), true
}
