package retry

import "shallotrun/core/clock"

// Defaults of [Budget].
const (
	// DefaultRatio is the number of extra attempts for each first attempt.
	DefaultRatio = 0.1
	// minRetries is the number of retries that a VM with few first attempts may make before the ratio allows any.
	minRetries = 3
	// budgetWindow is the window over which attempts are counted, so that hours without failures do not allow a burst of retries
	// when a pool fails.
	budgetWindow = 10 * clock.Second
)

// Policy is the rule that limits the extra attempts.
type Policy interface{ policy() }

// Always allows every extra attempt. It is a baseline for comparison.
type Always struct{}

// Ratio allows extra attempts in proportion to first attempts.
type Ratio struct{}

func (Always) policy() {}
func (Ratio) policy()  {}

// Budget is a retry budget: it counts first attempts and allows extra ones, which are retries and hedges. In any window of
// budgetWindow the number of extra attempts is at most Ratio times the first attempts in the window that ends with the last
// of these extra attempts, plus minRetries.
type Budget struct {
	Policy Policy  // nil means Ratio{}
	Ratio  float64 // extra attempts for each first attempt, 0 means DefaultRatio

	slots        [budgetSlots]slot
	newestSlot   int64 // number of the newest slot since the start of the clock
	total        slot
	savedRetries float64 // extra attempts that were allowed and not made, at most minRetries
	started      bool
}

// slot counts the attempts in a part of the window.
type slot struct{ first, extra int }

// budgetSlots is the number of slots that are kept: one more than the parts of the window, so that no attempt is dropped while it
// is in the window.
const (
	budgetParts = 20
	budgetSlots = budgetParts + 1
	slotSpan    = budgetWindow / budgetParts
)

// Attempt records a first attempt.
func (b *Budget) Attempt(now clock.Time) {
	b.advance(now)
	b.current().first++
	b.total.first++
	b.savedRetries = min(b.savedRetries+b.ratio(), minRetries)
}

// Retry reports whether an extra attempt may be made, and if so subtracts it from the budget.
func (b *Budget) Retry(now clock.Time) bool {
	if _, ok := b.Policy.(Always); ok {
		return true
	}
	b.advance(now)
	if b.remaining() < 1 {
		return false
	}
	b.current().extra++
	b.total.extra++
	b.savedRetries--
	return true
}

// Refund returns an allowed extra attempt that was not made to the budget.
func (b *Budget) Refund(now clock.Time) {
	b.advance(now)
	if b.total.extra > 0 {
		b.current().extra--
		b.total.extra--
		b.savedRetries = min(b.savedRetries+1, minRetries)
	}
}

// RemainingFraction returns the remaining part of the budget, in [0, 1].
func (b *Budget) RemainingFraction(now clock.Time) float64 {
	b.advance(now)
	return max(b.remaining()/max(b.windowRetries(), minRetries), 0)
}

func (b *Budget) current() *slot { return &b.slots[b.newestSlot%budgetSlots] }

// advance moves the window to the present and drops the slots before it.
func (b *Budget) advance(now clock.Time) {
	n := int64(now) / int64(slotSpan)
	if !b.started {
		b.started, b.newestSlot, b.savedRetries = true, n, minRetries
	}
	for steps := 0; b.newestSlot < n && steps < budgetSlots; steps++ {
		b.newestSlot++
		s := b.current()
		b.total.first -= s.first
		b.total.extra -= s.extra
		*s = slot{}
	}
	b.newestSlot = max(b.newestSlot, n)
}

// windowRetries returns the number of extra attempts that the first attempts in the window allow.
func (b *Budget) windowRetries() float64 { return float64(b.total.first) * b.ratio() }

// remaining returns the number of extra attempts that may still be made. A VM with few first attempts saves up its retries over
// several windows.
func (b *Budget) remaining() float64 {
	return max(b.windowRetries()-float64(b.total.extra), b.savedRetries)
}

func (b *Budget) ratio() float64 {
	if b.Ratio <= 0 {
		return DefaultRatio
	}
	return b.Ratio
}
