package follow

import (
	"cmp"
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/samber/oops"
	"github.com/valyala/fasthttp"

	"shallotrun/core/clock"
	"shallotrun/internal/feed"
	"shallotrun/internal/logs"
	"shallotrun/io/conn"
	"shallotrun/io/peer"
)

// DefaultApply is the time within which a change in the store must be in force if the settings name none.
const DefaultApply = 2 * clock.Second

const (
	// pollInterval is the interval at which a VM polls its upstream, the VM that it follows.
	pollInterval = 300 * clock.Millisecond
	// pollTimeout bounds the wait for the answer to a poll.
	pollTimeout = 500 * clock.Millisecond
	// minSilence is longer than the time between two answers of the store over a working connection plus the age of a poll.
	minSilence = 1500 * clock.Millisecond
	// silenceReserve is the part of ApplyWithin that is kept for reading from the store what the upstream did not pass on.
	silenceReserve = 500 * clock.Millisecond
	// heartbeat is the heartbeat interval of peers; a connection may be silent for three of them at most.
	heartbeat = 500 * clock.Millisecond
	// upgradeTimeout bounds the wait for the first request of a connection to the port for peers, so that one that sends nothing does
	// not hold a descriptor for good.
	upgradeTimeout = 2 * clock.Second
	// secretBytes is the length of the fleet's secret, in bytes.
	secretBytes = 32
	// setupRetryDelay is the delay before a failed call to the store that is needed for the start is retried.
	setupRetryDelay = 500 * clock.Millisecond
	// delegationTimeout is how long after the last usable answer to its polls a VM still leaves the store to others. Giving up
	// several VMs in a row that do not answer takes longer than that, and a change has to be in force meanwhile.
	delegationTimeout = clock.Second
	// maxAttempts is the number of VMs that one poll tries, each of them after the previous one failed.
	maxAttempts = 3
)

// Follower keeps the feed of one VM up to date from another VM, its upstream, and serves the VMs that follow this one. Set the
// exported fields before Init.
type Follower struct {
	Self        feed.Member
	Incarnation uint64 // of this process
	Feed        *feed.Feed
	ApplyWithin clock.Span // within which a change in the store must be in force, 0 means DefaultApply
	Clock       clock.Clock
	Log         zerolog.Logger

	transport *peer.Transport
	started   clock.Time // when this VM began to poll
	learned   bool       // another VM was asked since for what the store does not have, or need not be

	mu                sync.Mutex
	avoidUntil        map[string]clock.Time // by VM
	backoff           map[string]clock.Span // by VM: for how long it was avoided the last time
	upstream          string                // VM that is followed, "" for none
	connectingTo      string                // VM to which a connection is being set up
	connectingSince   clock.Time            // when that began
	delegated         bool                  // calls to the store are left to another VM, which is followed or being searched for
	delegationChanged chan struct{}         // closed when delegated changes
	lastAnswer        clock.Time            // when a poll last got a usable answer
	followers         followerTable
	secretEra         uint64 // era of the store in which the secret was last known to be in it, 0 before the first one
	joining           bool   // the entry of this VM is being written, or was a moment ago
	nextAlternative   int    // counts the polls of other VMs while the upstream gets no answer from the store
	asking            asking
	readUntil         clock.Time            // until when this VM reads the store for another one, 0 for never
	relayedUntil      clock.Time            // until when a candidate that is ordered before this one has answers of the store for both
	source            string                // the one of sources that had recent answers of the store at the last query, "" for none
	sources           map[string]clock.Time // VMs that are queried while the store does not answer: until when connections to them stay
}

// Init prepares the follower. It is called once, before the feed runs.
func (f *Follower) Init() {
	f.avoidUntil, f.backoff, f.delegationChanged = make(map[string]clock.Time), make(map[string]clock.Span), make(chan struct{})
	f.delegated = true // until the search at the start finds no VM to follow
	f.Feed.WaitWhileFollowing = f.waitWhileDelegated
}

// Run follows other VMs and serves followers until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	defer f.stopDelegating()
	ln, err := net.Listen("tcp", f.Self.Addr)
	if err != nil {
		f.Log.Error().Err(err).Msg("follow: cannot listen for peers; this VM reads the store itself")
		return
	}
	defer ln.Close() //nolint:errcheck // it is not used any more
	found, ok := f.setup(ctx)
	if !ok {
		return
	}
	srv := &fasthttp.Server{Handler: f.serve, ReadTimeout: upgradeTimeout.Std(), NoDefaultServerHeader: true, Logger: logs.Silent{}}
	go func() { _ = srv.Serve(&conn.Listener{Listener: ln, Name: "peers", Log: f.Log}) }()
	if found {
		f.setUpstream(f.firstUpstream(ctx))
	} else {
		f.setUpstream("")
		f.join(ctx)
	}
	f.started = f.Clock.Now()
	t := time.NewTicker(pollInterval.Std())
	defer t.Stop()
	for ctx.Err() == nil {
		name, ok := f.poll(ctx)
		if !ok && f.currentUpstream() != "" {
			name = f.failOver(ctx)
		}
		f.setUpstream(name)
		f.fetchElsewhere(ctx)
		f.learn(ctx)
		f.Feed.Loads.Refresh(f.Clock.Now())
		f.checkSecret(ctx)
		f.writeEntryAgain(ctx)
		f.maintainEntries(ctx)
		select {
		case <-ctx.Done():
		case <-t.C:
		}
	}
}

