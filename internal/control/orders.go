package control

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"shallotrun/core/clock"
	"shallotrun/core/document"
	"shallotrun/core/work"
	"shallotrun/io/order"
)

const (
	// resendDelay is the time after which an order is sent again if it was not acknowledged and its effect is not reported.
	resendDelay = 5 * clock.Second
	// effectTimeout is the time within which the effect of an acknowledged order must appear in the load report, which lags.
	// After that the order is sent under a new id, because an engine executes each id only once.
	effectTimeout = 15 * clock.Second
	// parallelReports is the maximum number of load reports that are read concurrently.
	parallelReports = 16
)

// pendingOrders is the state that the holder keeps between two comparisons. It is empty after a takeover.
type pendingOrders struct {
	mu    sync.Mutex
	fence uint64
	n     int                   // number of ids assigned under this fencing token
	sent  map[task]sentOrder    // orders whose effect is not reported yet
	since map[string]clock.Time // when a loaded version became unwanted, by server, address and version
	roles map[string]string     // roles acknowledged, by server and address
}

// sentOrder is an order whose effect is not reported yet.
type sentOrder struct {
	id   string     // "" after a failure: the next attempt gets a new id
	at   clock.Time // of the last attempt
	done bool       // the engine acknowledged the order as done
}

// sendLoop compares the engines with the document at a fixed interval until ctx ends.
func (c *Controller) sendLoop(ctx context.Context) {
	every := c.Interval
	if every == 0 {
		every = 2 * clock.Second
	}
	t := time.NewTicker(every.Std())
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			c.compare(ctx)
		}
	}
}

// compare compares the load reports of the failure domain's engines with the document and sends the orders that are due. It does
// nothing unless this VM holds the lease.
func (c *Controller) compare(ctx context.Context) {
	fence, ok := c.fencingToken(true)
	snap := c.Document()
	if !ok || snap == nil {
		return
	}
	c.pending.reset(fence)
	targets := c.targets(snap.Document)
	grace := c.Grace
	if grace == 0 {
		grace = 5 * clock.Minute
	}
	list := plan(snap.Document, targets, c.pending.since, c.Clock.Now(), grace)
	list = append(list, c.pending.roleTasks(targets)...)
	c.pending.prune(list)
	parallel := c.Parallel
	if parallel == 0 {
		parallel = 4
	}
	each(list, parallel, func(w task) {
		if ctx.Err() == nil {
			c.send(fence, w)
		}
	})
}

// targets returns the engines of this failure domain whose load report could be read.
func (c *Controller) targets(d *document.Document) []engineState {
	pools := map[string]*document.Pool{}
	for i := range d.Pools {
		pools[d.Pools[i].Name] = &d.Pools[i]
	}
	var list []work.VM
	for _, vm := range c.Servers() {
		if vm.Kind == work.KindEngine && vm.Domain == c.Domain && pools[vm.Pool] != nil {
			list = append(list, vm)
		}
	}
	var mu sync.Mutex
	var out []engineState
	each(list, parallelReports, func(vm work.VM) {
		r, err := c.Engines.Report(vm.Addr)
		if err != nil {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		out = append(out, engineState{vm: vm, pool: pools[vm.Pool], report: r})
	})
	return out
}

// send sends one order if it is due. It checks the lease directly before the order, because the orders before it can take so long
// that the lease ends. The timeout of an order is shorter than the wait after a takeover.
func (c *Controller) send(fence uint64, t task) {
	id, due := c.pending.next(t, c.Clock.Now())
	if !due {
		return
	}
	now, ok := c.fencingToken(t.fenced)
	if !ok || now != fence {
		return
	}
	err := c.Engines.Send(t.addr, t.order(fence, id), order.Timeout)
	var failed *order.NotExecuted
	switch {
	case err == nil:
		c.pending.markDone(t)
		c.Log.Info().Str("server", t.server).Str("action", t.action).Str("model", t.model).Str("version", t.version).Uint64("fence", fence).Msg("control: order done")
	case errors.As(err, &failed):
		c.pending.renewID(t, c.Clock.Now())
		c.Log.Warn().Str("server", t.server).Str("action", t.action).Err(err).Msg("control: the engine did not execute the order")
	default:
		// The outcome is not known, or another holder has taken over. The order is sent again under the same id if this VM
		// still holds the lease and the load report does not show the effect.
		c.Log.Warn().Str("server", t.server).Str("action", t.action).Err(err).Msg("control: outcome of the order is unknown")
	}
}

// reset clears the state if it belongs to another fencing token.
func (r *pendingOrders) reset(fence uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.fence != fence {
		r.fence, r.n = fence, 0
		r.sent, r.since, r.roles = map[task]sentOrder{}, map[string]clock.Time{}, map[string]string{}
	}
}

// prune drops the orders that are not in list, because their effect is reported or they are no longer wanted.
func (r *pendingOrders) prune(list []task) {
	r.mu.Lock()
	defer r.mu.Unlock()
	listed := map[task]bool{}
	for _, w := range list {
		listed[w] = true
	}
	for w := range r.sent {
		if !listed[w] {
			delete(r.sent, w)
		}
	}
}

// next reports whether an order for the task is due, and returns its id. The id is new if the last order was acknowledged or
// failed, and otherwise the same as before.
func (r *pendingOrders) next(t task, now clock.Time) (string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.sent[t]
	wait := resendDelay
	if s.done {
		wait = effectTimeout
	}
	if ok && now.Sub(s.at) < wait {
		return "", false
	}
	if !ok || s.done || s.id == "" {
		r.n++
		s = sentOrder{id: fmt.Sprintf("%d-%d", r.fence, r.n)}
	}
	s.at = now
	r.sent[t] = s
	return s.id, true
}

// markDone records that the engine acknowledged the order as done.
func (r *pendingOrders) markDone(t task) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t.action == order.ActionRole {
		r.roles[t.server+" "+t.addr] = t.role
		delete(r.sent, t)
		return
	}
	s := r.sent[t]
	s.done = true
	r.sent[t] = s
}

// renewID makes the next attempt use a new id.
func (r *pendingOrders) renewID(t task, now clock.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent[t] = sentOrder{at: now}
}

// roleTasks returns the role orders that engines have not acknowledged to this holder. Load reports do not show roles, so each
// holder sends them again; the order is idempotent.
func (r *pendingOrders) roleTasks(targets []engineState) []task {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []task
	for _, t := range targets {
		if t.pool.Role == "" || t.vm.State != work.StateLive || r.roles[t.vm.Name+" "+t.vm.Addr] == t.pool.Role {
			continue
		}
		out = append(out, task{server: t.vm.Name, addr: t.vm.Addr, fenced: t.pool.Fenced, action: order.ActionRole, role: t.pool.Role})
	}
	return out
}

// each calls f for every element, with at most n calls in parallel, and waits until all have returned.
func each[T any](list []T, n int, f func(T)) {
	var wg sync.WaitGroup
	slots := make(chan struct{}, n)
	for _, x := range list {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			f(x)
		})
	}
	wg.Wait()
}
