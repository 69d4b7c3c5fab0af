package fresh

import (
	"sync/atomic"

	"shallotrun/core/clock"
)

// margin covers the time between the check and the moment at which a backend server starts the request.
const margin = 300 * clock.Millisecond

// hidden is how long a store that drops its history may keep changes from a watch that is waiting: an answer without
// changes proves nothing about that time.
const hidden = 1200 * clock.Millisecond

// Proof is the newest moment at which the configuration is known to have been the newest one. Set Bound before
// the first call. All methods may be called from several goroutines.
type Proof struct {
	Bound clock.Span // time after which a change must be in force, 0 for no bound

	at atomic.Int64
}

// Read records a linearizable read that was sent at a time.
func (p *Proof) Read(sent clock.Time) { p.raise(sent) }

// Watched records a watch that was sent and received at these times and whose changes, if any, are in force: held by the
// store for the span that was asked for, or for 0 if it returned with changes.
func (p *Proof) Watched(sent, received clock.Time, held clock.Span) {
	p.raise(min(received, sent.Add(held)).Add(-hidden))
}

// Valid reports whether keyed work may be sent now.
func (p *Proof) Valid(now clock.Time) bool {
	at := clock.Time(p.at.Load())
	return at != 0 && (p.Bound == 0 || now.Sub(at) < p.Bound-margin)
}

// Age returns how old the proof is.
func (p *Proof) Age(now clock.Time) clock.Span { return now.Sub(clock.Time(p.at.Load())) }

func (p *Proof) raise(at clock.Time) {
	for {
		old := p.at.Load()
		if int64(at) <= old || p.at.CompareAndSwap(old, int64(at)) {
			return
		}
	}
}