// poll polls the first VM that this one may follow, and returns its name if its answer is usable, "" if this VM is to read the
// store. ok is false if there are VMs to follow and none gave a usable answer. While the connection to a better VM is being set
// up again, the present upstream is still polled.
func (f *Follower) poll(ctx context.Context) (name string, ok bool) {
	if !f.Feed.Synchronised() {
		return "", true
	}
	for range maxAttempts {
		now := f.Clock.Now()
		upstreams := f.upstreams(now)
		if len(upstreams) == 0 {
			f.disconnectPrevious("")
			return "", true
		}
		m := upstreams[0]
		f.transport.Connect(m.Name, m.Addr)
		if !f.transport.Reachable(m.Name) && f.awaitingConnection(m.Name, now) {
			name = f.pollCurrent(ctx)
			return name, name != ""
		}
		err := f.fetch(ctx, m)
		if errors.Is(err, errStoreSilent) && !f.isCandidate() {
			f.recordAnswer()
			return f.pollAlternative(ctx, upstreams), true
		}
		if err == nil {
			f.disconnectPrevious(m.Name)
			return m.Name, true
		}
		f.avoid(m.Name, now, err)
	}
	return "", false
}

// upstreams returns the VMs that this one may follow now, best first. VMs that failed are left out while they are avoided.
func (f *Follower) upstreams(now clock.Time) []feed.Member {
	return eligibleUpstreams(f.Self, f.Feed.Members(), func(name string) bool { return now < f.avoidedUntil(name) })
}

// isCandidate reports whether others can follow this VM. Such a VM reads the store itself if its upstreams get no answer from
// it; all others leave that to the candidates, so that not the whole fleet calls a store that is unavailable.
func (f *Follower) isCandidate() bool {
	_, ok := candidateRank(f.Self, f.Feed.Members())
	return ok
}

// pollAlternative polls one of the other VMs, in turn, while the first one gets no answer from the store. It returns that other
// VM if its state of the store is recent, and else the first one, which is followed nevertheless.
func (f *Follower) pollAlternative(ctx context.Context, upstreams []feed.Member) string {
	first := upstreams[0]
	if others := upstreams[1:]; len(others) > 0 {
		f.nextAlternative++
		m := others[f.nextAlternative%len(others)]
		for _, o := range others {
			f.transport.Connect(o.Name, o.Addr)
		}
		if f.transport.Reachable(m.Name) && f.fetch(ctx, m) == nil {
			f.avoid(first.Name, f.Clock.Now(), errStoreSilent)
			f.disconnectExcept(m.Name)
			return m.Name
		}
	}
	return first.Name
}

// pollCurrent polls the present upstream, and returns its name if its answer is usable, else "".
func (f *Follower) pollCurrent(ctx context.Context) string {
	for _, m := range f.Feed.Members() {
		if m.Name == f.upstream && f.transport.Reachable(m.Name) && f.fetch(ctx, m) == nil {
			return m.Name
		}
	}
	return ""
}

// disconnectPrevious ends the connection to the upstream, unless it is next again.
func (f *Follower) disconnectPrevious(next string) {
	if f.upstream != "" && f.upstream != next {
		f.transport.Disconnect(f.upstream)
	}
}

// maxStoreSilence returns how long the upstream may have been without an answer from the store before it is no longer followed.
// The candidate that is next in the order stops following it first, so that the others find a VM that reads the store. A VM
// that is no candidate searches for that one from then on, which takes some polls.
func (f *Follower) maxStoreSilence() clock.Span {
	bound := cmp.Or(f.ApplyWithin, DefaultApply)
	if len(f.upstreams(f.Clock.Now())) <= 1 || !f.isCandidate() {
		return minSilence
	}
	return max(bound-silenceReserve, minSilence)
}

// errStoreSilent means that a VM has been without an answer from the store for too long.
var errStoreSilent = errors.New("the VM gets no answer from the store")

// fetch polls a VM once and applies the changes in its answer. It fails with errStoreSilent if that VM has been without an
// answer from the store for too long; its changes are applied nevertheless.
func (f *Follower) fetch(ctx context.Context, m feed.Member) error {
	bounded, cancel := context.WithTimeout(ctx, pollTimeout.Std())
	defer cancel()
	sent := f.Clock.Boot()
	var d feed.Delta
	q := f.Feed.Query(m.Name)
	q.VM, q.SinceStoreAnswer = f.Self, f.sinceStoreAnswer()
	if err := f.transport.Request(bounded, m.Name, peer.KindFeed, q, &d); err != nil {
		return err
	}
	if d.ShouldJoin {
		f.join(ctx)
	}
	if d.ShouldRead {
		f.readStore()
	}
	if err := f.Feed.Apply(sent, m.Name, d); err != nil {
		return err
	}
	if d.SinceStoreAnswer > f.maxStoreSilence() {
		return errStoreSilent
	}
	f.recordAnswer()
	return nil
}

