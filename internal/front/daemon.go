package front

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net"
	"os"
	"runtime"
	"runtime/debug"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rs/zerolog"
	"github.com/samber/oops"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"shallotrun/core/backend"
	"shallotrun/core/catalog"
	"shallotrun/core/clock"
	"shallotrun/core/work"
	"shallotrun/internal/feed"
	"shallotrun/internal/follow"
	"shallotrun/internal/gateway"
	"shallotrun/internal/logs"
	"shallotrun/internal/settings"
	"shallotrun/io/caller"
	"shallotrun/io/conn"
	"shallotrun/io/otlp"
)

// Dialect handles the requests of callers and of the load balancer in the platform's protocol.
type Dialect interface {
	Handle(*fasthttp.RequestCtx)
	HandleReady(*fasthttp.RequestCtx)               // the balancer's readiness probe
	Unreadable(*fasthttp.RequestCtx, *work.Refusal) // refuses a request that could not be read
	IDHeader() string                               // header with the identifier of a request
}

// Daemon is one gateway daemon. Set the exported fields before Run.
type Daemon struct {
	SettingsFile string // path of the settings file
	Settings     *settings.Front
	Store        feed.Store
	Backend      gateway.Backend
	Dialect      func(*gateway.Gateway, func() bool) Dialect // the function reports whether the balancer should send new connections
	Log          zerolog.Logger

	clock   clock.Clock
	feed    *feed.Feed
	gateway *gateway.Gateway
}

const (
	// softMemoryFraction is the part of the VM's memory that the runtime may use before it collects garbage more often.
	softMemoryFraction = 0.7
	// requestMemoryFraction is the part of the VM's memory that the bodies of open requests may use.
	requestMemoryFraction = 0.25
	// gcPercent is the growth of the heap in per cent between garbage collections. The heap is small, and memory for its growth
	// costs less than processor time for more collections, so they are rarer than by the runtime's default of 100.
	gcPercent = 300
	// balancerLag is how long new connections still arrive after the readiness probe begins to fail.
	balancerLag = 3 * clock.Second
	// stopReserve is the part of the grace that is kept for the end of the process after the last request.
	stopReserve = 600 * clock.Millisecond
	// minGrace is the least time that open requests get, even if the grace is short. It also bounds the last export of traces.
	minGrace = 100 * clock.Millisecond
	// bodyLimit is the largest request body, in bytes.
	bodyLimit = 4 << 20
	// headerLimit is the largest request line with headers, in bytes.
	headerLimit = 16 << 10
	// retryFraction is the part of the fleet's bound on extra attempts that the VMs use as their retry budgets. Each VM keeps to its
	// budget in every window; the rest is a reserve for windows in which the requests of a VM fall while its retries rise.
	retryFraction = 0.8
)

// Run serves until ctx ends, then stops gracefully. It fails if the export of traces cannot be set up or a port cannot be
// opened.
func (d *Daemon) Run(ctx context.Context) error {
	s := d.Settings
	runtime.GOMAXPROCS(s.Cores)
	debug.SetGCPercent(gcPercent)
	if s.Memory > 0 {
		debug.SetMemoryLimit(int64(softMemoryFraction * float64(s.Memory) * (1 << 20)))
	}
	registry := prometheus.NewRegistry()
	d.feed = &feed.Feed{Store: d.Store, Clock: d.clock, Log: d.Log, EvacuateWithin: s.Evacuate}
	d.feed.Freshness.MaxAge = s.Revoke
	d.gateway = &gateway.Gateway{
		Domain: s.Domain, State: &state{d.feed}, Backend: d.Backend, Clock: d.clock, Log: d.Log, Registry: registry,
		RetryRatio: retryFraction * s.Retries, Grace: s.Grace - stopReserve, Worth: s.Worth,
		Memory: int64(s.Memory) << 20, Learn: s.Learn,
	}
	d.feed.Orders.Share = s.Exposed
	d.feed.Orders.Usable = func(all []backend.Server) []backend.Server {
		usable, _, _ := d.feed.Evacuated.Split(d.clock.Now(), all)
		return usable
	}
	d.feed.Loads.Usage, d.feed.Loads.LinkMbps, d.feed.Loads.Learn = d.gateway.Usage, s.Link, s.Learn
	d.feed.Quarantine.Log, d.feed.Evacuated.Log = d.Log, d.Log
	d.feed.Quarantine.Init(rand.Uint64())
	d.feed.Limits.VM, d.feed.Limits.Domain, d.feed.Limits.Log = s.Name, s.Domain, d.Log
	d.feed.Limits.Servers = func(service string) []backend.Server { return d.feed.Servers(d.clock.Now(), service) }
	d.feed.Limits.Members = d.feed.Members
	d.feed.Limits.ColdRates = d.feed.ColdRates
	d.feed.Limits.Init(rand.Uint64())
	stop, err := d.trace(ctx)
	if err != nil {
		return err
	}
	d.gateway.Init()
	d.Log.Info().Str("vm", s.Name).Str("domain", s.Domain).Str("callers", s.Callers).Str("store", s.Store).
		Int64("revoke_ms", int64(s.Revoke)).Int64("grace_ms", int64(s.Grace)).Msg("daemon: start")
	err = d.serve(ctx, registry)
	stop()
	d.Log.Info().Err(err).Int("open", d.gateway.Open()).Msg("daemon: stop")
	return err
}

