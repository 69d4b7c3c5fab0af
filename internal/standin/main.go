package standin

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/samber/oops"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"shallotrun/core/clock"
	"shallotrun/internal/standin/engine"
	"shallotrun/internal/standin/ledger"
	"shallotrun/internal/standin/link"
	"shallotrun/internal/standin/platform"
	"shallotrun/internal/standin/rating"
	"shallotrun/internal/standin/service"
	"shallotrun/internal/standin/weights"
)

// Version is the version that -version prints.
var Version = "dev"

// options are the flags of all modes.
type options struct {
	mode, name, addr, control string
	seed                      uint64
	version                   bool

	models, weights, quality, paths, sources string

	slots, queue, cache, reads, writes int
	token, prefill, lag, delay, keep   time.Duration
	load, work                         time.Duration
	batch, gap, limit                  float64
	fenced, inexact                    bool
	base                               uint64
}

// endpoints holds the handlers of a mode and what it starts before serving.
type endpoints struct {
	handler fasthttp.RequestHandler // nil if there is no serving port
	control fasthttp.RequestHandler // may be nil
	start   func(context.Context) error
}

// Main runs the command and returns its exit code: 0 after a signal, 1 on a failure, 2 on wrong usage.
func Main(args []string, out, errs io.Writer) int {
	var o options
	fs := flags(&o, errs)
	if err := fs.Parse(args); err != nil {
		return 2
	}
	if o.version {
		fmt.Fprintln(out, "standin", Version)
		return 0
	}
	log := zerolog.New(errs).With().Timestamp().Str("name", o.name).Logger()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := run(ctx, o); err != nil {
		log.Error().Err(err).Msg("standin: stopped")
		return 1
	}
	return 0
}

func flags(o *options, errs io.Writer) *flag.FlagSet {
	fs := flag.NewFlagSet("standin", flag.ContinueOnError)
	fs.SetOutput(errs)
	fs.Usage = func() {
		fmt.Fprintln(errs, "usage: standin -mode engine|service|platform|rating|weights|link -addr IP:PORT -control IP:PORT [flags]")
		fs.PrintDefaults()
	}
	fs.BoolVar(&o.version, "version", false, "print the version and exit")
	fs.StringVar(&o.mode, "mode", "", "engine, service, platform, rating, weights or link")
	fs.StringVar(&o.name, "name", "standin", "name in the ledger")
	fs.StringVar(&o.addr, "addr", "127.0.0.1:0", "serving address (all modes but link)")
	fs.StringVar(&o.control, "control", "127.0.0.1:0", "address of the control port")
	fs.Uint64Var(&o.seed, "seed", 1, "seed of the faults that apply at random")
	fs.StringVar(&o.models, "models", "", "engine: loaded versions, MODEL@VERSION separated by commas")
	fs.IntVar(&o.slots, "slots", 16, "engine: generations that run at once")
	fs.IntVar(&o.queue, "queue", 256, "engine: waiting generations before calls are refused")
	fs.IntVar(&o.cache, "cache", 4096, "engine: blocks of the prefix cache")
	fs.DurationVar(&o.token, "token", 20*time.Millisecond, "engine: time between tokens with a batch of one")
	fs.Float64Var(&o.batch, "batch", 0.02, "engine: fraction of -token added for each further member of the batch")
	fs.DurationVar(&o.prefill, "prefill", 500*time.Microsecond, "engine: time for each uncached prompt token")
	fs.DurationVar(&o.lag, "lag", 200*time.Millisecond, "engine: interval of load reports; platform: delay of the VM list")
	fs.DurationVar(&o.delay, "delay", 300*time.Millisecond, "engine: delay of cache events")
	fs.Float64Var(&o.gap, "gap", 0.05, "engine: fraction of the cache events that is lost")
	fs.DurationVar(&o.keep, "keep", time.Minute, "engine: how long finished outputs are kept")
	fs.DurationVar(&o.load, "load", 200*time.Millisecond, "engine: time that loading a model takes")
	fs.StringVar(&o.weights, "weights", "", "engine: address of the weight store to fetch from before loading")
	fs.BoolVar(&o.fenced, "fenced", false, "engine: refuse orders with an old fencing token")
	fs.BoolVar(&o.inexact, "inexact", false, "engine: answers also depend on the engine and the request")
	fs.DurationVar(&o.work, "work", time.Millisecond, "service: time of a call; weights: time of a fetch")
	fs.Uint64Var(&o.base, "base", 0, "service: tag numbers start after this number")
	fs.IntVar(&o.reads, "reads", 2000, "platform: reads per second, 0 for no limit")
	fs.IntVar(&o.writes, "writes", 400, "platform: writes per second, 0 for no limit")
	fs.StringVar(&o.quality, "quality", "", "rating: MODEL=PERCENT separated by commas")
	fs.Float64Var(&o.limit, "limit", 5, "weights: fetches per second")
	fs.StringVar(&o.paths, "paths", "", "link: GROUP=LISTEN>TARGET separated by commas")
	fs.StringVar(&o.sources, "sources", "", "link: groups of source addresses, GROUP=PREFIX separated by commas")
	return fs
}

