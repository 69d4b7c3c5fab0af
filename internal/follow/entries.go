package follow

import (
	"context"

	"shallotrun/core/clock"
	"shallotrun/internal/feed"
)

// joinDelay is how long a VM reads the store itself before it writes an entry so that others can follow it.
const joinDelay = 3 * clock.Second

// recordFollower records a poll of a VM of this failure domain if this VM leads it, and reports whether the other VM should
// become a candidate.
func (f *Follower) recordFollower(m feed.Member) bool {
	entries := f.Feed.Members()
	if m.Domain != f.Self.Domain || !f.leadsDomain(entries) {
		return false
	}
	now := f.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.followers.record(now, m.Name, m.CPU)
	return f.followers.shouldBecomeCandidate(now, f.Self, entries, m.Name)
}

// maintainEntries writes this VM's entry if it reads the store and has none. If this VM leads its failure domain, it also
// removes an entry of a VM that is gone, or one beyond maxEntries.
func (f *Follower) maintainEntries(ctx context.Context) {
	entries := f.Feed.Members()
	now := f.Clock.Now()
	leads := f.leadsDomain(entries)
	f.mu.Lock()
	readsStore := f.upstream == "" && now.Sub(f.followers.since) >= joinDelay
	gone, ok := "", false
	if leads {
		gone, ok = f.followers.entryToRemove(now, f.Self, entries)
	}
	f.mu.Unlock()
	if readsStore {
		f.join(ctx)
	}
	if !ok {
		return
	}
	err := f.Feed.Store.Leave(ctx, gone)
	f.Log.Info().Err(err).Str("vm", gone).Int("entries", len(inDomain(f.Self.Domain, entries))).
		Msg("follow: removal of an entry, because its VM is gone or there are too many")
}

// join writes this VM's entry, by which others find it, if the list has none that is equal.
func (f *Follower) join(ctx context.Context) {
	for _, m := range f.Feed.Members() {
		if m == f.Self {
			return
		}
	}
	f.write(ctx)
}

// write writes this VM's entry, unless that is being done or was done a moment ago.
func (f *Follower) write(ctx context.Context) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.joining {
		return
	}
	f.joining = true
	go func() {
		err := f.Feed.Store.Join(ctx, f.Self)
		f.Log.Info().Err(err).Float64("power", f.Self.CPU).Msg("follow: write of the entry of this VM, by which others find it")
		// The entry appears in the list a while later; meanwhile it is not written again.
		sleep(ctx, joinDelay)
		f.mu.Lock()
		defer f.mu.Unlock()
		f.joining = false
	}()
}
