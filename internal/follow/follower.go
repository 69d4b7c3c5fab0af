package follow

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/samber/oops"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"shallotrun/core/clock"
	"shallotrun/internal/feed"
	"shallotrun/internal/logs"
	"shallotrun/io/peer"
)

const (
	// askEvery is the interval at which a VM asks the one that it follows.
	askEvery = 300 * clock.Millisecond
	// askTime bounds the wait for an answer.
	askTime = 500 * clock.Millisecond
	// quietLeast is above the time between two answers of the store on a sound way, with the age of a question.
	quietLeast = 1500 * clock.Millisecond
	// quietReserve is kept of the bound for reading from the store what another VM did not hand on.
	quietReserve = 500 * clock.Millisecond
	// beat bounds the silence of a peer's connection to three times this.
	beat = 500 * clock.Millisecond
	// secretBytes is the length of the fleet's secret.
	secretBytes = 32
	// setupRetry is the delay before a call to the store that is needed for the start is made again.
	setupRetry = 500 * clock.Millisecond
	// tries is the number of VMs that are asked in one step, each after the one before gave no good answer.
	tries = 3
)

// Follower follows another VM, and is followed. Set the exported fields before Run.
type Follower struct {
	Self  feed.Member
	Inc   uint64 // incarnation of this process
	Feed  *feed.Feed
	Bound clock.Span // within which a change in the store must be in force, 0 means 2 s
	Clock clock.Clock
	Log   zerolog.Logger

	transport *peer.Transport

	mu       sync.Mutex
	avoided  map[string]clock.Time // until when
	backoff  map[string]clock.Span // for how long, the last time
	leading  string                // VM that is followed, "" for none
	partners []feed.Member         // of the other failure domains
	dialled  string                // VM that is being connected to
	since    clock.Time            // when that began
	covered  bool                  // another VM is followed, or is being looked for
	changed  chan struct{}         // closed when covered changes
	roster   roster
	joining  bool
}

// Init prepares the follower. It is called once, before the feed runs.
func (f *Follower) Init() {
	f.avoided, f.backoff, f.changed = make(map[string]clock.Time), make(map[string]clock.Span), make(chan struct{})
	f.covered = true // until it is known that there is no VM to follow
	f.Feed.Covered = f.wait
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	defer f.uncover()
	ln, err := net.Listen("tcp", f.Self.Addr)
	if err != nil {
		f.Log.Error().Err(err).Msg("follow: no port for peers, this VM asks the store itself")
		return
	}
	defer ln.Close() //nolint:errcheck // it is not used any more
	found, ok := f.setup(ctx)
	if !ok {
		return
	}
	srv := &fasthttp.Server{Handler: f.serve, NoDefaultServerHeader: true, Logger: logs.Silent{}}
	go func() { _ = srv.Serve(ln) }()
	if found {
		f.set(f.begin(ctx))
	} else {
		f.set("")
		f.join(ctx)
	}
	t := time.NewTicker(askEvery.Std())
	defer t.Stop()
	for ctx.Err() == nil {
		name, ok := f.step(ctx)
		if !ok && f.followed() != "" {
			name = f.seek(ctx, switchSpan, false)
		}
		f.set(name)
		f.share(ctx)
		f.tend(ctx)
		select {
		case <-ctx.Done():
		case <-t.C:
		}
	}
}

// step asks the VM that is to be followed, and returns its name if it answered well, "" if this VM is to ask the store. It
// returns false if there are VMs to be followed and none answered. While a VM that comes first is tried again, the one that is
// followed goes on being asked.
func (f *Follower) step(ctx context.Context) (name string, ok bool) {
	if !f.Feed.Synchronised() {
		return "", true
	}
	members := f.Feed.Members()
	for range tries {
		now := f.Clock.Now()
		m, ok := choose(f.Self, members, func(name string) bool { return now < f.until(name) })
		if !ok {
			f.drop("")
			return "", true
		}
		f.transport.Connect(m.Name, m.Addr)
		if !f.transport.Reachable(m.Name) && f.connecting(m.Name, now) {
			name = f.stay(ctx, members)
			return name, name != ""
		}
		err := f.ask(ctx, m, f.quiet(members, m))
		if err == nil {
			f.drop(m.Name)
			return m.Name, true
		}
		f.avoid(m.Name, now, err)
	}
	return "", false
}

// stay asks the VM that is followed already.
func (f *Follower) stay(ctx context.Context, members []feed.Member) string {
	for _, m := range members {
		if m.Name == f.leading && f.transport.Reachable(m.Name) && f.ask(ctx, m, f.quiet(members, m)) == nil {
			return m.Name
		}
	}
	return ""
}

// drop ends the connection to the VM that was followed, if another one is now.
func (f *Follower) drop(next string) {
	if f.leading != "" && f.leading != next {
		f.transport.Disconnect(f.leading)
	}
}

// quiet returns the time without an answer of the store after which a VM is no longer followed. The VM that comes next
// after it stops first, so that the others find one that asks the store.
func (f *Follower) quiet(members []feed.Member, m feed.Member) clock.Span {
	bound := f.Bound
	if bound == 0 {
		bound = 2 * clock.Second
	}
	next, ok := choose(f.Self, members, func(name string) bool { return name == m.Name || f.Clock.Now() < f.until(name) })
	if !ok || next.Name == f.Self.Name {
		return quietLeast
	}
	return max(bound-quietReserve, quietLeast)
}

