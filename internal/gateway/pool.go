package gateway

import (
	"errors"
	"math/rand/v2"
	"slices"
	"sync"

	"shallotrun/core/backend"
	"shallotrun/core/clock"
	"shallotrun/core/load"
	"shallotrun/core/models"
	"shallotrun/core/place"
	"shallotrun/core/retry"
	"shallotrun/core/work"
)

// pool places the requests of one service and tracks this VM's usage of each of its servers.
type pool struct {
	g       *Gateway
	service string

	mu           sync.Mutex
	placer       place.Placer
	budget       retry.Budget
	chooser      models.Chooser
	slowdowns    load.Slowdowns
	prefillTimes prefillTimes
	lateness     float64                 // smoothed time to the first event, as a multiple of the objective
	backlog      float64                 // mean time that the servers need for their pending prompt tokens, in milliseconds
	servers      map[string]*serverState // by server, only those with requests in flight
	candidates   []place.Candidate
}

// serverState is this VM's usage of one server with requests in flight, and what the VM last received from it.
type serverState struct {
	inFlight        int        // requests in flight
	awaitingFirst   int        // those of them without a first answer
	pendingTokens   int        // prompt tokens of those, weighted as if for the largest model
	busySince       clock.Time // time since which there are requests in flight
	lastByte        clock.Time // time of the last byte from the server, 0 for none
	reportPending   bool       // a load report was requested and has not come yet
	reportRequested clock.Time // time at which the last load report was requested, 0 for none
	unreachable     bool       // the last request for a load report failed, and no byte came since
	report          work.Load  // last load report
}

// connDivisor divides the connection limit of a server to give the part that one VM may use. The server resets connections over
// its limit, and a VM does not see the connections of the others.
const connDivisor = 4

// defaultPrefillTime is the prefill time of a prompt token with the largest model that is assumed before any was measured, in
// milliseconds.
const defaultPrefillTime = 0.05

// prefillTimes holds the smoothed prefill time of a prompt token for each model, in milliseconds, the servers' queues included.
type prefillTimes map[string]float64

// minPrefillTokens is the number of prompt tokens from which the time to the first event is a measure of the prefill time, and
// prefillWindow the number of prompts over which the mean is smoothed.
const (
	minPrefillTokens = 2000
	prefillWindow    = 20
)

// get returns the prefill time of a token with a model, or prior if none was measured.
func (r prefillTimes) get(model string, prior float64) float64 {
	if ms, ok := r[model]; ok {
		return ms
	}
	return prior
}

// add adds a measured time to the mean of a model, which begins with prior.
func (r prefillTimes) add(model string, ms, prior float64) {
	r[model] = r.get(model, prior) + (ms-r.get(model, prior))/prefillWindow
}

func newPool(g *Gateway, service string) *pool {
	return &pool{
		g: g, service: service, servers: make(map[string]*serverState), prefillTimes: make(prefillTimes),
		placer: place.Placer{
			Domain: g.Domain, Policy: place.CacheAffinity{PrefillTime: defaultPrefillTime},
			Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		},
		budget: retry.Budget{Ratio: g.RetryRatio}, chooser: models.Chooser{Worth: g.Worth},
	}
}