// trace starts the export of traces, if the settings name a receiver. The returned function sends the buffered spans.
func (d *Daemon) trace(ctx context.Context) (func(), error) {
	t := d.Settings.Trace
	if t.URL == "" {
		return func() {}, nil
	}
	e := otlp.Export{URL: t.URL, Name: d.Settings.Name, Domain: d.Settings.Domain, Sample: t.Sample}
	p, err := e.Provider(ctx)
	if err != nil {
		return nil, err
	}
	d.gateway.Tracer = p.Tracer("shallotrun")
	return func() {
		end, cancel := context.WithTimeout(context.WithoutCancel(ctx), minGrace.Std())
		defer cancel()
		if err := p.Shutdown(end); err != nil {
			d.Log.Warn().Err(err).Msg("daemon: the last spans were not exported")
		}
	}, nil
}

// serve runs all parts until ctx ends. The parts that open requests need keep running until those requests have ended.
func (d *Daemon) serve(ctx context.Context, registry *prometheus.Registry) error {
	dialect := d.Dialect(d.gateway, d.ready)
	background, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	ports := []port{
		{"readiness", d.Settings.Ready, dialect.HandleReady, portIdleTimeout},
		{"metrics", d.Settings.Metrics, fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(registry, promhttp.HandlerOpts{})), portIdleTimeout},
	}
	for _, p := range ports {
		if err := p.serve(background, d.Log); err != nil {
			return err
		}
	}
	ln, err := net.Listen("tcp", d.Settings.Callers)
	if err != nil {
		return oops.Wrapf(err, "listen on %s", d.Settings.Callers)
	}
	accepting := &conn.Listener{Listener: ln, Name: "callers", Log: d.Log}
	srv := &caller.Server{
		Listener: accepting, Handler: dialect.Handle, OnUnreadable: dialect.Unreadable, MaxBody: bodyLimit, MaxHeader: headerLimit, IDHeader: dialect.IDHeader(),
		BodyMemory: int64(requestMemoryFraction * float64(int64(d.Settings.Memory)<<20)),
		Linger:     min(balancerLag, d.Settings.Grace/2), Log: d.Log,
	}
	srv.ShutdownTimeout = max(d.Settings.Grace-srv.Linger-stopReserve, minGrace)
	d.feed.ConfigChanged = func(c *catalog.Config) { d.applyLimits(srv, c.Limits) }
	registerConnections(registry, srv, accepting)
	stopFollowing := d.follow(background)
	go d.feed.Run(background)
	go d.gateway.Run(background)
	go d.watchSettings(background)
	stopping := context.AfterFunc(ctx, func() {
		d.gateway.Stop()
		d.Log.Info().Int("open", d.gateway.Open()).Msg("daemon: stopping")
	})
	defer stopping()
	defer stopFollowing()
	return srv.Run(ctx)
}

// applyLimits puts the limits of a configuration in force, also for open connections.
func (d *Daemon) applyLimits(srv *caller.Server, l catalog.Limits) {
	if !srv.SetLimits(l) {
		return
	}
	d.Log.Info().Int("head_bytes", l.Header).Int("body_bytes", l.Body).Int64("head_ms", int64(l.Arrive)).Int64("idle_ms", int64(l.Idle)).Int("open", srv.Open()).
		Msg("daemon: limits of callers changed; 0 stands for the default")
}

