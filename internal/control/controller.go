package control

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"shallotrun/core/clock"
	"shallotrun/core/document"
	"shallotrun/core/lease"
	"shallotrun/core/work"
	"shallotrun/io/order"
	"shallotrun/io/platform"
)

// Kind is the kind of the lease objects in the platform's store. Their names are the names of the failure domains.
const Kind = "lease"

const (
	// tickInterval is the interval between two ticks of the lease's state machine.
	tickInterval = 250 * clock.Millisecond
	// releaseTimeout bounds the time that a planned stop spends on releasing the lease. A lease that is not released expires.
	releaseTimeout = 2 * clock.Second
)

// Objects is the part of the platform's store that the lease needs.
type Objects interface {
	Get(ctx context.Context, kind, name string) (platform.Object, error)
	Create(ctx context.Context, kind, name string, value []byte) (uint64, error)
	Update(ctx context.Context, kind, name string, version uint64, value []byte) (uint64, error)
}

// Engines sends orders to engines and reads their load reports.
type Engines interface {
	Send(addr string, o order.Order, limit clock.Span) error
	Report(addr string) (work.Load, error)
}

// Controller holds the lease of one failure domain, if it can get it, and sends orders to the engines of that domain while it
// does. Set the exported fields before Run.
type Controller struct {
	Self        string
	Domain      string
	Incarnation uint64
	Rules       lease.Rules // the zero value means lease.DefaultRules
	Clock       clock.Clock
	Log         zerolog.Logger
	Objects     Objects
	Engines     Engines
	Document    func() *document.Snapshot // returns the snapshot in force, nil before the first one
	Servers     func() []work.VM          // returns the backend servers of all failure domains
	Interval    clock.Span                // interval between two comparisons; 0 means 2 s
	Grace       clock.Span                // time from withdrawal to unloading; 0 means 5 min
	Parallel    int                       // maximum number of orders in flight; 0 means 4, because the weight store is rate-limited

	mu      sync.Mutex
	started bool
	machine lease.Machine

	pending pendingOrders
}

// SetCandidate sets whether this VM takes the lease when it is free. The daemon calls it: the VMs that watch the platform's store
// are the candidates.
func (c *Controller) SetCandidate(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.init()
	c.machine.SetCandidate(on)
}

// Lease returns the lease as this VM last read it, with the holder's fencing token. until is 0 unless this VM holds the lease.
func (c *Controller) Lease() (holder string, fence uint64, until clock.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := c.machine.Holder()
	return v.Holder, v.Fence, c.machine.Until()
}

// Run keeps the lease and sends orders until ctx ends, and then releases the lease.
func (c *Controller) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { c.leaseLoop(ctx) })
	wg.Go(func() { c.sendLoop(ctx) })
	wg.Wait()
	c.release()
}

// init sets up the state machine of the lease at the first call. The lock must be held.
func (c *Controller) init() {
	if c.started {
		return
	}
	c.started = true
	if c.Rules == (lease.Rules{}) {
		c.Rules = lease.DefaultRules
	}
	c.machine = lease.Machine{Self: c.Self, Incarnation: c.Incarnation, Rules: c.Rules}
}

// leaseLoop ticks the state machine of the lease until ctx ends.
func (c *Controller) leaseLoop(ctx context.Context) {
	t := time.NewTicker(tickInterval.Std())
	defer t.Stop()
	for {
		c.step(ctx, lease.Tick{})
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// release releases the lease. It uses a context of its own, because the one of Run has ended.
func (c *Controller) release() {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout.Std())
	defer cancel()
	c.step(ctx, lease.Release{})
}

// step passes an event to the state machine and executes the commands that follow, until there are none.
func (c *Controller) step(ctx context.Context, e lease.Event) {
	for e != nil {
		commands := c.handle(e)
		e = nil
		// The machine has at most one command pending.
		for _, x := range commands {
			e = c.execute(ctx, x)
		}
	}
}

// handle passes an event to the state machine, and logs when this VM gets or loses the lease.
func (c *Controller) handle(e lease.Event) []lease.Command {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.init()
	_, before := c.machine.FencingToken(c.times(), true)
	out := c.machine.Handle(c.times(), e)
	if fence, now := c.machine.FencingToken(c.times(), true); now != before {
		c.Log.Info().Bool("holds", now).Uint64("fence", fence).Str("domain", c.Domain).Msg("control: lease of the failure domain")
	}
	return out
}

// execute executes a command and returns the event that results.
func (c *Controller) execute(ctx context.Context, x lease.Command) lease.Event {
	switch x := x.(type) {
	case lease.Get:
		return c.get(ctx)
	case lease.Put:
		return c.put(ctx, x)
	}
	return nil
}

func (c *Controller) get(ctx context.Context) lease.Event {
	o, err := c.Objects.Get(ctx, Kind, c.Domain)
	if errors.Is(err, platform.ErrNotFound) {
		return lease.GetResult{}
	}
	if err != nil {
		return lease.NoResponse{}
	}
	seen := lease.GetResult{Found: true, Version: o.Version}
	if err := json.Unmarshal(o.Value, &seen.Value); err != nil {
		// An object that is not a lease is treated as held by an unknown holder, and taken over when it stops changing.
		seen.Value = lease.Value{Holder: "unreadable"}
	}
	return seen
}

func (c *Controller) put(ctx context.Context, p lease.Put) lease.Event {
	raw, err := json.Marshal(p.Value)
	if err != nil {
		return lease.PutConflict{}
	}
	var version uint64
	if p.Version == 0 {
		version, err = c.Objects.Create(ctx, Kind, c.Domain, raw)
	} else {
		version, err = c.Objects.Update(ctx, Kind, c.Domain, p.Version, raw)
	}
	var conflict *platform.Conflict
	switch {
	case err == nil:
		return lease.Stored{Version: version}
	case errors.As(err, &conflict):
		return lease.PutConflict{}
	default:
		return lease.NoResponse{}
	}
}

// fencingToken returns the fencing token, and whether orders may be sent now. For engines that are not fenced, this includes the
// wait after a takeover.
func (c *Controller) fencingToken(fenced bool) (fence uint64, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.FencingToken(c.times(), fenced)
}

func (c *Controller) times() lease.Times {
	return lease.Times{Now: c.Clock.Now(), Wall: c.Clock.Wall()}
}
