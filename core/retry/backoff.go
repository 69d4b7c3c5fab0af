package retry

import "shallotrun/core/clock"

// Backoff is an exponential delay with full jitter, so that callers that failed together do not return
// together.
type Backoff struct {
	Base clock.Span // mean delay before the first retry is half of it; 0 means 50 ms
	Max  clock.Span // 0 means 5 s
}

// After returns the delay before the retry that follows the given attempt, counted from 1. The random number
// is in [0, 1).
func (b Backoff) After(attempt int, random float64) clock.Span {
	base, limit := b.Base, b.Max
	if base <= 0 {
		base = 50 * clock.Millisecond
	}
	if limit <= 0 {
		limit = 5 * clock.Second
	}
	top := min(base, limit)
	for i := 1; i < attempt && top < limit; i++ {
		top = min(2*top, limit)
	}
	return clock.Span(random*float64(top)) + 1
}

// InTime reports whether an attempt that starts after a delay can still end before the deadline. Expected is
// the usual time of an attempt; a deadline of 0 is none.
func InTime(now clock.Time, delay, expected clock.Span, deadline clock.Time) bool {
	return deadline == 0 || now.Add(delay+expected) < deadline
}
