package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Units of [Span].
const (
	Millisecond Span = 1
	Second           = 1000 * Millisecond
	Minute           = 60 * Second
	Hour             = 60 * Minute
)

// Time is a point in time in milliseconds, since the Unix epoch for the real clock and since an arbitrary zero that the test
// chooses for a manual one.
type Time int64

// Span is a duration in milliseconds.
type Span int64

// Clock returns the current time. The zero value reads the system's clocks.
type Clock struct {
	// Manual, when set, is the time that Now returns.
	Manual *atomic.Int64
}

// NewManual returns a clock that reads t until Advance moves it.
func NewManual(t Time) Clock {
	c := Clock{Manual: new(atomic.Int64)}
	c.Manual.Store(int64(t))
	return c
}

// Add returns t moved by s.
func (t Time) Add(s Span) Time { return t + Time(s) }

// Sub returns the time from u to t.
func (t Time) Sub(u Time) Span { return Span(t - u) }

// Before reports whether t is earlier than u.
func (t Time) Before(u Time) bool { return t < u }

// Std converts t to a [time.Time].
func (t Time) Std() time.Time { return time.UnixMilli(int64(t)) }

// Std converts s to a [time.Duration].
func (s Span) Std() time.Duration { return time.Duration(s) * time.Millisecond }

// FromStd converts a [time.Duration] to a span, truncated to whole milliseconds.
func FromStd(d time.Duration) Span { return Span(d / time.Millisecond) }

// Now returns the current time. It is monotonic within a process: the wall-clock time at the start of the process plus the
// monotonic time since then, so that a step of the wall clock cannot reorder events.
func (c Clock) Now() Time {
	if c.Manual != nil {
		return Time(c.Manual.Load())
	}
	return Time(start.UnixMilli() + time.Since(start).Milliseconds())
}

// Wall returns the wall-clock time, which may step. Lease holders compare it with Now, because the monotonic clock does not
// advance on some systems while the VM is suspended.
func (c Clock) Wall() Time {
	if c.Manual != nil {
		return Time(c.Manual.Load())
	}
	return Time(time.Now().Round(0).UnixMilli())
}

// Boot returns the time since the boot of the VM. It does not step, and unlike Now it includes the time for which the VM was
// suspended on all systems that have the clock. On a kernel without it, it returns the wall-clock time.
func (c Clock) Boot() Time {
	if c.Manual != nil {
		return Time(c.Manual.Load())
	}
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return c.Wall() // the kernel lacks this clock: a step does less harm than missing the time of a suspension
	}
	return Time(ts.Nano() / int64(time.Millisecond))
}

// Advance moves a manual clock by s. It panics on the real clock.
func (c Clock) Advance(s Span) {
	c.Manual.Add(int64(s))
}

// start is the time at which the process started.
var start = time.Now()
