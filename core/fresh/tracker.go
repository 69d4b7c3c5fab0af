package fresh

import (
	"sync/atomic"

	"shallotrun/core/clock"
)

// startMargin covers the time between the check and the start of the request on a backend server.
const startMargin = 300 * clock.Millisecond

// watchLag is how late a waiting watch may get changes from a store that drops its history: an answer without changes
// proves nothing about the last watchLag of the wait.
const watchLag = 1200 * clock.Millisecond

// Tracker tracks the latest time at which the VM's configuration was certainly the newest one. Set MaxAge before the first
// call. Its methods are safe for concurrent use.
type Tracker struct {
	MaxAge clock.Span // longest time from a change until it is in force, 0 for no bound

	newestAt   atomic.Int64 // a clock.Time, 0 before the first record
	trustsFrom atomic.Int64 // a clock.Time from which reads prove something, 0 for always
}

// Distrust records that what is read before the given time may be older than what the store accepted: it came back from an older
// copy, and the configuration that it lost has not been written again yet.
func (t *Tracker) Distrust(until clock.Time) { t.trustsFrom.Store(int64(until)) }

// NeedsRead reports whether a read would prove more than a watch, which proves nothing about the end of its wait: reads have just
// become proofs again.
func (t *Tracker) NeedsRead(now clock.Time) bool {
	from := t.trustsFrom.Load()
	return from != 0 && int64(now) >= from && t.newestAt.Load() < from
}

// RecordProof records a time at which another VM's configuration, which is no newer than this VM's, was certainly the newest one.
func (t *Tracker) RecordProof(at clock.Time) { t.advance(at) }

// RecordRead records a linearizable read that was sent at the time sent.
func (t *Tracker) RecordRead(sent clock.Time) { t.advanceTo(sent) }

// RecordWatch records a watch, with the times of its request and its answer, whose changes, if any, are in force. held is how
// long the store waited for changes: the time that was asked for, or 0 if the answer had changes.
func (t *Tracker) RecordWatch(sent, received clock.Time, held clock.Span) {
	t.advanceTo(min(received, sent.Add(held)).Add(-watchLag))
}

// Fresh reports whether requests with a key may be sent to backend servers now.
func (t *Tracker) Fresh(now clock.Time) bool {
	at := clock.Time(t.newestAt.Load())
	return at != 0 && (t.MaxAge == 0 || now.Sub(at) < t.MaxAge-startMargin)
}

// Age returns the time since the configuration was last certainly the newest one.
func (t *Tracker) Age(now clock.Time) clock.Span { return now.Sub(clock.Time(t.newestAt.Load())) }

// advanceTo records the time of a read, unless reads of that time prove nothing.
func (t *Tracker) advanceTo(at clock.Time) {
	if int64(at) >= t.trustsFrom.Load() {
		t.advance(at)
	}
}

func (t *Tracker) advance(at clock.Time) {
	for {
		old := t.newestAt.Load()
		if int64(at) <= old || t.newestAt.CompareAndSwap(old, int64(at)) {
			return
		}
	}
}
