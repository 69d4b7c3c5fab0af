package entry

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"shallotrun/core/clock"
	"shallotrun/core/work"
)

// tickEvery is how often deadlines of waiting requests and changes of the server list are looked at.
const tickEvery = 25 * clock.Millisecond

// pollParallel is the number of load reports that are fetched at the same time.
const pollParallel = 16

// tick runs the queues.
func (d *Daemon) tick(ctx context.Context) {
	every(ctx, tickEvery, func() {
		for _, p := range d.all() {
			p.run()
		}
	})
}

// poll fetches load reports of the engines in pools that are in use.
func (d *Daemon) poll(ctx context.Context) {
	s := d.Poll
	if s == 0 {
		s = 500 * clock.Millisecond
	}
	every(ctx, s, func() {
		var g errgroup.Group
		g.SetLimit(pollParallel)
		for _, p := range d.all() {
			for _, v := range d.Servers.Servers(p.name) {
				if v.Kind != work.KindEngine || v.State != work.StateLive {
					continue
				}
				g.Go(func() error { d.fetch(p, v); return nil })
			}
		}
		_ = g.Wait()
	})
}

func (d *Daemon) fetch(p *pool, v work.VM) {
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
