package retry

import "shallotrun/core/clock"

// Defaults of [Budget].
const (
	// DefaultRatio is the number of extra attempts for each first attempt.
	DefaultRatio = 0.1
	// A VM that sends little may still retry this many times before it has earned any.
	firstRetries = 3
	// What is earned is kept for at most this many seconds of first attempts, so that hours without failures
	// do not pay for a burst of retries when a pool fails.
	budgetMemory = 10 * clock.Second
)

// Policy limits the extra attempts.
type Policy interface{ policy() }

// Always allows every extra attempt. It is a baseline.
type Always struct{}

// Ratio allows extra attempts in proportion to first attempts.
type Ratio struct{}

func (Always) policy() {}
func (Ratio) policy()  {}

// Budget counts first attempts and allows extra ones: retries and hedges.
type Budget struct {
	Policy Policy  // nil means Ratio{}
	Ratio  float64 // extra attempts for each first attempt, 0 means DefaultRatio

	tokens  float64
	first   float64 // decayed number of first attempts within budgetMemory
	last    clock.Time
	started bool
}

// Attempt records a first attempt.
func (b *Budget) Attempt(now clock.Time) {
	b.advance(now)
	b.first++
	b.tokens = min(b.tokens+b.ratio(), b.limit())
}

// Retry reports whether an extra attempt may be made, and if so takes it from the budget.
func (b *Budget) Retry(now clock.Time) bool {
	if _, ok := b.Policy.(Always); ok {
		return true
	}
	b.advance(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Refund gives back an extra attempt that was allowed and not made.
func (b *Budget) Refund(now clock.Time) {
	b.advance(now)
	b.tokens = min(b.tokens+1, b.limit())
}

// Full returns the part of the budget that is left, in [0, 1].
func (b *Budget) Full() float64 {
	if !b.started {
		return 1
	}
	return b.tokens / b.limit()
}

func (b *Budget) advance(now clock.Time) {
	if !b.started {
		b.started, b.last, b.tokens = true, now, firstRetries
	}
	if d := now.Sub(b.last); d > 0 {
		b.first *= max(0, 1-float64(d)/float64(budgetMemory))
		b.tokens = min(b.tokens, b.limit())
		b.last = now
	}
}

func (b *Budget) limit() float64 { return max(firstRetries, b.first*b.ratio()) }

func (b *Budget) ratio() float64 {
	if b.Ratio <= 0 {
		return DefaultRatio
	}
	return b.Ratio
}
