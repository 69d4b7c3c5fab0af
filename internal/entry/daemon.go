package entry

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"github.com/samber/oops"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
	"golang.org/x/sync/errgroup"

	"shallotrun/core/cascade"
	"shallotrun/core/clock"
	"shallotrun/core/token"
	"shallotrun/core/work"
	"shallotrun/io/caller"
	"shallotrun/io/conn"
	"shallotrun/io/engine"
	"shallotrun/io/plain"
)

// Daemon serves callers. The exported fields are set before Run.
type Daemon struct {
	Name   string   // of this VM
	Domain string   // failure domain of this VM
	Listen string   // IP:port for callers
	Source string   // IP address that connections to backend servers leave from, "" for any
	Keys   [][]byte // for tokens; the first signs, all verify
	Clock  clock.Clock
	Log    zerolog.Logger

	Documents Documents
	Servers   Servers
	Bills     Bills
	Claims    Claims
	Evidence  Evidence       // may be nil
	Cascades  cascade.Policy // nil means cascade.Learned{}
	Rating    string         // IP:port of the rating service, "" for none

	Registry *prometheus.Registry // may be nil
	Tracer   trace.Tracer         // may be nil

	Poll     clock.Span // shortest interval of load reports of an engine, 0 means 500 ms
	Reports  int        // load reports that are fetched in a second, 0 means 20
	Silent   clock.Span // longest time without progress from an engine, 0 means 400 ms
	Progress clock.Span // time in which a caller must read something, 0 means 10 s
	Wait     int        // requests that may wait in one rank of a pool, 0 means 1000
	Streams  int        // concurrent requests, waiting ones included, 0 means 4096
	Linger   clock.Span // time in which a stopping daemon still answers new connections with a refusal, 0 means 200 ms
	// Slots returns how many requests this VM may have at a backend server, nil for the configured number.
	Slots func(pool, server string, configured int) int

	signer   token.Signer
	engines  engine.Client
	plains   plain.Client
	view     atomic.Pointer[view]
	stopping atomic.Bool
	open     atomic.Int64
	addr     atomic.Pointer[net.TCPAddr]
	mu       sync.Mutex
	pools    map[string]*pool
	live     map[string]*exchange // by request
	metrics  *metrics
	ratings  *ratings
	cascades *cascades
}

// Run serves until the context ends, then shuts down gracefully: it is not ready any more, accepts nothing
// new, and returns after the last request ended, however long that takes.
func (d *Daemon) Run(ctx context.Context) error {
	d.init()
	ln, err := net.Listen("tcp", d.Listen)
	if err != nil {
		return oops.Wrapf(err, "caller: listen on %s", d.Listen)
	}
	addr, _ := ln.Addr().(*net.TCPAddr)
	d.addr.Store(addr)
	srv := &caller.Server{Listener: ln, Handler: d.serve, Progress: d.Progress, Linger: d.Linger, Log: d.Log}
	// The helpers outlive ctx: requests that are still running need them.
	help, end := context.WithCancel(context.WithoutCancel(ctx))
	var g errgroup.Group
	g.Go(func() error { d.tick(help); return nil })
	g.Go(func() error { d.poll(help); return nil })
	stop := context.AfterFunc(ctx, func() {
		d.stopping.Store(true)
		d.Log.Info().Msg("caller: graceful shutdown, finishing the running requests")
	})
	err = srv.Run(ctx)
	stop()
	d.stopping.Store(true)
	end()
	_ = g.Wait()
	d.engines.Pool.Close()
	d.plains.Pool.Close()
	d.ratings.client.Pool.Close()
	return err
}

// Ready reports whether this VM takes requests.
func (d *Daemon) Ready() bool {
	return d.addr.Load() != nil && !d.stopping.Load() && d.Documents.Current() != nil
}

// Addr returns the address for callers, nil before Run listens.
func (d *Daemon) Addr() net.Addr {
	if a := d.addr.Load(); a != nil {
		return a
	}
	return nil
}

func (d *Daemon) init() {
	d.signer.Keys = d.Keys
	d.engines = engine.Client{Pool: &conn.Pool{Clock: d.Clock, Source: d.Source}, Silent: d.Silent}
	d.plains = plain.Client{Pool: &conn.Pool{Clock: d.Clock, Source: d.Source, Buffer: caller.HeaderLimit}}
	d.pools = make(map[string]*pool)
	d.live = make(map[string]*exchange)
	d.ratings = d.newRatings()
	d.cascades = newCascades(d.Cascades, d.Clock)
	if d.Streams == 0 {
		d.Streams = 4096
	}
	if d.Tracer == nil {
		d.Tracer = noop.NewTracerProvider().Tracer("")
	}
	d.metrics = newMetrics()
	if d.Registry != nil {
		d.Registry.MustRegister(d.metrics.all(d)...)
	}
}

// report passes the result of an attempt on.
func (d *Daemon) report(p *pool, r work.Result) {
	p.result(r)
	d.metrics.attempt(r)
	if d.Evidence != nil {
		d.Evidence.Report(r)
	}
}

func (d *Daemon) random() float64 { return rand.Float64() }
