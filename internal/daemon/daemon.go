package daemon

import (
	"context"
	"net"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/rs/zerolog"
	"github.com/samber/oops"
	"go.opentelemetry.io/otel/trace"
	"golang.org/x/sync/errgroup"

	"shallotrun/core/clock"
	"shallotrun/internal/config"
	"shallotrun/internal/control"
	"shallotrun/internal/entry"
	"shallotrun/internal/evidence"
	"shallotrun/internal/fleet"
	"shallotrun/internal/servers"
	"shallotrun/internal/settings"
	"shallotrun/io/conn"
	"shallotrun/io/operator"
	"shallotrun/io/order"
	"shallotrun/io/otlp"
	"shallotrun/io/platform"
)

// stopTimeout bounds the shutdown of the operator port, which has no long requests, and of the trace export.
const stopTimeout = 2 * time.Second

// Daemon is one entry daemon. Set the exported fields before Run.
type Daemon struct {
	Settings *settings.Settings
	Clock    clock.Clock
	Log      zerolog.Logger

	startedAt     clock.Time
	registry      *prometheus.Registry
	client        *platform.Client
	store         *config.Store
	watcher       *config.Watcher
	servers       *servers.Registry
	fleet         *fleet.Fleet
	control       *control.Controller
	rolloutWriter *control.RolloutWriter
	evaluator     *evidence.Evaluator
	entry         *entry.Daemon
}

// Run serves until ctx ends, then shuts down gracefully: requests in flight finish first, while all parts that they need keep
// running.
func (d *Daemon) Run(ctx context.Context) error {
	stopTrace, err := d.build(ctx)
	if err != nil {
		return err
	}
	ln, err := net.Listen("tcp", d.Settings.Operators.Addr)
	if err != nil {
		return oops.Wrapf(err, "operator: listen on %s", d.Settings.Operators.Addr)
	}
	op := d.operator()
	if err := d.fleet.Start(); err != nil {
		return err
	}
	cancelLeave := context.AfterFunc(ctx, d.fleet.Leave)
	defer cancelLeave()
	bgCtx, stopBackground := context.WithCancel(context.WithoutCancel(ctx))
	defer stopBackground()
	var g errgroup.Group
	g.Go(func() error {
		return op.Serve(&conn.Listener{Listener: ln, Name: "operators", Log: d.Log, Spare: true})
	})
	for _, run := range d.background() {
		g.Go(func() error { run(bgCtx); return nil })
	}
	err = d.entry.Run(ctx)
	d.fleet.Stop()
	stopBackground()
	stopCtx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if e := op.Shutdown(stopCtx); e != nil {
		d.Log.Warn().Err(e).Msg("operator: connections were still open at shutdown")
	}
	if e := g.Wait(); err == nil {
		err = e
	}
	d.client.Close()
	if e := stopTrace(stopCtx); e != nil {
		d.Log.Warn().Err(e).Msg("trace: pending spans were not exported at shutdown")
	}
	return err
}

