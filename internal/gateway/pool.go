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
	learned      learned
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
	tokensHeld      int        // tokens that the requests in flight hold in the server's memory or will hold
	busySince       clock.Time // time since which there are requests in flight
	lastByte        clock.Time // time of the last byte from the server, 0 for none
	reportPending   bool       // a load report was requested and has not come yet
	reportRequested clock.Time // time at which the last load report was requested, 0 for none
	unreachable     bool       // the last request for a load report failed, and no byte came since
	report          *work.Load // last load report, nil if none was requested or the request for it failed
}

// connDivisor divides the connection limit of a server to give the part that one VM may use. The server resets connections over
// its limit, and a VM does not see the connections of the others.
const connDivisor = 4

func newPool(g *Gateway, service string) *pool {
	return &pool{
		g: g, service: service, servers: make(map[string]*serverState), prefillTimes: make(prefillTimes),
		placer: place.Placer{
			Domain: g.Domain, Policy: g.policy(),
			Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		},
		budget: retry.Budget{Ratio: g.RetryRatio}, chooser: models.Chooser{Worth: g.Worth},
	}
}

// pick selects a server among those of the allowed versions and adds the attempt to its usage. It returns an error if no server can
// take the request: errLimited if one could but for the limits of servers.
func (p *pool) pick(now clock.Time, x *exchange) (backend.Server, error) {
	servers := p.g.State.Servers(now, p.service)
	p.estimate(now, servers)
	allowed := p.g.State.Choose(now, p.service, x.request.Session, servers)
	usable, reserve, none := p.g.usable(allowed)
	v, err := p.pickAmong(now, x, usable)
	if err != nil && len(reserve) > 0 {
		v, err = p.pickAmong(now, x, slices.Concat(usable, reserve))
	}
	if errors.Is(err, errNoServer) && none != nil {
		return v, none
	}
	return v, err
}

// pickAmong is pick among some of the servers.
func (p *pool) pickAmong(now clock.Time, x *exchange, usable []backend.Server) (backend.Server, error) {
	all, limited := p.withinLimits(x, usable)
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
		if x.spec != nil && x.spec.Engine != nil {
			c.Memory = x.spec.Engine.Memory
		}
		if u := p.servers[v.ID]; u != nil {
			c.OwnInFlight, c.AwaitingFirstToken, c.PendingTokens = u.inFlight, u.awaitingFirst, u.pendingTokens
			c.TokensHeld = u.tokensHeld
		}
		o := others[v.ID]
		c.OthersInFlight, c.PendingTokens = o.InFlight, c.PendingTokens+o.PendingTokens
		c.TokensHeld += o.TokensHeld
		c.Slowdown = p.slowdowns.Slowdown(now, v.ID, o)
		c.Learned = p.learned.estimates[v.ID]
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
	p.learnStart(now, x, all[i], u.inFlight+others[name].InFlight)
	u.inFlight++
	u.awaitingFirst++
	x.pendingTokens = x.prefillTokens()
	u.pendingTokens += x.pendingTokens
	x.tokensHeld = req.Memory
	chosen := p.candidates[slices.IndexFunc(p.candidates, func(c place.Candidate) bool { return c.Name == name })]
	if chosen.Memory > 0 && chosen.Room() < req.Memory {
		p.g.metrics.withoutRoom.Inc()
	}
	u.tokensHeld += x.tokensHeld
	return all[i], nil
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
	from := len(out)
	for name, u := range p.servers {
		v := load.Usage{Server: name, InFlight: u.inFlight, PendingTokens: u.pendingTokens, SinceLastByte: u.sinceLastByte(now), TokensHeld: u.tokensHeld}
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
	return p.learnUsage(now, out, from)
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
func (p *pool) attemptEnded(server string, firstArrived bool, tokens, held int, r work.Result) {
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
	u.tokensHeld -= held
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

// byteReceived records that bytes came from a server.
func (p *pool) byteReceived(server string, now clock.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if u := p.servers[server]; u != nil {
		u.lastByte, u.unreachable = now, false
	}
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