// registerConnections exports the number of callers' connections, of those that were closed as they were idle, and of accepts that failed.
func registerConnections(r prometheus.Registerer, srv *caller.Server, ln *conn.Listener) {
	r.MustRegister(
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "shallot_front_accept_failures_total", Help: "Failed attempts to accept a connection of a caller, which are repeated.",
		}, func() float64 { return float64(ln.Failures()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "shallot_front_connections", Help: "Open connections of callers."}, func() float64 { return float64(srv.Open()) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "shallot_front_idle_ended_total", Help: "Connections of callers that were closed as they were idle for longer than allowed.",
		}, func() float64 { return float64(srv.IdleEnded()) }),
	)
}

// Timeouts of the ports other than the one for callers. A client that goes without closing must not hold a descriptor for good.
const (
	portReadTimeout = 5 * time.Second
	portIdleTimeout = time.Minute // longer than the usual interval of probes, which reuse connections
)

// port is a listener other than the one for callers; its requests are short.
type port struct {
	name   string
	addr   string // IP:port, "" for none
	handle fasthttp.RequestHandler
	idle   time.Duration // how long a connection may stay without another request
}

// serve starts to answer on the port, until ctx ends. It goes on when the process has no descriptor left.
func (p port) serve(ctx context.Context, log zerolog.Logger) error {
	if p.addr == "" {
		return nil
	}
	ln, err := net.Listen("tcp", p.addr)
	if err != nil {
		return oops.Wrapf(err, "listen on %s", p.addr)
	}
	srv := &fasthttp.Server{
		Handler: p.handle, ReadTimeout: portReadTimeout, IdleTimeout: p.idle, NoDefaultServerHeader: true, Logger: logs.Silent{},
	}
	accepting := &conn.Listener{Listener: ln, Name: p.name, Log: log, Spare: true}
	go func() { _ = srv.Serve(accepting) }() // it ends with the listener
	context.AfterFunc(ctx, func() { _ = ln.Close() })
	return nil
}

// follow starts to follow another VM, if the settings name a port for peers. The returned function ends that and waits
// until it has ended.
func (d *Daemon) follow(ctx context.Context) func() {
	if d.Settings.Peers == "" {
		return func() {}
	}
	f := &follow.Follower{
		Self: feed.Member{
			Name: d.Settings.Name, Domain: d.Settings.Domain, Addr: d.Settings.Peers, CPU: d.Settings.Power,
		},
		Incarnation: uint64(d.clock.Wall()), Feed: d.feed, ApplyWithin: applyWithin(d.Settings), Clock: d.clock, Log: d.Log,
	}
	f.Init()
	ctx, stop := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() { f.Run(ctx); close(done) }()
	return func() { stop(); <-done }
}

// applyWithin returns the time within which any change in the store must be in force.
func applyWithin(s *settings.Front) clock.Span {
	bound := cmp.Or(s.Apply, follow.DefaultApply)
	if s.Evacuate > 0 {
		bound = min(bound, s.Evacuate)
	}
	return bound
}

// ready reports whether the balancer should send new connections to this VM.
func (d *Daemon) ready() bool {
	return !d.gateway.Stopping() && d.feed.Synchronised() && d.feed.Fresh()
}

// settingsCheckInterval is the interval at which the modification time of the settings file is read: the file may change
// without a signal.
const settingsCheckInterval = 2 * time.Second

// watchSettings checks the settings file whenever it changes, and logs whether the settings differ or the file has faults. The
// settings in force stay as they are until the next start of the process.
func (d *Daemon) watchSettings(ctx context.Context) {
	t := time.NewTicker(settingsCheckInterval)
	defer t.Stop()
	var last time.Time
	if info, err := os.Stat(d.SettingsFile); err == nil {
		last = info.ModTime()
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		info, err := os.Stat(d.SettingsFile)
		if err != nil || info.ModTime().Equal(last) {
			continue
		}
		last = info.ModTime()
		s, err := settings.LoadFront(d.SettingsFile)
		if err != nil {
			d.Log.Error().Err(err).Msg("daemon: the changed settings file has faults; the present settings stay in force")
			continue
		}
		d.Log.Info().Bool("changed", *s != *d.Settings).Msg("daemon: read the changed settings file; addresses and bounds change with the next start")
	}
}
