package follow

import (
	"context"
	"crypto/rand"
	"errors"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"shallotrun/core/clock"
	"shallotrun/internal/feed"
	"shallotrun/io/peer"
)

const (
	// probeInterval is the interval at which a search tries the VMs that could be followed.
	probeInterval = 20 * clock.Millisecond
	// maxSearchTimeout bounds how long a VM that starts searches for another one to follow.
	maxSearchTimeout = 1500 * clock.Millisecond
	// firstSearchTimeout is the search timeout of the first candidate of a failure domain; each further one searches for
	// searchTimeoutStep longer. If all VMs start together, the first one reads the store soon, and the next one only if the first
	// does not answer.
	firstSearchTimeout = 50 * clock.Millisecond
	searchTimeoutStep  = 200 * clock.Millisecond
	// failoverTimeout bounds the search for another VM after the upstream failed. The state of this VM grows older by as much.
	failoverTimeout = 400 * clock.Millisecond
	// bootstrapSpread is the time over which the VMs of a fleet that starts for the first time are spread, so that the others find
	// the first one of each failure domain when their own delay ends.
	bootstrapSpread = 1500 * clock.Millisecond
	// minSpreadFraction is the part of bootstrapSpread over which the VMs with the most processor time are spread.
	minSpreadFraction = 0.25
)

// setup reads the VMs that can be followed and the fleet's secret, and starts the transport. found reports whether there is a
// VM to follow; ok is false if ctx ended or no random numbers could be read.
func (f *Follower) setup(ctx context.Context) (found, ok bool) {
	proposal := make([]byte, secretBytes)
	if _, err := rand.Read(proposal); err != nil {
		f.Log.Error().Err(err).Msg("follow: no random numbers; this VM reads the store itself")
		return false, false
	}
	for ctx.Err() == nil {
		found, err := f.discover(ctx)
		f.setSecretEra(f.Feed.Era()) // before the secret is read
		var secret []byte
		if err == nil {
			secret, err = f.Feed.Store.Secret(ctx, proposal, feed.Stale)
		}
		if err == nil {
			f.transport = &peer.Transport{
				Name: f.Self.Name, Incarnation: f.Incarnation, Keys: [][]byte{secret}, HeartbeatInterval: heartbeat, Handler: (*handler)(f), Log: zerolog.Nop(),
			}
			f.transport.Run(ctx)
			return found, true
		}
		f.Log.Warn().Err(err).Msg("follow: cannot read the list of VMs or the secret yet; this VM reads the store itself meanwhile")
		f.stopDelegating()
		sleep(ctx, setupRetryDelay)
	}
	return false, false
}

// discover reads which VMs can be followed, and reports whether there is one in this failure domain. In a fleet that starts for
// the first time there is none yet: each VM then reads the list again after its own delay.
func (f *Follower) discover(ctx context.Context) (bool, error) {
	for _, attempt := range []struct {
		wait        clock.Span
		consistency feed.Consistency
	}{{0, feed.Stale}, {f.bootstrapDelay(), feed.Stale}, {0, feed.Latest}} {
		sleep(ctx, attempt.wait)
		if err := f.Feed.ListMembers(ctx, attempt.consistency); err != nil {
			return false, err
		}
		if len(inDomain(f.Self.Domain, f.Feed.Members())) > 0 {
			return true, nil
		}
	}
	return false, nil
}

// bootstrapDelay returns how long this VM waits at the first start of a fleet; VMs with more processor time wait less.
func (f *Follower) bootstrapDelay() clock.Span {
	hash := float64(xxhash.Sum64String(f.Self.Name)>>11) / (1 << 53)
	return clock.Span(hash * max(1-f.Self.CPU, minSpreadFraction) * float64(bootstrapSpread))
}

// searchTimeout returns how long this VM searches for another one to follow when it starts.
func (f *Follower) searchTimeout() clock.Span {
	if i, ok := candidateRank(f.Self, f.Feed.Members()); ok {
		return min(firstSearchTimeout+clock.Span(i)*searchTimeoutStep, maxSearchTimeout)
	}
	return maxSearchTimeout
}

// firstUpstream gets the state of another VM at the start. It returns that VM's name if it is to be followed from then on, ""
// if this VM is to read the store.
func (f *Follower) firstUpstream(ctx context.Context) string {
	candidates := func() []feed.Member {
		now := f.Clock.Now()
		return slices.DeleteFunc(sortByPreference(inDomain(f.Self.Domain, f.Feed.Members())), func(m feed.Member) bool {
			return m.Name == f.Self.Name || now < f.avoidedUntil(m.Name)
		})
	}
	name := f.search(ctx, f.searchTimeout(), candidates)
	if !slices.ContainsFunc(f.upstreams(f.Clock.Now()), func(m feed.Member) bool { return m.Name == name }) {
		f.disconnectExcept("")
		return ""
	}
	return name
}

// learnTimeout bounds the time in which a VM that starts and reads the store itself asks the others for what the store does not have.
const learnTimeout = 3 * clock.Second

// learn asks one of the other VMs, also of a later failure domain, for what the store does not have, such as crashes of servers and their
// limits. Otherwise a VM that is alone in its domain is told only when others follow it, and those avoid it if it was away for long.
func (f *Follower) learn(ctx context.Context) {
	if f.learned || f.currentUpstream() != "" || f.Clock.Now().Sub(f.started) > learnTimeout {
		f.learned = true
		return
	}
	for _, m := range f.Feed.Members() {
		if m.Name == f.Self.Name {
			continue
		}
		f.transport.Connect(m.Name, m.Addr)
		if !f.transport.Reachable(m.Name) {
			continue
		}
		if err := f.fetch(ctx, m); err == nil || errors.Is(err, errStoreSilent) {
			f.learned = true
			f.disconnectExcept("")
			return
		}
	}
}

// failOver searches for another VM to follow after the upstream failed.
func (f *Follower) failOver(ctx context.Context) string {
	return f.search(ctx, failoverTimeout, func() []feed.Member { return f.upstreams(f.Clock.Now()) })
}

// search tries the candidates for as long as timeout, and returns the first one that answers with recent state of the store. If
// there is none, it returns "" for a VM that is a candidate itself; any other VM gets the last one that answered with older
// state, "" for none.
func (f *Follower) search(ctx context.Context, timeout clock.Span, candidates func() []feed.Member) string {
	stale := "" // a VM that answers, but has been without an answer from the store for too long
	for end := f.Clock.Now().Add(timeout); ctx.Err() == nil; sleep(ctx, probeInterval) {
		for _, m := range candidates() {
			f.transport.Connect(m.Name, m.Addr)
			if !f.transport.Reachable(m.Name) {
				continue
			}
			err := f.fetch(ctx, m)
			if err == nil {
				f.disconnectExcept(m.Name)
				return m.Name
			}
			if errors.Is(err, errStoreSilent) && !f.isCandidate() {
				stale = m.Name
			}
		}
		if f.Clock.Now() >= end {
			break
		}
	}
	f.disconnectExcept(stale)
	return stale
}

// disconnectExcept ends the connections to all VMs but the one with this name.
func (f *Follower) disconnectExcept(name string) {
	for _, m := range f.Feed.Members() {
		if m.Name != name {
			f.transport.Disconnect(m.Name)
		}
	}
}

// sleep waits for s or until ctx ends.
func sleep(ctx context.Context, s clock.Span) {
	if s <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(s.Std()):
	}
}
