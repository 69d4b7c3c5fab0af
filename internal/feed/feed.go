package feed

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"shallotrun/core/backend"
	"shallotrun/core/catalog"
	"shallotrun/core/clock"
	"shallotrun/core/fresh"
)

// Longest time that a watch waits in the store. A watch whose connection went silent is found when it should have
// returned, so the time bounds how late a change is learnt then.
var watchWait = [kinds]clock.Span{Configs: 1500, Servers: 1800, Orders: 4000}

// Delays after a failed call.
const (
	retryFirst = 100 * clock.Millisecond
	retryMost  = 800 * clock.Millisecond
)

// Feed holds what the store says. Set the exported fields before Run.
type Feed struct {
	Store Store
	Clock clock.Clock
	Log   zerolog.Logger
	Proof fresh.Proof // Bound is set before Run

	Config catalog.Current
	Orders Board

	mu      sync.Mutex
	servers backend.Set
	listed  [kinds]bool
	failing [kinds]bool
}

// Run follows the store until ctx ends.
func (f *Feed) Run(ctx context.Context) {
	var g errgroup.Group
	for k := range kinds {
		g.Go(func() error { f.follow(ctx, k); return nil })
	}
	g.Go(func() error { f.decide(ctx); return nil })
	_ = g.Wait() // the functions return no errors
}

// Synchronised reports whether every kind was listed.
func (f *Feed) Synchronised() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, ok := range f.listed {
		if !ok {
			return false
		}
	}
	return f.Config.Table() != nil
}

// Servers returns the servers of a service that may get new requests.
func (f *Feed) Servers(now clock.Time, service string) []backend.Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.servers.Servers(now, service)
}

// Fresh reports whether the configuration is proved to be new enough for work that needs a key.
func (f *Feed) Fresh() bool { return f.Proof.Valid(f.Clock.Boot()) }

// follow lists and watches one kind.
func (f *Feed) follow(ctx context.Context, k Kind) {
	var rev uint64
	known := false
	delay := retryFirst
	for ctx.Err() == nil {
		next, err := f.step(ctx, k, rev, known)
		if err == nil {
			rev, known, delay = next, true, retryFirst
			f.answered(k)
			continue
		}
		if ctx.Err() != nil {
			return
		}
		f.failed(k, err)
		if errors.Is(err, ErrHistory) {
			known = false
			continue
		}
		pause(ctx, clock.Span(float64(delay)*(0.5+rand.Float64())))
		delay = min(2*delay, retryMost)
	}
}

// step makes one call and takes what it returns.
func (f *Feed) step(ctx context.Context, k Kind, rev uint64, known bool) (uint64, error) {
	sent := f.Clock.Boot()
	if !known {
		b, err := f.Store.List(ctx, k)
		if err != nil {
			return 0, err
		}
		f.list(k, b)
		if k == Configs {
			f.Proof.Read(sent)
		}
		return b.Rev, nil
	}
	b, err := f.Store.Watch(ctx, k, rev, watchWait[k])
	if err != nil {
		return 0, err
	}
	f.changes(k, b)
	if k == Configs {
		held := watchWait[k]
		if len(b.Objects) > 0 {
			held = 0 // it returned as soon as there was a change
		}
		f.Proof.Watched(sent, f.Clock.Boot(), held)
	}
	return max(b.Rev, rev), nil
}

// list takes all objects of a kind.
func (f *Feed) list(k Kind, b Batch) {
	now := f.Clock.Now()
	switch k {
	case Servers:
		var all []backend.Server
		for _, o := range b.Objects {
			if o.Server != nil {
				all = append(all, *o.Server)
			}
		}
		f.mu.Lock()
		f.servers.Replace(now, all)
		f.mu.Unlock()
	case Configs:
		f.changes(k, b)
	case Orders:
		f.Orders.keep(b.Objects)
		f.changes(k, b)
	}
	f.mu.Lock()
	f.listed[k] = true
	f.mu.Unlock()
	f.Log.Info().Stringer("kind", k).Int("objects", len(b.Objects)).Uint64("revision", b.Rev).Msg("feed: listed")
}

// changes takes changed objects of a kind.
func (f *Feed) changes(k Kind, b Batch) {
	now := f.Clock.Now()
	for _, o := range b.Objects {
		switch {
		case o.Config != nil && !o.Removed:
			f.configured(o.Config, b.Rev)
		case k == Servers:
			f.server(now, o, b.Rev)
		case k == Orders && o.Removed:
			f.Orders.remove(o.Name)
		case o.Order != nil:
			if f.Orders.put(now, f.Clock.Wall(), *o.Order) {
				f.Log.Info().Str("service", o.Order.Service).Str("version", o.Order.Target).Stringer("state", o.Order.State).
					Int64("ms", int64(o.Order.Duration)).Uint64("revision", b.Rev).Msg("feed: order")
			}
		}
	}
	if len(b.Objects) == 0 && k == Servers {
		f.mu.Lock()
		f.servers.Heard(now)
		f.mu.Unlock()
	}
}

func (f *Feed) configured(c *catalog.Config, rev uint64) {
	if f.Config.Offer(*c) {
		f.Log.Info().Uint64("version", c.Version).Uint64("revision", rev).Int("routes", len(c.Routes)).
			Int("workspaces", len(c.Workspaces)).Msg("feed: configuration in force")
	}
}

// server takes a change of a backend server. An entry that cannot be read names no server to use.
func (f *Feed) server(now clock.Time, o Object, rev uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if o.Removed || o.Server == nil {
		f.servers.Remove(now, o.Name)
		f.Log.Info().Str("server", o.Name).Uint64("revision", rev).Bool("removed", o.Removed).Msg("feed: backend server gone")
		return
	}
	f.servers.Put(now, *o.Server)
	f.Log.Info().Str("server", o.Name).Str("addr", o.Server.Addr).Str("version", o.Server.Version).Uint64("revision", rev).
		Bool("leaving", o.Server.Leaving).Msg("feed: backend server")
}

func (f *Feed) answered(k Kind) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failing[k] {
		f.failing[k] = false
		f.Log.Info().Stringer("kind", k).Msg("feed: the store answers again")
	}
}

func (f *Feed) failed(k Kind, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if k == Servers && !errors.Is(err, ErrHistory) {
		f.servers.Away()
	}
	if !f.failing[k] {
		f.failing[k] = true
		f.Log.Warn().Err(err).Stringer("kind", k).Int64("proof_ms", int64(f.Proof.Age(f.Clock.Boot()))).Msg("feed: the store does not answer")
	}
}

// pause waits, or until ctx ends.
func pause(ctx context.Context, s clock.Span) {
	t := time.NewTimer(s.Std())
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
