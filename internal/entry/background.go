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

// tickEvery is how often deadlines of waiting requests and changes of the server list are looked at.
const tickEvery = 25 * clock.Millisecond

// Bounds on load reports. A report costs about 400 bytes on the wire, so that 20 a second stay within half of the
// 18 KB a second that control may use on a VM, whatever the size of the fleet.
const (
	pollParallel = 16
	pollRate     = 20 // reports a second
	loadAge      = 10 * clock.Second
)

// tick runs the queues.
func (d *Daemon) tick(ctx context.Context) {
	every(ctx, tickEvery, func() {
		for _, p := range d.all() {
			p.run()
		}
	})
}

// poll fetches load reports of the engines that this VM may use, in turn.
func (d *Daemon) poll(ctx context.Context) {
	s, rate := d.Poll, d.Reports
	if s == 0 {
		s = 500 * clock.Millisecond
	}
	if rate == 0 {
		rate = pollRate
	}
	turn := 0
	every(ctx, s, func() {
		var g errgroup.Group
		g.SetLimit(pollParallel)
		jobs := d.engineList()
		for range min(len(jobs), max(rate*int(s)/int(clock.Second), 1)) {
			j := jobs[turn%len(jobs)]
			turn++
			g.Go(func() error { d.fetch(j.pool, j.vm); return nil })
		}
		_ = g.Wait()
	})
}

// job is a load report to fetch.
type job struct {
	pool *pool
	vm   work.VM
}

// engineList returns the engines that this VM may use, in a fixed order.
func (d *Daemon) engineList() (out []job) {
	for _, p := range d.all() {
		for _, v := range d.Servers.Servers(p.name) {
			if v.Kind == work.KindEngine && v.State == work.StateLive && p.usable(v.Name) {
				out = append(out, job{p, v})
			}
		}
	}
	slices.SortFunc(out, func(a, b job) int { return strings.Compare(a.vm.Name, b.vm.Name) })
	return out
}

func (d *Daemon) fetch(p *pool, v work.VM) {
	defer p.meet(v)
	l, err := d.engines.Load(v.Addr)
	if err != nil {
		d.Log.Debug().Err(err).Str("server", v.Name).Msg("place: no load report")
		return
	}
	p.load(v.Name, l)
	if l.Leaving {
		d.Servers.MarkLeaving(v.Name)
	}
}

// greet asks the engines of a new pool for their load, so that the request that opened the pool need not wait for the
// next poll.
func (d *Daemon) greet(p *pool) {
	servers := d.Servers.Servers(p.name)
	for _, v := range servers[:min(len(servers), maxGreet)] {
		if v.Kind == work.KindEngine && v.State == work.StateLive {
			go d.fetch(p, v)
		}
	}
}

// maxGreet bounds the load reports that are asked for at once.
const maxGreet = 32

func (d *Daemon) all() []*pool {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]*pool, 0, len(d.pools))
	for _, p := range d.pools {
		out = append(out, p)
	}
	return out
}

func every(ctx context.Context, s clock.Span, f func()) {
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