// pick selects a server among those of the allowed versions and adds the attempt to its usage. It returns an error if no server can
// take the request: errLimited if one could but for the limits that servers name.
func (p *pool) pick(now clock.Time, x *exchange) (backend.Server, error) {
	all, limited := p.withinLimits(x, p.g.State.Choose(now, p.service, x.request.Session, p.g.State.Servers(now, p.service)))
	p.mu.Lock()
	defer p.mu.Unlock()
	p.candidates = p.candidates[:0]
	var others map[string]load.Usage
	x.usageAge = unknownAge
	if v := p.g.State.UsageByOthers(now); v != nil {
		others, x.usageAge = v.Uses, now.Sub(v.At)
	}
	for _, v := range all {
		c := place.Candidate{Name: v.ID, Domain: v.Domain, Load: work.Load{Slots: v.Slots}}
		if x.spec != nil && x.spec.Conns > 0 {
			c.Slots = max(x.spec.Conns/connDivisor, 1)
		}
		if u := p.servers[v.ID]; u != nil {
			c.OwnInFlight, c.AwaitingFirstToken, c.PendingTokens = u.inFlight, u.awaitingFirst, u.pendingTokens
		}
		o := others[v.ID]
		c.OthersInFlight, c.PendingTokens = o.InFlight, c.PendingTokens+o.PendingTokens
		c.Slowdown = p.slowdowns.Slowdown(now, v.ID, o)
		p.candidates = append(p.candidates, c)
	}
	p.backlog = backlog(p.candidates)
	x.backlog = p.backlog
	req := x.placeRequest()
	name, ok := p.placer.Pick(now, req, p.candidates)
	if !ok && len(x.notRunServers) < len(x.failedServers) {
		// Every server failed this request: those at which it may have run may be tried again.
		req.Exclude = x.notRunServers
		name, ok = p.placer.Pick(now, req, p.candidates)
	}
	switch {
	case !ok && limited:
		return backend.Server{}, errLimited
	case !ok:
		return backend.Server{}, errNoServer
	}
	i := slices.IndexFunc(all, func(v backend.Server) bool { return v.ID == name })
	if !p.g.State.TakeSlot(all[i], x.workspaceName()) {
		return backend.Server{}, errLimited // the VM's part of the limit has just become smaller
	}
	u := p.servers[name]
	if u == nil {
		u = &serverState{busySince: now}
		p.servers[name] = u
	}
	u.inFlight++
	u.awaitingFirst++
	x.pendingTokens = x.prefillTokens()
	u.pendingTokens += x.pendingTokens
	return all[i], nil
}

// Reasons why pick selects no server.
var (
	errNoServer = errors.New("no backend server can take the request")
	errLimited  = errors.New("the limits that the backend servers name are used up")
)

// hasRoom reports whether the limits that the servers name leave one for another attempt of a request.
func (p *pool) hasRoom(x *exchange) bool {
	in, limited := p.withinLimits(x, p.g.State.Servers(p.g.Clock.Now(), p.service))
	return len(in) > 0 || !limited
}

// withinLimits returns the servers that the limits which they name allow this VM to send the request to, and reports whether others
// were left out. If all servers name limits, the workspaces take turns.
func (p *pool) withinLimits(x *exchange, all []backend.Server) (out []backend.Server, limited bool) {
	slots := p.g.State.FreeSlots(p.service)
	if len(slots) == 0 {
		return all, false
	}
	unlimited := 0
	for _, v := range all {
		free, named := slots[v.ID]
		if !named {
			unlimited++
		}
		if free || !named {
			out = append(out, v)
		}
	}
	if unlimited == 0 && !p.g.State.MayTake(p.service, x.workspaceName()) {
		return nil, true
	}
	return out, len(out) < len(all)
}

// backlog returns the mean time that the servers need for their pending prompt tokens, in milliseconds.
func backlog(in []place.Candidate) float64 {
	pending := 0
	for _, c := range in {
		pending += c.PendingTokens
	}
	return defaultPrefillTime * float64(pending) / float64(max(len(in), 1))
}

// relativeDelay returns the smoothed time to the first event, or the time expected from the backlog if that is longer, as a
// multiple of the objective.
func (p *pool) relativeDelay(objective clock.Span) float64 {
	if objective <= 0 {
		return p.lateness
	}
	return max(p.lateness, p.backlog/float64(objective))
}

// firstAnswer records the first answer of an attempt: its prompt tokens are no longer pending.
func (p *pool) firstAnswer(server string, tokens int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if u := p.servers[server]; u != nil {
		u.awaitingFirst--
		u.pendingTokens -= tokens
	}
}

// usage appends this VM's usage of each server, and the slowdown of servers that have no requests in flight now.
func (p *pool) usage(now clock.Time, out []load.Usage) []load.Usage {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, u := range p.servers {
		v := load.Usage{Server: name, InFlight: u.inFlight, PendingTokens: u.pendingTokens, SinceLastByte: u.sinceLastByte(now)}
		v.LogSlowdown, v.Streams = p.slowdowns.Report(now, name)
		out = append(out, v)
	}
	for _, name := range p.slowdowns.Servers(now) {
		if p.servers[name] != nil {
			continue
		}
		v := load.Usage{Server: name, SinceLastByte: noByteSpan}
		v.LogSlowdown, v.Streams = p.slowdowns.Report(now, name)
		out = append(out, v)
	}
	return out
}

// sinceLastByte returns the time since the last byte from the server.
func (u *serverState) sinceLastByte(now clock.Time) clock.Span {
	if u.lastByte == 0 {
		return noByteSpan
	}
	return now.Sub(u.lastByte)
}

// noByteSpan is used as the time since the last byte of a server that has sent none.
const noByteSpan = clock.Span(3600_000)

