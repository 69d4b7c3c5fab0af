package gateway

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/trace"

	"shallotrun/core/backend"
	"shallotrun/core/canary"
	"shallotrun/core/catalog"
	"shallotrun/core/clock"
	"shallotrun/core/limit"
	"shallotrun/core/load"
	"shallotrun/core/quarantine"
	"shallotrun/core/work"
)

// State is this VM's view of the platform's store and of the other VMs.
type State interface {
	// Table returns the current configuration, nil before the first one was read.
	Table() *catalog.Table
	// Fresh reports whether the configuration is recent enough to prove that a key is still valid.
	Fresh() bool
	// Servers returns the servers of a service that may get new requests, including those in evacuated failure domains.
	Servers(now clock.Time, service string) []backend.Server
	// Choose returns those servers of all that may get the next request of a session, "" for none, by the rollout order.
	Choose(now clock.Time, service, session string, all []backend.Server) []backend.Server
	// Report adds the result of an attempt to the results of its version.
	Report(now clock.Time, service string, v canary.Result)
	// Overdue reports whether a first answer that has not come yet was counted as late against its version.
	Overdue(now clock.Time, service string, v canary.Result) bool
	// UsageByOthers returns the usage of the servers by the other VMs, nil if it is not known.
	UsageByOthers(now clock.Time) *load.Totals
	// RecordCrash records a request under which a server ended.
	RecordCrash(now clock.Time, c quarantine.Crash)
	// Remembers reports whether crashes of a service's servers still count, so that a request that is the same may be to blame.
	Remembers(now clock.Time, service string) bool
	// RecordStart records that the answer to a request with this content was started.
	RecordStart(now clock.Time, service string, c quarantine.Content)
	// Proven reports whether an answer with each of the parts was started on this VM a short time ago.
	Proven(now clock.Time, service string, c quarantine.Content) bool
	// Check returns why a request must not be sent because of its prompt, nil if it may be sent, and whether it is sent to try whether
	// that still holds.
	Check(now clock.Time, q quarantine.Request) (refusal *quarantine.Refusal, trial bool)
	// RecordLimit records what an answer says to all VMs about its server, and reports whether that is new: an answer that came now to a
	// request that was sent at a time, both by Clock.Boot.
	RecordLimit(now, sent clock.Time, v backend.Server, n limit.Notice) bool
	// WithoutLeaving returns the servers that have not said, to this VM or another one, that they leave.
	WithoutLeaving(all []backend.Server) []backend.Server
	// WithoutEvacuated divides servers into those that may get new requests and those in evacuated failure domains. If none may, wait is the
	// time after which callers should come back.
	WithoutEvacuated(all []backend.Server) (usable, away []backend.Server, wait clock.Span)
	// EvacuatedDomains returns the number of evacuated failure domains.
	EvacuatedDomains() int
	// FreeSlots returns the servers of a service that name a limit or are cold, and for each whether this VM may send it a request now. It is
	// nil if there are none.
	FreeSlots(service string) map[string]bool
	// MayTake reports whether it is the turn of a workspace, if all servers of a service have limits.
	MayTake(service, workspace string) bool
	// TakeSlot records that a request is sent to a server. It returns false if the limit of the server does not allow it.
	TakeSlot(v backend.Server, workspace string) bool
	// RefuseForLimits records that a request is refused because of limits, and returns the time after which it may be served.
	RefuseForLimits(service, workspace string) clock.Span
	// Limited returns the number of servers of each service that name a limit.
	Limited() map[string]int
	// Cold returns the number of cold servers of each service that has a limit for them.
	Cold() map[string]int
	// Rules returns the parts of prompts with which requests are refused.
	Rules(now clock.Time) []quarantine.Rule
}

// Gateway serves the requests of callers. Registry and Memory must be set before Init, the other exported fields before Serve.
type Gateway struct {
	Domain     string // failure domain of this VM
	State      State
	Backend    Backend
	Clock      clock.Clock
	Log        zerolog.Logger
	Registry   prometheus.Registerer
	Tracer     trace.Tracer // nil to disable tracing
	RetryRatio float64      // retry budget: retries allowed per request of a service
	Worth      float64      // value of a correct answer, in the unit of the models' cost
	Memory     int64        // memory of the VM in bytes, 0 if it is not known
	Learn      bool         // learn how many requests each server takes well, and place requests by it
	Grace      clock.Span   // time between the start of a planned stop and the end of the process

	metrics    *metrics
	bodyMemory *memoryLimit
	endChecks  endChecks    // servers that are asked later whether they have ended
	stopStart  atomic.Int64 // time at which the planned stop began, 0 before

	pausesMu sync.Mutex
	pauses   backend.Pauses // by Clock.Boot: a pause goes on while the VM is suspended

	mu    sync.Mutex
	pools map[string]*pool
	open  map[*exchange]struct{}
}

// Init prepares the gateway. It must be called once, before Serve.
func (g *Gateway) Init() {
	g.pools, g.open = make(map[string]*pool), make(map[*exchange]struct{})
	g.pauses.Rand = rand.Float64
	g.metrics, g.bodyMemory = newMetrics(g.Registry), newMemoryLimit(g.Memory)
	if g.Registry != nil {
		g.Registry.MustRegister(&ruleCollector{g}, &limitCollector{g}, evacuatedGauge(g))
		if g.Learn {
			g.Registry.MustRegister(g.metrics.capacity)
		}
	}
}

// Run checks the open requests for closed connections of callers, passed deadlines and silent servers until ctx ends.
func (g *Gateway) Run(ctx context.Context) { g.watchOpen(ctx) }

// Open returns the number of open requests.
func (g *Gateway) Open() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.open)
}

