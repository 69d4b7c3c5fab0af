package entry

import (
	"context"
	"slices"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"shallotrun/core/clock"
	"shallotrun/core/work"
)

// tickInterval is the interval at which deadlines of waiting requests and changes of the server list are checked.
const tickInterval = 25 * clock.Millisecond

// Bounds on load reports. A report takes about 400 bytes on the wire, so 20 reports per second use less than half of the
// 18 KB per second that control traffic may use on a VM, whatever the size of the fleet.
const (
	maxParallelFetches = 16
	defaultReportRate  = 20                // reports per second
	maxLoadAge         = 10 * clock.Second // placement ignores older reports
)

// runQueues calls tick on every pool at each tickInterval.
func (d *Daemon) runQueues(ctx context.Context) {
	runEvery(ctx, tickInterval, func() {
		for _, p := range d.allPools() {
			p.tick()
		}
	})
}

// pollLoads fetches the load reports of the engines that this VM may use, round robin.
func (d *Daemon) pollLoads(ctx context.Context) {
	interval, rate := d.PollInterval, d.ReportRate
	if interval == 0 {
		interval = 500 * clock.Millisecond
	}
	if rate == 0 {
		rate = defaultReportRate
	}
	next := 0
	runEvery(ctx, interval, func() {
		var g errgroup.Group
		g.SetLimit(maxParallelFetches)
		targets := d.usableEngines()
		for range min(len(targets), max(rate*int(interval)/int(clock.Second), 1)) {
			target := targets[next%len(targets)]
			next++
			g.Go(func() error { d.fetchLoad(target.pool, target.vm); return nil })
		}
		_ = g.Wait()
	})
}

// loadTarget is an engine whose load report is to be fetched.
type loadTarget struct {
	pool *pool
	vm   work.VM
}

// usableEngines returns the engines that this VM may use, sorted by name. Leaving ones are among them, as only their load reports show
// that an engine stays after all.
func (d *Daemon) usableEngines() (targets []loadTarget) {
	for _, p := range d.allPools() {
		for _, v := range d.Servers.Servers(p.name) {
			if v.Kind == work.KindEngine && (v.State == work.StateLive || v.State == work.StateLeaving) && p.usable(v.Name) {
				targets = append(targets, loadTarget{p, v})
			}
		}
	}
	slices.SortFunc(targets, func(a, b loadTarget) int { return strings.Compare(a.vm.Name, b.vm.Name) })
	return targets
}

// fetchLoad fetches the load report of an engine. The engine gets work afterwards even if the report failed.
func (d *Daemon) fetchLoad(p *pool, v work.VM) {
	defer p.endFirstLoad(v)
	l, err := d.engines.Load(v.Addr)
	if err != nil {
		d.Log.Debug().Err(err).Str("server", v.Name).Msg("place: fetching the load report failed")
		return
	}
	p.recordLoad(v.Name, l)
	d.Servers.RecordLoad(v.Name, l)
}

// fetchFirstLoads fetches the load reports of the engines of a new pool, so that the request that created the pool does not
// have to wait for the next poll.
func (d *Daemon) fetchFirstLoads(p *pool) {
	servers := d.Servers.Servers(p.name)
	for _, v := range servers[:min(len(servers), maxFirstLoads)] {
		if v.Kind == work.KindEngine && v.State == work.StateLive {
			go d.fetchLoad(p, v)
		}
	}
}

// maxFirstLoads is the maximum number of load reports that are fetched at once for a new pool.
const maxFirstLoads = 32

// allPools returns the pools in no particular order.
func (d *Daemon) allPools() []*pool {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]*pool, 0, len(d.pools))
	for _, p := range d.pools {
		out = append(out, p)
	}
	return out
}

// runEvery calls f at an interval until the context ends.
func runEvery(ctx context.Context, s clock.Span, f func()) {
	t := time.NewTicker(s.Std())
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			f()
		}
	}
}