// attemptEnded records the end of an attempt and removes it from the server's usage.
func (p *pool) attemptEnded(server string, firstArrived bool, tokens int, r work.Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.placer.Report(p.g.Clock.Now(), r)
	u := p.servers[server]
	if u == nil {
		return
	}
	if !firstArrived {
		u.awaitingFirst--
		u.pendingTokens -= tokens
	}
	if u.inFlight--; u.inFlight <= 0 {
		delete(p.servers, server)
	}
}

// latenessWindow is the number of first events over which the lateness of a service is smoothed.
const latenessWindow = 12

// addLateness records the time to a first event, as a multiple of the objective.
func (p *pool) addLateness(ratio float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lateness += (min(ratio, maxLateness) - p.lateness) / latenessWindow
}

// maxLateness limits the influence of a single first event on the lateness.
const maxLateness = 3

// addEventInterval records the mean time between the events of a stream, in milliseconds.
func (p *pool) addEventInterval(server, model string, ms float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.slowdowns.Add(p.g.Clock.Now(), server, model, ms)
}

// addPrefillTime records the time to the first event of a prompt with a number of uncached tokens.
func (p *pool) addPrefillTime(model string, tokens float64, first clock.Span, prior float64) {
	if tokens < minPrefillTokens {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.prefillTimes.add(model, float64(first)/tokens, prior)
}

// byteReceived records that bytes came from a server.
func (p *pool) byteReceived(server string, now clock.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if u := p.servers[server]; u != nil {
		u.lastByte, u.unreachable = now, false
	}
}

// checkServer checks a server at which a request has waited for the given time. It returns the time since any VM received a byte
// from it, limited to the time for which this VM has had requests there; whether the server failed to answer the last request for
// a load report; and the load report if that was requested less than limit ago. It requests a report if the server has been
// silent for limit, or if it answers others but this request has waited so long that the server may have lost it.
func (p *pool) checkServer(v backend.Server, now clock.Time, waited, limit clock.Span) (
	silent clock.Span, unreachable bool, report *work.Load,
) {
	others := p.g.State.UsageByOthers(now)
	p.mu.Lock()
	defer p.mu.Unlock()
	u := p.servers[v.ID]
	if u == nil {
		return 0, false, nil
	}
	silent = min(now.Sub(u.busySince), u.sinceLastByte(now))
	if others != nil {
		if o, ok := others.Uses[v.ID]; ok {
			silent = min(silent, o.SinceLastByte+now.Sub(others.At))
		}
	}
	suspicious := silent >= limit || waited >= lostFactor*limit
	if suspicious && waited >= limit && !u.reportPending && now.Sub(u.reportRequested) >= limit && p.g.State.TakeSlot(v, "") {
		u.reportPending, u.reportRequested = true, now
		go p.fetchReport(v)
	}
	if !u.reportPending && u.reportRequested != 0 && now.Sub(u.reportRequested) < limit {
		report = &u.report
	}
	return silent, u.unreachable, report
}

// fetchReport requests the load report of a server. A report also proves that the server is alive.
func (p *pool) fetchReport(v backend.Server) {
	sent := p.g.Clock.Boot()
	r, err := p.g.Backend.Report(v)
	p.g.metrics.reports.Inc()
	p.g.State.RecordLimit(p.g.Clock.Boot(), sent, v, r.Limit)
	p.mu.Lock()
	defer p.mu.Unlock()
	u := p.servers[v.ID]
	if u == nil {
		return
	}
	u.reportPending, u.unreachable, u.report = false, err != nil, r.Load
	if err == nil {
		u.lastByte = p.g.Clock.Now()
	}
	p.g.Log.Info().Err(err).Str("server", v.ID).Int("running", r.Running).Int("waiting", r.Waiting).
		Msg("gateway: load report of a suspect server")
}

// countRequest records the first attempt of a request for the retry budget.
func (p *pool) countRequest(now clock.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget.Attempt(now)
}

// takeRetry takes one attempt from the retry budget and reports whether the budget allowed it.
func (p *pool) takeRetry(now clock.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budget.Retry(now)
}

// minSpareBudget is the fraction of the retry budget that is reserved for failures.
const minSpareBudget = 0.3

// takeSpareRetry takes one attempt from the retry budget only while at least the reserve for failures is left.
func (p *pool) takeSpareRetry(now clock.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budget.RemainingFraction(now) >= minSpareBudget && p.budget.Retry(now)
}