// Serve answers a request. The caller of Serve must close a *Stream.
func (g *Gateway) Serve(r *Request) Answer {
	x := &exchange{g: g, request: r, arrived: g.Clock.Now(), lastEvent: r.LastEventID}
	x.startSpan()
	if refusal := x.admit(); refusal != nil {
		x.recordEnd(refusal)
		return Refused{*refusal}
	}
	g.addOpen(x)
	a := x.serve()
	if x.fallback != nil {
		x.fallback.Release()
	}
	if _, ok := a.(*Stream); !ok {
		g.removeOpen(x)
	}
	return a
}

// addOpen adds a request to the open ones, which the watching goroutine checks.
func (g *Gateway) addOpen(x *exchange) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open[x] = struct{}{}
	g.metrics.open.Set(float64(len(g.open)))
}

// removeOpen removes a request from the open ones.
func (g *Gateway) removeOpen(x *exchange) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.open, x)
	g.metrics.open.Set(float64(len(g.open)))
}

// Usage returns this VM's usage of the backend servers.
func (g *Gateway) Usage() (out []load.Usage) {
	now := g.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.pools {
		out = p.usage(now, out)
	}
	return out
}

// pool returns the pool of a service and creates it for the first request.
func (g *Gateway) pool(service string) *pool {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.pools[service]
	if p == nil {
		p = newPool(g, service)
		g.pools[service] = p
	}
	return p
}

// admit finds the route, workspace and service of a request, or refuses it. A refusal for good is never based on a configuration
// that may be out of date.
func (x *exchange) admit() *work.Refusal {
	g, r := x.g, x.request
	x.deadline = x.arrived.Add(defaultTimeout)
	t := x.waitForTable()
	if t == nil {
		return refuse(work.CodeNoDocument, 503, clock.Second, "the configuration is not known yet")
	}
	fresh := g.State.Fresh()
	path, _, _ := strings.Cut(r.URI, "?")
	if x.route = t.Route(r.Host, path); x.route == nil {
		return refuseFinally(fresh, work.CodeNotAllowed, 404, "no route has this host and path")
	}
	if x.route.Timeout > 0 {
		x.deadline = x.arrived.Add(x.route.Timeout)
	}
	if r.Timeout > 0 {
		x.deadline = min(x.deadline, x.arrived.Add(r.Timeout))
	}
	x.rank = x.route.Rank
	if refusal := x.authenticate(t, fresh); refusal != nil {
		return refusal
	}
	if len(x.route.Models) > 0 && !r.leavesModelOpen() {
		return refuseFinally(fresh, work.CodeModelNotAllowed, 421, "the model is chosen by the router on this route; only "+ChooseModel+" may be named")
	}
	service, ok := x.route.Choose(rand.Float64())
	if !ok {
		return refuse(work.CodeNoServer, 503, clock.Second, "the route leads to no service")
	}
	x.service, x.spec = service, t.Service(service)
	if g.Stopping() && !x.canFinish() {
		return refuse(work.CodeStopping, 503, 0, "this VM is stopping")
	}
	return nil
}

const (
	// startupWait is how long a request waits for the configuration at a VM that has just started. Most VMs read it in less
	// time, and a caller that is refused would retry only after more time than that.
	startupWait = 500 * clock.Millisecond
	// startupWaitFraction bounds that wait to a fraction of the caller's timeout.
	startupWaitFraction = 0.25
	// startupPollInterval is the interval at which the wait checks for the configuration.
	startupPollInterval = 10 * clock.Millisecond
)

// waitForTable returns the configuration. At a VM that has just started it waits up to startupWait for it, and returns nil if
// there is still none.
func (x *exchange) waitForTable() *catalog.Table {
	left := startupWait
	if x.request.Timeout > 0 {
		left = min(left, clock.Span(startupWaitFraction*float64(x.request.Timeout)))
	}
	for end := x.arrived.Add(left); ; time.Sleep(startupPollInterval.Std()) {
		if t := x.g.State.Table(); t != nil || x.g.Clock.Now() >= end || x.g.Stopping() {
			return t
		}
	}
}

// authenticate finds the workspace of the request's key and sets the rank of the request. A route that needs no key serves requests
// without one. A key that is sent counts there as well: the request must not run without the workspace that holds its key.
func (x *exchange) authenticate(t *catalog.Table, fresh bool) *work.Refusal {
	if !t.RequiresKeys() || x.route.Public && x.request.Key == "" {
		return nil
	}
	w := t.Workspace(x.request.Key)
	switch {
	case !fresh && (w != nil || x.route.Public):
		return refuse(work.CodeStale, 503, clock.Second, "whether the key is still valid cannot be proved now")
	case w == nil:
		return refuseFinally(fresh, work.CodeKeyUnknown, 401, "the key is not known")
	}
	x.workspace = w
	if w.Rank != catalog.NoRank {
		x.rank = w.Rank
	}
	return nil
}

// defaultTimeout is the timeout of a request for which neither the caller nor the route sets one.
const defaultTimeout = 30 * clock.Second

// refuse returns the refusal of a request that did not run. retry is the time after which the caller may retry, 0 for none.
func refuse(code string, status int, retry clock.Span, detail string) *work.Refusal {
	return &work.Refusal{Code: code, Status: status, Ran: work.NotRun, Retry: retry, Detail: detail}
}

// refuseFinally refuses for good, or with a time to retry if the configuration may be out of date.
func refuseFinally(fresh bool, code string, status int, detail string) *work.Refusal {
	if fresh {
		return refuse(code, status, 0, detail)
	}
	return refuse(work.CodeStale, 503, clock.Second, detail+", but the configuration may be out of date")
}
