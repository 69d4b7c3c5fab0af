package retry

import "shallotrun/core/clock"

// Backoff is an exponential delay with full jitter, so that attempts that failed at the same time are not repeated at the same
// time.
type Backoff struct {
	Base clock.Span // maximum delay before the first retry, whose mean is half of it; 0 means 50 ms
	Max  clock.Span // maximum delay before any retry, 0 means 5 s
}

// Delay returns the delay before the retry that follows the given attempt, counted from 1. The random number is in [0, 1).
func (b Backoff) Delay(attempt int, random float64) clock.Span {
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

// FitsDeadline reports whether an attempt that starts after a delay is expected to end before the deadline. Expected is the usual
// duration of an attempt. A deadline of 0 means none.
func FitsDeadline(now clock.Time, delay, expected clock.Span, deadline clock.Time) bool {
	return deadline == 0 || now.Add(delay+expected) < deadline
}