// build creates the parts. It returns the function that shuts the trace export down.
func (d *Daemon) build(ctx context.Context) (func(context.Context) error, error) {
	s := d.Settings
	d.startedAt = d.Clock.Wall()
	d.registry = prometheus.NewRegistry()
	d.registry.MustRegister(collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	ip := sourceIP(s.Peers.Addr)
	d.client = &platform.Client{Addr: s.Platform.Addr, Source: ip, Timeout: s.Platform.Timeout, Token: s.Platform.Token}
	d.store = &config.Store{Clock: d.Clock, Log: d.Log}
	d.watcher = &config.Watcher{Store: d.store, Client: d.client, Log: d.Log, WatchTimeout: s.Platform.Wait}
	d.servers = &servers.Registry{Clock: d.Clock, Log: d.Log}
	d.fleet = &fleet.Fleet{
		Name: s.VM.Name, Domain: s.VM.Domain, Addr: s.Peers.Addr, Announce: s.Peers.Announce, Source: ip,
		Seeds: s.Peers.Seeds, Keys: peerKeys(s.Keys), Heartbeat: s.Peers.Heartbeat, Clock: d.Clock, Log: d.Log,
		Registry: d.registry, Store: d.store, Servers: d.servers, Objects: d.client, EnableWatch: d.watcher.Enable,
	}
	d.control = &control.Controller{
		Self: s.VM.Name, Domain: s.VM.Domain, Incarnation: uint64(d.startedAt), Clock: d.Clock, Log: d.Log,
		Objects: d.client, Engines: &order.Client{Source: ip}, Document: d.store.Current, Servers: d.servers.All,
	}
	d.evaluator = &evidence.Evaluator{Store: d.store, Halt: d.fleet.Halt, Log: d.Log}
	d.evaluator.Subscribe()
	d.rolloutWriter = &control.RolloutWriter{
		Name: s.VM.Name, Holds: d.control.Holds, Store: d.store, Writer: &config.Writer{Client: d.client}, Log: d.Log,
		CanAdvance: d.evaluator.MayAdvance,
	}
	d.registerMetrics()
	tracer, stop, err := d.tracer(ctx)
	if err != nil {
		return nil, err
	}
	d.entry = &entry.Daemon{
		Name: s.VM.Name, Domain: s.VM.Domain, Listen: s.Callers.Addr, SourceIP: ip,
		TokenKeys: append([][]byte{s.Keys.Session}, s.Keys.Old...), Clock: d.Clock, Log: d.Log,
		Documents: d.store, Servers: d.servers, Bills: d.fleet, Claims: d.fleet, RatingAddr: s.Callers.Rating, Evidence: d.fleet,
		Registry: d.registry, Tracer: tracer, MaxRequests: s.Callers.Streams,
	}
	return stop, nil
}

// tracer returns the tracer and the function that shuts its export down. The tracer is nil if the settings name no address to
// export to.
func (d *Daemon) tracer(ctx context.Context) (trace.Tracer, func(context.Context) error, error) {
	s := d.Settings
	if s.Trace.URL == "" {
		return nil, func(context.Context) error { return nil }, nil
	}
	e := otlp.Export{URL: s.Trace.URL, Name: s.VM.Name, Domain: s.VM.Domain, Sample: s.Trace.Sample}
	p, err := e.Provider(ctx)
	if err != nil {
		return nil, nil, err
	}
	return p.Tracer("shallotrun"), p.Shutdown, nil
}

// sourceIP returns the local IP address of outgoing connections, which is the address at which the other VMs reach this VM.
// It returns "" if the address can't be parsed.
func sourceIP(peerAddr string) string {
	host, _, err := net.SplitHostPort(peerAddr)
	if err != nil {
		return ""
	}
	return host
}

// peerKeys returns the fleet's current key, followed by the former one if it is set. To rotate the key without downtime, first
// set the new key as former on every VM, then set it as peer with the old key as former, then remove the old key.
func peerKeys(k settings.Keys) [][]byte {
	if k.Former == nil {
		return [][]byte{k.Peer}
	}
	return [][]byte{k.Peer, k.Former}
}

// mergeInterval is the interval at which the fleet's results of rollouts are merged and evaluated.
const mergeInterval = 250 * time.Millisecond

// mergeEvidence periodically sets whether this VM is a candidate for the lease, and if so passes the fleet's results of
// rollouts to the evaluator: the VMs that collect the results also compete for the lease.
func (d *Daemon) mergeEvidence(ctx context.Context) {
	t := time.NewTicker(mergeInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		on := d.fleet.IsWatcher()
		d.control.SetCandidate(on)
		if on {
			d.evaluator.Merge(d.fleet.Counters())
		}
	}
}

// background returns the parts that run in the background, outside of request handling.
func (d *Daemon) background() []func(context.Context) {
	poller := &servers.Poller{
		Registry: d.servers, Client: d.client, Log: d.Log, Interval: d.Settings.Platform.Poll, OnAnswer: d.store.PlatformAnswered,
	}
	return []func(context.Context){d.store.Run, d.watcher.Run, poller.Run, d.control.Run, d.rolloutWriter.Run, d.mergeEvidence}
}

func (d *Daemon) operator() *operator.Server {
	var persons []operator.Person
	for _, p := range d.Settings.Operators.Editors {
		persons = append(persons, operator.Person{Name: p.Name, Hash: p.Hash, Right: operator.RightChange})
	}
	for _, p := range d.Settings.Operators.Viewers {
		persons = append(persons, operator.Person{Name: p.Name, Hash: p.Hash, Right: operator.RightView})
	}
	return &operator.Server{
		Backend: &backend{Daemon: d, writer: config.Writer{Client: d.client}}, Persons: persons,
		Secret: d.Settings.Keys.Session, Gatherer: d.registry, Clock: d.Clock, Log: d.Log,
	}
}
