package follow

import (
	"bytes"
	"context"
	"math/rand/v2"

	"shallotrun/core/clock"
	"shallotrun/internal/feed"
)

const (
	// secretSpread is the time over which the VMs of a fleet check the secret after the store came back from an older copy.
	secretSpread = clock.Second
	// secretAttempts bounds the calls of one such check.
	secretAttempts = 10
)

// checkSecret checks the fleet's secret when the store has come back from an older copy, which may be older than the secret. A VM that
// started meanwhile may have written another one: VMs then accept both.
func (f *Follower) checkSecret(ctx context.Context) {
	era := f.Feed.Era()
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.secretEra
	f.secretEra = era
	if before == 0 || era == before {
		return
	}
	go f.writeSecretAgain(ctx)
}

// setSecretEra records the era of the store in which the secret is known to be in it.
func (f *Follower) setSecretEra(era uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.secretEra = era
}

// writeSecretAgain writes the secret again if the store has lost it, and accepts the one that the store has if that is another one.
func (f *Follower) writeSecretAgain(ctx context.Context) {
	sleep(ctx, clock.Span(rand.Float64()*float64(secretSpread)))
	known := f.transport.Key()
	for range secretAttempts {
		stored, err := f.Feed.Store.Secret(ctx, known, feed.Latest)
		if err == nil {
			f.Log.Info().Bool("same", bytes.Equal(stored, known)).Msg("follow: the store came back from an older copy and has a secret again")
			f.transport.AcceptKey(stored)
			return
		}
		f.Log.Warn().Err(err).Msg("follow: cannot check the secret after the store came back from an older copy; retrying")
		if sleep(ctx, setupRetryDelay); ctx.Err() != nil {
			return
		}
	}
}

// writeEntryAgain writes this VM's entry again if the store has just lost it: when the other VMs give up an entry that is not written
// again, they read the store.
func (f *Follower) writeEntryAgain(ctx context.Context) {
	if f.Feed.LostMember(f.Self.Name) {
		f.write(ctx)
	}
}
