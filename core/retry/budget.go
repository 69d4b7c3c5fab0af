package retry

import "shallotrun/core/clock"

// Defaults of [Budget].
const (
	// DefaultRatio is the number of extra attempts for each first attempt.
	DefaultRatio = 0.1
	// A VM that sends little may still retry this many times before it has earned any.
	firstRetries = 3
	// The window over which attempts are counted, so that hours without failures do not pay for a burst of retries when
	// a pool fails.
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

// Budget counts first attempts and allows extra ones: retries and hedges. The extra attempts of any window of budgetMemory are
// at most Ratio of the first attempts in the window in which the last of them was made, and firstRetries.
type Budget struct {
	Policy Policy  // nil means Ratio{}
	Ratio  float64 // extra attempts for each first attempt, 0 means DefaultRatio

	slots   [budgetSlots]slot
	newest  int64 // number of the newest slot since the start of the clock
	sum     slot
	saved   float64 // extra attempts that were earned and not made, at most firstRetries
	started bool
}

// slot counts the attempts of a part of the window.
type slot struct{ first, extra int }

// budgetSlots is the number of parts of the window. One more than the window holds is kept, so that no attempt is forgotten
// before its time.
const (
	budgetParts = 20
	budgetSlots = budgetParts + 1
	slotSpan    = budgetMemory / budgetParts
)

// Attempt records a first attempt.
func (b *Budget) Attempt(now clock.Time) {
	b.advance(now)
	b.at().first++
	b.sum.first++
	b.saved = min(b.saved+b.ratio(), firstRetries)
}

// Retry reports whether an extra attempt may be made, and if so takes it from the budget.
func (b *Budget) Retry(now clock.Time) bool {
	if _, ok := b.Policy.(Always); ok {
		return true
	}
	b.advance(now)
	if b.left() < 1 {
		return false
	}
	b.at().extra++
	b.sum.extra++
	b.saved--
	return true
}

// Refund gives back an extra attempt that was allowed and not made.
func (b *Budget) Refund(now clock.Time) {
	b.advance(now)
	if b.sum.extra > 0 {
		b.at().extra--
		b.sum.extra--
		b.saved = min(b.saved+1, firstRetries)
	}
}

// Full returns the part of the budget that is left, in [0, 1].
func (b *Budget) Full(now clock.Time) float64 {
	b.advance(now)
	return max(b.left()/max(b.earned(), firstRetries), 0)
}

func (b *Budget) at() *slot { return &b.slots[b.newest%budgetSlots] }

// advance forgets the slots that the window has left.
func (b *Budget) advance(now clock.Time) {
	n := int64(now) / int64(slotSpan)
	if !b.started {
		b.started, b.newest, b.saved = true, n, firstRetries
	}
	for steps := 0; b.newest < n && steps < budgetSlots; steps++ {
		b.newest++
		s := b.at()
		b.sum.first -= s.first
		b.sum.extra -= s.extra
		*s = slot{}
	}
	b.newest = max(b.newest, n)
}

// earned returns the extra attempts that the first attempts of the window allow.
func (b *Budget) earned() float64 { return float64(b.sum.first) * b.ratio() }

// left returns the extra attempts that may still be made. A VM that sends little earns its retries over several windows.
func (b *Budget) left() float64 { return max(b.earned()-float64(b.sum.extra), b.saved) }

func (b *Budget) ratio() float64 {
	if b.Ratio <= 0 {
		return DefaultRatio
	}
	return b.Ratio
}
