package follow

import (
	"context"

	"shallotrun/core/clock"
)

// joinAfter is how long a VM asks the store itself before it lets others follow it.
const joinAfter = 3 * clock.Second

// stands records a question of a VM, and reports whether it should let others follow it.
func (f *Follower) stands(name string, power float64) bool {
	entries := f.Feed.Members()
	now := f.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.roster.hear(now, name, power)
	return f.leading == "" && f.roster.stands(now, f.Self, entries, name)
}

// tend keeps the entries of this failure domain, while this VM asks the store: its own is written if it has none, and those of VMs
// that are gone are removed.
func (f *Follower) tend(ctx context.Context) {
	entries := f.Feed.Members()
	now := f.Clock.Now()
	f.mu.Lock()
	if f.leading != "" {
		f.mu.Unlock()
		return
	}
	lone := now.Sub(f.roster.since) >= joinAfter
	gone, ok := f.roster.lost(now, f.Self, entries)
	f.mu.Unlock()
	if lone {
		f.join(ctx)
	}
	if !ok {
		return
	}
	err := f.Feed.Store.Leave(ctx, gone)
	f.Log.Info().Err(err).Str("vm", gone).Int64("unheard_ms", int64(forgetAfter)).Msg("follow: entry of a VM that is gone is removed")
}

// join writes this VM's entry, by which others find it, if it has none.
func (f *Follower) join(ctx context.Context) {
	for _, m := range f.Feed.Members() {
		if m == f.Self {
			return
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.joining {
		return
	}
	f.joining = true
	go func() {
		err := f.Feed.Store.Join(ctx, f.Self)
		f.Log.Info().Err(err).Float64("power", f.Self.Power).Msg("follow: others may follow this VM")
		// The entry is seen in the list a while later.
		sleep(ctx, joinAfter)
		f.mu.Lock()
		defer f.mu.Unlock()
		f.joining = false
	}()
}
