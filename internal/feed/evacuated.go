package feed

import (
	"context"
	"sync"

	"github.com/rs/zerolog"

	"shallotrun/core/backend"
	"shallotrun/core/clock"
	"shallotrun/core/evacuation"
)

// Evacuated holds the failure domains that the operator has evacuated. The zero value holds none and logs nothing. All methods are safe for concurrent use.
type Evacuated struct {
	Log zerolog.Logger // set before the feed runs

	mu  sync.Mutex
	set evacuation.Set
}

// expire ends the evacuations that the store lost and that nobody wrote again. e.mu is held.
func (e *Evacuated) expire(now clock.Time) {
	for _, d := range e.set.Expire(now) {
		logEvacuation(e.Log, d, 0, false)
	}
}

// Split divides servers into those that may get new requests and those in evacuated domains. If none may, wait is the time after which
// callers should come back.
func (e *Evacuated) Split(now clock.Time, all []backend.Server) (usable, away []backend.Server, wait clock.Span) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expire(now)
	return e.set.Split(now, all)
}

// Len returns the number of evacuated domains.
func (e *Evacuated) Len(now clock.Time) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expire(now)
	return e.set.Len()
}

// replace applies a list. An evacuation that a store which came back from an older copy lost stays in force for rewriteSpan.
func (e *Evacuated) replace(now clock.Time, b Batch, restored bool) {
	var list []string
	for _, o := range b.Objects {
		if !o.Removed {
			list = append(list, o.Name)
		}
	}
	keep := clock.Span(0)
	if restored {
		keep = rewriteSpan
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	begun, ended := e.set.Replace(now, list, keep)
	for _, d := range begun {
		logEvacuation(e.Log, d, b.Rev, true)
	}
	for _, d := range ended {
		logEvacuation(e.Log, d, b.Rev, false)
	}
}

// update applies a changed entry. The entry alone counts, not what it holds.
func (e *Evacuated) update(now clock.Time, o Object, rev uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case o.Removed && e.set.Remove(o.Name):
		logEvacuation(e.Log, o.Name, rev, false)
	case !o.Removed && e.set.Put(now, o.Name):
		logEvacuation(e.Log, o.Name, rev, true)
	}
}

func logEvacuation(log zerolog.Logger, domain string, rev uint64, begun bool) {
	msg := "feed: the evacuation of a failure domain is taken back"
	if begun {
		msg = "feed: failure domain evacuated; its backend servers get nothing new"
	}
	log.Info().Str("domain", domain).Uint64("revision", rev).Msg(msg)
}

// reads reports whether this VM uses objects of a kind. Evacuations are used only if there is a bound for them.
func (f *Feed) reads(k Kind) bool { return k != Evacuations || f.EvacuateWithin > 0 }

// watchSpan returns the longest time that the store holds a watch of a kind without changes. A broken connection to the store is noticed
// within half of the bound on evacuations, so that the other half is left for reading and passing them on.
func (f *Feed) watchSpan(k Kind) clock.Span {
	if k == Evacuations {
		return min(max(f.EvacuateWithin/2, minEvacuationWatch), watchTimeout[Orders])
	}
	return watchTimeout[k]
}

// minEvacuationWatch is the least time that the store holds a watch of evacuations, as each watch is a call.
const minEvacuationWatch = 500 * clock.Millisecond

// wait waits while another VM brings the objects of a kind. One of an earlier build brings no evacuations.
func (f *Feed) wait(ctx context.Context, k Kind) {
	if f.WaitWhileFollowing == nil {
		return
	}
	if k != Evacuations {
		f.WaitWhileFollowing(ctx)
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.mu.Lock()
	if f.untold == nil {
		f.untold = make(chan struct{})
	}
	untold := f.untold
	f.mu.Unlock()
	go func() {
		select {
		case <-untold:
			cancel()
		case <-ctx.Done():
		}
	}()
	f.WaitWhileFollowing(ctx)
}

// recordTold records whether the VM that replied has listed the evacuations. If it has not, this VM reads them itself.
func (f *Feed) recordTold(c Changes) {
	f.mu.Lock()
	defer f.mu.Unlock()
	told := c.Rev != 0 || c.Snapshot != nil
	if f.untold == nil {
		f.untold = make(chan struct{})
	}
	switch {
	case told && f.isUntold:
		f.untold = make(chan struct{})
	case !told && !f.isUntold:
		close(f.untold)
	}
	f.isUntold = !told
}

// evacuationsSettled reports whether the evacuations are listed, or could not be for as long as they may take to be in force: a VM that
// follows one of an earlier build and is turned away by the store serves nevertheless. All other kinds are listed; f.mu is held.
func (f *Feed) evacuationsSettled() bool {
	if f.listed[Evacuations] || !f.reads(Evacuations) {
		return true
	}
	now := f.Clock.Now()
	if f.othersListedAt == 0 {
		f.othersListedAt = now
	}
	return now.Sub(f.othersListedAt) >= f.EvacuateWithin
}
