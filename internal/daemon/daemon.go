package daemon

import (
	"context"
	"net"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/rs/zerolog"
	"github.com/samber/oops"
	"golang.org/x/sync/errgroup"

	"shallotrun/core/clock"
	"shallotrun/internal/config"
	"shallotrun/internal/entry"
	"shallotrun/internal/servers"
	"shallotrun/internal/settings"
	"shallotrun/io/operator"
	"shallotrun/io/platform"
)

// stopGrace bounds the end of the operator port, which has no long requests.
const stopGrace = 2 * time.Second

// Daemon is one entry daemon. The exported fields are set before Run.
type Daemon struct {
	Settings *settings.Settings
	Clock    clock.Clock
	Log      zerolog.Logger

	start    clock.Time
	registry *prometheus.Registry
	client   *platform.Client
	store    *config.Store
	watcher  *config.Watcher
	servers  *servers.Registry
	direct   *direct
	entry    *entry.Daemon
}

// Run serves until ctx ends, then shuts down gracefully: the request path finishes first, while
// everything that it needs goes on running.
func (d *Daemon) Run(ctx context.Context) error {
	d.build()
	ln, err := net.Listen("tcp", d.Settings.Operators.Addr)
	if err != nil {
		return oops.Wrapf(err, "operator: listen on %s", d.Settings.Operators.Addr)
	}
	op := d.operator()
	help, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	var g errgroup.Group
	g.Go(func() error { return op.Serve(ln) })
	for _, run := range d.background() {
		g.Go(func() error { run(help); return nil })
	}
	err = d.entry.Run(ctx)
	end()
	grace, cancel := context.WithTimeout(context.Background(), stopGrace)
	defer cancel()
	if e := op.Shutdown(grace); e != nil {
		d.Log.Warn().Err(e).Msg("operator: connections still open at the end")
	}
	if e := g.Wait(); err == nil {
		err = e
	}
	d.client.Close()
	return err
}

func (d *Daemon) build() {
	s := d.Settings
	d.start = d.Clock.Wall()
	d.registry = prometheus.NewRegistry()
	d.registry.MustRegister(collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	source := source(s.Peers.Addr)
	d.client = &platform.Client{Addr: s.Platform.Addr, Source: source, Timeout: s.Platform.Timeout, Token: s.Platform.Token}
	d.store = &config.Store{Clock: d.Clock, Log: d.Log}
	d.watcher = &config.Watcher{Store: d.store, Client: d.client, Log: d.Log, Wait: s.Platform.Wait}
	d.watcher.Enable(true)
	d.servers = &servers.Registry{Clock: d.Clock, Log: d.Log}
	d.direct = newDirect(s.VM.Name, d.Clock, d.client, d.Log)
	d.register()
	d.entry = &entry.Daemon{
		Name: s.VM.Name, Domain: s.VM.Domain, Listen: s.Callers.Addr, Source: source,
		Keys:  append([][]byte{s.Keys.Session}, s.Keys.Old...),
		Clock: d.Clock, Log: d.Log,
		Documents: d.store, Servers: d.servers, Bills: d.direct, Claims: d.direct,
		Registry: d.registry,
	}
}

// source returns the IP address that connections leave from: the one that the other VMs know this VM by.
func source(peers string) string {
	host, _, err := net.SplitHostPort(peers)
	if err != nil {
		return ""
	}
	return host
}

// background returns the parts that run beside the request path.
func (d *Daemon) background() []func(context.Context) {
	poller := &servers.Poller{
		Registry: d.servers, Client: d.client, Log: d.Log, Every: d.Settings.Platform.Poll, Contact: d.store.Contact,
	}
	return []func(context.Context){d.store.Run, d.watcher.Run, poller.Run, d.direct.run}
}

func (d *Daemon) operator() *operator.Server {
	var persons []operator.Person
	for _, p := range d.Settings.Operators.Editors {
		persons = append(persons, operator.Person{Name: p.Name, Hash: p.Hash, Right: operator.Change})
	}
	for _, p := range d.Settings.Operators.Viewers {
		persons = append(persons, operator.Person{Name: p.Name, Hash: p.Hash, Right: operator.View})
	}
	return &operator.Server{
		Backend: &backend{Daemon: d, writer: config.Writer{Client: d.client}}, Persons: persons,
		Secret: d.Settings.Keys.Session, Gatherer: d.registry, Clock: d.Clock, Log: d.Log,
	}
}
