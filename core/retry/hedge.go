package retry

import (
	"slices"

	"shallotrun/core/clock"
)

const (
	maxSamples = 200
	minSamples = 20
)

// Hedge decides when a second attempt is sent in parallel to a first one that has not returned its first byte. It is only for
// idempotent work, and each hedge is taken from the same [Budget] as the retries.
type Hedge struct {
	Percentile float64    // of the time to the first byte, 0 means 95
	MinDelay   clock.Span // minimum delay, 0 means 50 ms

	samples    []clock.Span // ring buffer of the latest times to the first byte
	nextSample int
	delay      clock.Span
}

// Observe records the time to the first byte of an attempt.
func (h *Hedge) Observe(first clock.Span) {
	if len(h.samples) < maxSamples {
		h.samples = append(h.samples, first)
	} else {
		h.samples[h.nextSample] = first
		h.nextSample = (h.nextSample + 1) % maxSamples
	}
	if h.delay == 0 || h.nextSample%minSamples == 0 {
		h.delay = h.percentile()
	}
}

// Delay returns the delay before a hedge, or false if there are too few observations or the work may not be repeated.
func (h *Hedge) Delay(idempotent bool) (clock.Span, bool) {
	if !idempotent || len(h.samples) < minSamples {
		return 0, false
	}
	minDelay := h.MinDelay
	if minDelay == 0 {
		minDelay = 50 * clock.Millisecond
	}
	return max(h.delay, minDelay), true
}

func (h *Hedge) percentile() clock.Span {
	p := h.Percentile
	if p == 0 {
		p = 95
	}
	s := slices.Sorted(slices.Values(h.samples))
	return s[min(int(p/100*float64(len(s))), len(s)-1)]
}