// run builds the stand-in of the mode and serves it until ctx ends.
func run(ctx context.Context, o options) error {
	l := &ledger.Ledger{}
	l.Faults.Seed = o.seed
	s, err := build(o, l)
	if err != nil {
		return err
	}
	g, ctx := errgroup.WithContext(ctx)
	if s.start != nil {
		if err := s.start(ctx); err != nil {
			return err
		}
	}
	if s.handler != nil {
		ln, err := ledger.Listen(o.addr)
		if err != nil {
			return err
		}
		if l.Faults.OnChange == nil {
			l.Faults.OnChange = map[string]func(ledger.Fault){}
		}
		l.Faults.OnChange["silent"] = func(x ledger.Fault) {
			if x.For >= 0 {
				ln.Silence()
			}
		}
		g.Go(func() error { return ledger.Serve(ctx, ln, s.handler) })
	}
	c, err := ledger.Listen(o.control)
	if err != nil {
		return err
	}
	g.Go(func() error { return ledger.Serve(ctx, c, l.Handler(s.control)) })
	return g.Wait()
}

// build creates the stand-in of the mode.
func build(o options, l *ledger.Ledger) (endpoints, error) {
	switch o.mode {
	case "engine":
		return buildEngine(o, l), nil
	case "service":
		l.Faults.Names = service.Faults
		s := &service.Service{Name: o.name, Ledger: l, TagBase: o.base, CallTime: o.work}
		return endpoints{handler: s.Handler}, nil
	case "platform":
		l.Faults.Names = platform.Faults
		p := &platform.Platform{Ledger: l, ReadLimit: o.reads, WriteLimit: o.writes, VMListDelay: clock.FromStd(o.lag)}
		p.Init()
		return endpoints{handler: p.Handler, control: p.Control}, nil
	case "rating":
		l.Faults.Names = rating.Faults
		qs, err := parsePairs(o.quality)
		if err != nil {
			return endpoints{}, err
		}
		r := &rating.Rating{Ledger: l, Quality: map[string]int{}}
		for _, q := range qs {
			if r.Quality[q[0]], err = strconv.Atoi(q[1]); err != nil {
				return endpoints{}, oops.Wrapf(err, "-quality %s", q[0])
			}
		}
		return endpoints{handler: r.Handler}, nil
	case "weights":
		l.Faults.Names = weights.Faults
		w := &weights.Weights{Ledger: l, Limit: rate.NewLimiter(rate.Limit(o.limit), 1), FetchTime: o.work}
		return endpoints{handler: w.Handler}, nil
	case "link":
		return buildLink(o, l)
	}
	return endpoints{}, oops.Errorf("unknown -mode %q", o.mode)
}

func buildEngine(o options, l *ledger.Ledger) endpoints {
	l.Faults.Names = engine.Faults
	e := &engine.Engine{
		Name: o.name, Ledger: l, Slots: o.slots, QueueLimit: o.queue, TokenTime: o.token, BatchCost: o.batch, PrefillTime: o.prefill,
		CacheBlocks: o.cache, ReportInterval: clock.FromStd(o.lag), EventDelay: clock.FromStd(o.delay), EventLoss: o.gap,
		OutputRetention: clock.FromStd(o.keep), LoadTime: o.load, Fenced: o.fenced, Inexact: o.inexact,
	}
	if o.models != "" {
		e.Models = strings.Split(o.models, ",")
	}
	if o.weights != "" {
		e.FetchWeights = weights.Fetch(o.weights)
	}
	return endpoints{handler: e.Handler, start: func(ctx context.Context) error {
		e.Run(ctx)
		return nil
	}}
}

func buildLink(o options, l *ledger.Ledger) (endpoints, error) {
	l.Faults.Names = link.Faults
	ps, err := parsePairs(o.paths)
	if err != nil {
		return endpoints{}, err
	}
	sources, err := parsePairs(o.sources)
	if err != nil {
		return endpoints{}, err
	}
	k := &link.Link{Ledger: l, Sources: sources}
	for _, p := range ps {
		listen, target, ok := strings.Cut(p[1], ">")
		if !ok {
			return endpoints{}, oops.Errorf("-paths %s: want GROUP=LISTEN>TARGET", p[0])
		}
		k.Paths = append(k.Paths, link.Path{Group: p[0], Listen: listen, Target: target})
	}
	return endpoints{start: k.Run}, nil
}

// parsePairs parses NAME=VALUE pairs separated by commas.
func parsePairs(s string) ([][2]string, error) {
	var all [][2]string
	if s == "" {
		return nil, nil
	}
	for _, p := range strings.Split(s, ",") {
		k, v, ok := strings.Cut(p, "=")
		if !ok {
			return nil, oops.Errorf("%q: want NAME=VALUE", p)
		}
		all = append(all, [2]string{k, v})
	}
	return all, nil
}
