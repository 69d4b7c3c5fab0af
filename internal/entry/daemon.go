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

// Daemon is the request path of one entry VM. Set the exported fields before Run.
type Daemon struct {
	Name      string   // of this VM
	Domain    string   // failure domain of this VM
	Listen    string   // IP:port for callers
	SourceIP  string   // source IP address of connections to backend servers, "" for any
	TokenKeys [][]byte // keys of session and resume tokens; the first signs, all verify
	Clock     clock.Clock
	Log       zerolog.Logger

	Documents     Documents
	Servers       Servers
	Bills         Bills
	Claims        Claims
	Evidence      Evidence       // may be nil
	CascadePolicy cascade.Policy // nil means cascade.Learned{}
	RatingAddr    string         // IP:port of the rating service, "" for none

	Registry *prometheus.Registry // may be nil
	Tracer   trace.Tracer         // may be nil

	PollInterval clock.Span // minimum interval between load reports of one engine, 0 means 500 ms
	ReportRate   int        // maximum number of load reports fetched per second, 0 means 20
	IdleTimeout  clock.Span // idle timeout of a connection to an engine, 0 means 400 ms
	WriteTimeout clock.Span // timeout of a write to a caller that reads nothing, 0 means 10 s
	MaxQueue     int        // maximum queue length of one rank of a pool, 0 means 1000
	MaxRequests  int        // maximum number of concurrent requests, including queued ones, 0 means 4096
	Linger       clock.Span // time for which a stopping daemon still answers new connections with a refusal, 0 means 200 ms
	// ServerSlots returns the maximum number of requests that this VM may have in flight at a backend server. With nil the
	// configured number is used.
	ServerSlots func(pool, server string, configured int) int

	signer       token.Signer
	engines      engine.Client
	plains       plain.Client
	compiled     atomic.Pointer[compiledDocument]
	stopping     atomic.Bool
	openRequests atomic.Int64
	addr         atomic.Pointer[net.TCPAddr]
	mu           sync.Mutex
	pools        map[string]*pool
	exchanges    map[string]*exchange // by request identifier
	metrics      *metrics
	ratings      *ratings
	chooser      *cascadeChooser
}

// Run serves until the context ends, then shuts down gracefully: Ready returns false, new requests are refused, and Run
// returns after the last request ended. There is no timeout for that.
func (d *Daemon) Run(ctx context.Context) error {
	d.init()
	ln, err := net.Listen("tcp", d.Listen)
	if err != nil {
		return oops.Wrapf(err, "caller: listen on %s", d.Listen)
	}
	addr, _ := ln.Addr().(*net.TCPAddr)
	d.addr.Store(addr)
	srv := &caller.Server{Listener: &conn.Listener{Listener: ln, Name: "callers", Log: d.Log}, Handler: d.serve, WriteTimeout: d.WriteTimeout, Linger: d.Linger, Log: d.Log}
	// The background loops outlive ctx, because requests that are still running need them.
	background, stopBackground := context.WithCancel(context.WithoutCancel(ctx))
	var g errgroup.Group
	g.Go(func() error { d.runQueues(background); return nil })
	g.Go(func() error { d.pollLoads(background); return nil })
	stop := context.AfterFunc(ctx, func() {
		d.stopping.Store(true)
		d.Log.Info().Msg("caller: graceful shutdown, finishing the running requests")
	})
	err = srv.Run(ctx)
	stop()
	d.stopping.Store(true)
	stopBackground()
	_ = g.Wait()
	d.engines.Pool.Close()
	d.plains.Pool.Close()
	d.ratings.client.Pool.Close()
	return err
}

// Ready reports whether this VM accepts requests.
func (d *Daemon) Ready() bool {
	return d.addr.Load() != nil && !d.stopping.Load() && d.Documents.Current() != nil
}

// Addr returns the address for callers, or nil before Run listens.
func (d *Daemon) Addr() net.Addr {
	if a := d.addr.Load(); a != nil {
		return a
	}
	return nil
}

func (d *Daemon) init() {
	d.signer.Keys = d.TokenKeys
	d.engines = engine.Client{Pool: &conn.Pool{Clock: d.Clock, SourceIP: d.SourceIP}, IdleTimeout: d.IdleTimeout}
	d.plains = plain.Client{Pool: &conn.Pool{Clock: d.Clock, SourceIP: d.SourceIP, ReadBuffer: caller.HeaderLimit}}
	d.pools = make(map[string]*pool)
	d.exchanges = make(map[string]*exchange)
	d.ratings = d.newRatings()
	d.chooser = newCascadeChooser(d.CascadePolicy, d.Clock)
	if d.MaxRequests == 0 {
		d.MaxRequests = 4096
	}
	if d.Tracer == nil {
		d.Tracer = noop.NewTracerProvider().Tracer("")
	}
	d.metrics = newMetrics()
	if d.Registry != nil {
		d.Registry.MustRegister(d.metrics.collectors(d)...)
	}
}

// reportResult passes the result of an attempt to the pool, the metrics and the evidence.
func (d *Daemon) reportResult(p *pool, r work.Result) {
	p.reportResult(r)
	d.metrics.recordAttempt(r)
	if d.Evidence != nil {
		d.Evidence.Report(r)
	}
}

func (d *Daemon) random() float64 { return rand.Float64() }
