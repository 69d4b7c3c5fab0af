package gateway

import (
	"math/rand/v2"
	"slices"
	"sync"

	"shallotrun/core/backend"
	"shallotrun/core/catalog"
	"shallotrun/core/clock"
	"shallotrun/core/place"
	"shallotrun/core/retry"
	"shallotrun/core/work"
)

// pool places the requests of one service and counts what this VM has at each of its servers.
type pool struct {
	g       *Gateway
	service string

	mu     sync.Mutex
	placer place.Placer
	budget retry.Budget
	use    map[string]*use // by server
	cands  []place.Candidate
}

// use is what this VM has at one server.
type use struct {
	own      int        // requests
	starting int        // of them without an answer yet
	heard    clock.Time // when the last byte came from the server
}

// connPart is the part of a server's connections that one VM may use, as a divisor. The server resets what is over its
// limit, and the VMs do not know of each other's connections.
const connPart = 4

func newPool(g *Gateway, service string) *pool {
	return &pool{
		g: g, service: service, use: make(map[string]*use),
		placer: place.Placer{Domain: g.Domain, Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))},
		budget: retry.Budget{Ratio: g.Retries},
	}
}

// pick selects a server among those of the allowed versions, false if there is none with room.
func (p *pool) pick(now clock.Time, ask place.Ask, spec *catalog.Service) (backend.Server, bool) {
	all := p.g.State.Choose(now, p.service, p.g.State.Servers(now, p.service))
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cands = p.cands[:0]
	for _, v := range all {
		c := place.Candidate{Name: v.ID, Domain: v.Domain, Load: work.Load{Slots: v.Slots}}
		if spec != nil && spec.Conns > 0 {
			c.Slots = max(spec.Conns/connPart, 1)
		}
		if u := p.use[v.ID]; u != nil {
			c.Own, c.Starting = u.own, u.starting
		}
		p.cands = append(p.cands, c)
	}
	name, ok := p.placer.Pick(now, ask, p.cands)
	if !ok {
		return backend.Server{}, false
	}
	u := p.use[name]
	if u == nil {
		u = &use{heard: now}
		p.use[name] = u
	}
	u.own++
	u.starting++
	i := slices.IndexFunc(all, func(v backend.Server) bool { return v.ID == name })
	return all[i], true
}

// started records that an attempt has its first answer.
func (p *pool) started(server string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if u := p.use[server]; u != nil {
		u.starting--
	}
}

// ended records the end of an attempt.
func (p *pool) ended(server string, started bool, r work.Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.placer.Report(p.g.Clock.Now(), r)
	u := p.use[server]
	if u == nil {
		return
	}
	if !started {
		u.starting--
	}
	if u.own--; u.own <= 0 {
		delete(p.use, server)
	}
}

// heard records bytes from a server.
func (p *pool) heard(server string, now clock.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if u := p.use[server]; u != nil {
		u.heard = now
	}
}

// silent returns how long nothing came from a server.
func (p *pool) silent(server string, now clock.Time) clock.Span {
	p.mu.Lock()
	defer p.mu.Unlock()
	if u := p.use[server]; u != nil {
		return now.Sub(u.heard)
	}
	return 0
}

// first records a first attempt for the retry budget.
func (p *pool) first(now clock.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget.Attempt(now)
}

// spend takes one further attempt from the retry budget.
func (p *pool) spend(now clock.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budget.Retry(now)
}