// recordAnswer records that a poll got a usable answer now, so calls to the store stay delegated.
func (f *Follower) recordAnswer() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastAnswer = f.Clock.Now()
}

// connectTimeout bounds the time in which the first connection to a VM is set up.
const connectTimeout = 1500 * clock.Millisecond

// awaitingConnection reports whether the connection to a VM is still within connectTimeout.
func (f *Follower) awaitingConnection(name string, now clock.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.connectingTo != name {
		f.connectingTo, f.connectingSince = name, now
	}
	return now.Sub(f.connectingSince) < connectTimeout
}

// avoidedUntil returns the time until which a VM is avoided, 0 if it never was.
func (f *Follower) avoidedUntil(name string) clock.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.avoidUntil[name]
}

// avoid records that a VM failed, and excludes it from the upstreams for a backoff.
func (f *Follower) avoid(name string, now clock.Time, err error) {
	f.Feed.RecordOutage()
	f.mu.Lock()
	defer f.mu.Unlock()
	// The backoff grows while a VM keeps failing: each attempt costs a poll that brings no changes.
	f.backoff[name] = min(max(2*f.backoff[name], minAvoid), maxAvoid)
	f.avoidUntil[name] = now.Add(f.backoff[name])
	f.connectingTo = ""
	f.Log.Info().Err(err).Str("vm", name).Msg("follow: VM did not answer well and is avoided for a while")
}

// setUpstream records which VM is followed, "" for none.
func (f *Follower) setUpstream(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.followers.since == 0 {
		f.followers.since = f.Clock.Now()
	}
	if name != f.upstream {
		delete(f.backoff, name)
		f.Log.Info().Str("vm", name).Str("before", f.upstream).Msg("follow: upstream changes; without one this VM reads the store")
		f.upstream = name
		f.followers = followerTable{since: f.Clock.Now()}
	}
	f.setDelegated(name != "")
}

// stopDelegating makes this VM read the store itself.
func (f *Follower) stopDelegating() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.setDelegated(false)
}

// setDelegated wakes waitWhileDelegated if the value changes. f.mu is held.
func (f *Follower) setDelegated(delegated bool) {
	if delegated != f.delegated {
		f.delegated = delegated
		close(f.delegationChanged)
		f.delegationChanged = make(chan struct{})
	}
}

// leadsDomain reports whether this VM follows no VM of its own failure domain: the others of the domain follow it.
func (f *Follower) leadsDomain(members []feed.Member) bool {
	name := f.currentUpstream()
	return !slices.ContainsFunc(members, func(m feed.Member) bool { return m.Name == name && m.Domain == f.Self.Domain })
}

// currentUpstream returns the name of the VM that is followed, "" for none.
func (f *Follower) currentUpstream() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.upstream
}

// waitWhileDelegated returns when this VM has to call the store itself: it follows no VM, or no poll got a usable answer
// for delegationTimeout. It also returns when ctx ends.
func (f *Follower) waitWhileDelegated(ctx context.Context) {
	for ctx.Err() == nil {
		f.mu.Lock()
		delegated, changed, left := f.delegated, f.delegationChanged, delegationTimeout-f.Clock.Now().Sub(f.lastAnswer)
		f.mu.Unlock()
		switch {
		case !delegated, f.reads():
			return
		case !f.Feed.Synchronised():
			left = delegationTimeout // the search at the start has its own bound
		case left <= 0:
			return
		}
		t := time.NewTimer(left.Std())
		select {
		case <-ctx.Done():
		case <-changed:
		case <-t.C:
		}
		t.Stop()
	}
}

func (f *Follower) serve(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != peer.Path {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	f.transport.Serve(ctx)
}

// handler answers the polls of the VMs that follow this one.
type handler Follower

func (h *handler) Handle(e *peer.Envelope) (string, any, error) {
	if e.Kind != peer.KindFeed {
		return "", nil, oops.Errorf("unknown kind %q", e.Kind)
	}
	var q feed.Query
	if err := e.Decode(&q); err != nil {
		return "", nil, err
	}
	d, err := h.Feed.Reply(e.From, q)
	if err != nil {
		return "", nil, err
	}
	if q.ObjectsOnly {
		return peer.KindFeed, d, nil
	}
	d.ShouldJoin = (*Follower)(h).recordFollower(q.VM)
	d.ShouldRead = !d.Unready && (*Follower)(h).shouldAsk(q)
	return peer.KindFeed, d, nil
}

func (h *handler) Connected(string, uint64) {}