// ask makes one question and takes the answer, unless the store has been quiet for too long to the VM that gives it.
func (f *Follower) ask(ctx context.Context, m feed.Member, quiet clock.Span) error {
	asking, cancel := context.WithTimeout(ctx, askTime.Std())
	defer cancel()
	sent := f.Clock.Boot()
	var d feed.Delta
	q := f.Feed.Ask()
	q.Power = f.Self.Power
	if err := f.transport.Ask(asking, m.Name, peer.KindFeed, q, &d); err != nil {
		return err
	}
	if d.Quiet > quiet {
		return oops.Errorf("the store has not answered it for %d ms", d.Quiet)
	}
	if d.Stand {
		f.join(ctx)
	}
	return f.Feed.Take(sent, d)
}

// share exchanges sums with the other failure domains, if this VM follows none.
func (f *Follower) share(ctx context.Context) {
	var partners []feed.Member
	if f.leading == "" {
		now := f.Clock.Now()
		partners = firsts(f.Self, f.Feed.Members(), func(name string) bool { return now < f.until(name) })
	}
	f.pair(partners)
	if f.leading != "" {
		return
	}
	var g errgroup.Group
	for _, m := range partners {
		if f.transport.Reachable(m.Name) {
			g.Go(func() error { f.exchange(ctx, m); return nil })
		}
	}
	_ = g.Wait() // the functions return no errors
	f.Feed.Loads.Lead(f.Clock.Now())
}

// pair connects to the VMs of other failure domains, and ends the connections to those before.
func (f *Follower) pair(next []feed.Member) {
	for _, old := range f.partners {
		if !slices.ContainsFunc(next, func(m feed.Member) bool { return m.Name == old.Name }) {
			f.transport.Disconnect(old.Name)
		}
	}
	for _, m := range next {
		f.transport.Connect(m.Name, m.Addr)
	}
	f.partners = next
}

// exchange gives the sums of this failure domain to a VM of another one, and takes those of the other.
func (f *Follower) exchange(ctx context.Context, m feed.Member) {
	asking, cancel := context.WithTimeout(ctx, askTime.Std())
	defer cancel()
	var s feed.Sums
	if err := f.transport.Ask(asking, m.Name, peer.KindSums, f.Feed.Sums(f.Self.Domain), &s); err != nil {
		f.Log.Debug().Err(err).Str("vm", m.Name).Msg("follow: no sums of another failure domain")
		return
	}
	f.Feed.TakeSums(s)
}

// connectSpan is the time for the first connection to a VM.
const connectSpan = 1500 * clock.Millisecond

// connecting reports whether a connection to a VM may still come up.
func (f *Follower) connecting(name string, now clock.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.dialled != name {
		f.dialled, f.since = name, now
	}
	return now.Sub(f.since) < connectSpan
}

// until returns the time until which a VM is avoided.
func (f *Follower) until(name string) clock.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.avoided[name]
}

// avoid records that a VM gave no good answer.
func (f *Follower) avoid(name string, now clock.Time, err error) {
	f.Feed.Interrupted()
	f.mu.Lock()
	defer f.mu.Unlock()
	// A VM that fails again is avoided for longer: each trial costs a step without news.
	f.backoff[name] = min(max(2*f.backoff[name], avoidFirst), avoidMost)
	f.avoided[name] = now.Add(f.backoff[name])
	f.dialled = ""
	f.Log.Info().Err(err).Str("vm", name).Msg("follow: no good answer, it is avoided for a while")
}

// set records which VM is followed.
func (f *Follower) set(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.roster.since == 0 {
		f.roster.since = f.Clock.Now()
	}
	if name != f.leading {
		delete(f.backoff, name)
		f.Log.Info().Str("vm", name).Str("before", f.leading).Msg("follow: followed VM changes; without one this VM asks the store")
		f.leading = name
		f.roster = roster{since: f.Clock.Now()}
	}
	f.cover(name != "")
}

// uncover makes this VM ask the store itself.
func (f *Follower) uncover() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cover(false)
}

func (f *Follower) cover(covered bool) {
	if covered != f.covered {
		f.covered = covered
		close(f.changed)
		f.changed = make(chan struct{})
	}
}

// followed returns the VM that is followed, "" for none.
func (f *Follower) followed() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leading
}

// wait returns when this VM follows none, or ctx ends.
func (f *Follower) wait(ctx context.Context) {
	for ctx.Err() == nil {
		f.mu.Lock()
		covered, changed := f.covered, f.changed
		f.mu.Unlock()
		if !covered {
			return
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

func (f *Follower) serve(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != peer.Path {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	f.transport.Serve(ctx)
}

// handler answers the VMs that follow this one.
type handler Follower

func (h *handler) Handle(e *peer.Envelope) (string, any, error) {
	switch e.Kind {
	case peer.KindFeed:
	case peer.KindSums:
		var s feed.Sums
		if err := e.Decode(&s); err != nil {
			return "", nil, err
		}
		h.Feed.TakeSums(s)
		return peer.KindSums, h.Feed.Sums(h.Self.Domain), nil
	default:
		return "", nil, oops.Errorf("unknown kind %q", e.Kind)
	}
	var q feed.Question
	if err := e.Decode(&q); err != nil {
		return "", nil, err
	}
	d, err := h.Feed.Answer(e.From, q)
	if err != nil {
		return "", nil, err
	}
	d.Stand = (*Follower)(h).stands(e.From, q.Power)
	return peer.KindFeed, d, nil
}

func (h *handler) Up(string, uint64) {}
