package feed

import (
	"context"

	"shallotrun/core/clock"
)

// rewriteSpan is the time after the store came back from an older copy within which the operator, the servers and the VMs have
// written again what it lost. Until then what was in force stays in force.
const rewriteSpan = 2 * clock.Second

// lostMemberSpan is the time for which the entry of a VM that the store lost stays. Changes of entries are read once a second and passed
// on twice, and without entries to follow all VMs read the store.
const lostMemberSpan = 3 * rewriteSpan

// firstEra is the era of a store that never came back from an older copy.
const firstEra = 1

// eraTracker tracks the era of the store as of its last answer, here or at the VM that is followed.
type eraTracker struct {
	newest  uint64        // 0 before the first answer that names one
	changed chan struct{} // closed when newest changes, nil before anybody waits for that
}

// recordEra records the era of the store in a batch, and logs a change.
func (f *Feed) recordEra(k Kind, b Batch) {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.eras.newest
	if b.Era <= before {
		return
	}
	f.eras.newest = b.Era
	if f.eras.changed != nil {
		close(f.eras.changed)
		f.eras.changed = nil
	}
	l := f.Log.Info()
	if before != 0 {
		l = f.Log.Warn()
	}
	if before != 0 {
		f.lastOutage = f.Clock.Now()
	}
	if before != 0 || b.Era > firstEra {
		f.Freshness.Distrust(f.Clock.Boot().Add(rewriteSpan))
	}
	l.Stringer("kind", k).Uint64("era", b.Era).Uint64("before", before).Uint64("revision", b.Rev).Uint64("known", f.histories[k].at.Rev).
		Msg("feed: the store has another era; if there was one before, it came back from an older copy")
}

// Era returns the era of the store as of its last answer, here or at the VM that is followed, 0 before the first one.
func (f *Feed) Era() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.eras.newest
}

// inEra returns a context that ends when the store has another era than the given one, unless that is not known: all kinds are listed
// then, and a watch that waits for changes would delay that. The returned function must be called.
func (f *Feed) inEra(ctx context.Context, era uint64) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	f.mu.Lock()
	defer f.mu.Unlock()
	if era == 0 {
		return ctx, cancel
	}
	if f.eras.newest != era {
		cancel()
		return ctx, cancel
	}
	if f.eras.changed == nil {
		f.eras.changed = make(chan struct{})
	}
	changed := f.eras.changed
	go func() {
		select {
		case <-changed:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}
