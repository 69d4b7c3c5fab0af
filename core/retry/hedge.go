package retry

import (
	"slices"

	"shallotrun/core/clock"
)

const (
	hedgeSamples = 200
	hedgeWarm    = 20
)

// Hedge says when a second attempt is sent beside a first one that is slow to begin. It is for idempotent work
// only, and each hedge is taken from the same [Budget] as the retries.
type Hedge struct {
	Percentile float64    // of the time to the first byte, 0 means 95
	Least      clock.Span // shortest wait, 0 means 50 ms

	samples []clock.Span // ring
	next    int
	delay   clock.Span
}

// Observe records the time to the first byte of an attempt.
func (h *Hedge) Observe(first clock.Span) {
	if len(h.samples) < hedgeSamples {
		h.samples = append(h.samples, first)
	} else {
		h.samples[h.next] = first
		h.next = (h.next + 1) % hedgeSamples
	}
	if h.delay == 0 || h.next%hedgeWarm == 0 {
		h.delay = h.percentile()
	}
}

// After returns the wait before a hedge, false while there are too few observations or the work may not be
// repeated.
func (h *Hedge) After(idempotent bool) (clock.Span, bool) {
	if !idempotent || len(h.samples) < hedgeWarm {
		return 0, false
	}
	least := h.Least
	if least == 0 {
		least = 50 * clock.Millisecond
	}
	return max(h.delay, least), true
}

func (h *Hedge) percentile() clock.Span {
	p := h.Percentile
	if p == 0 {
		p = 95
	}
	s := slices.Sorted(slices.Values(h.samples))
	return s[min(int(p/100*float64(len(s))), len(s)-1)]
}
