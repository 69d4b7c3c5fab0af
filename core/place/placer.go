package place

import (
	"math/rand/v2"
	"slices"

	"shallotrun/core/clock"
	"shallotrun/core/work"
)

// Placer selects servers and keeps statistics of the results. Set the exported fields before the first call.
type Placer struct {
	Policy Policy // nil means CacheAffinity{}
	Domain string // failure domain of this VM
	Rand   *rand.Rand
	// MaxAffinities is the number of sessions and prefixes whose last server is kept, 0 means 10,000.
	MaxAffinities int

	servers     map[string]*server
	affinities  affinities
	tokenTime   average // of all servers, milliseconds for each generated token
	serviceTime average // of all servers, milliseconds for each request
	turns       int
	lastSweep   clock.Time
}

// Pick selects a server for a request and records the start of an attempt. It returns false if no candidate is eligible.
func (p *Placer) Pick(now clock.Time, req Request, all []Candidate) (string, bool) {
	p.init()
	in := p.eligible(now, req, all)
	if len(in) == 0 {
		return "", false
	}
	c := p.choose(now, req, in)
	p.server(c.Name, now).picked(now)
	if k, ok := req.key(); ok {
		p.affinities.put(k, c.Name, now)
	}
	return c.Name, true
}

// Report records the result of an attempt that Pick selected the server for.
func (p *Placer) Report(now clock.Time, r work.Result) {
	p.init()
	p.sweep(now)
	s := p.server(r.Server, now)
	s.report(now, r)
	if r.Failed || r.Refused || r.Total <= 0 {
		return
	}
	p.serviceTime.add(float64(r.Total))
	if r.Tokens > 1 && r.Total > r.First {
		pace := float64(r.Total-r.First) / float64(r.Tokens)
		s.tokenTime.add(pace)
		p.tokenTime.add(pace)
	}
}

func (p *Placer) init() {
	if p.servers != nil {
		return
	}
	if p.Policy == nil {
		p.Policy = CacheAffinity{}
	}
	if p.Rand == nil {
		p.Rand = rand.New(rand.NewPCG(1, 2))
	}
	p.servers = make(map[string]*server)
	p.affinities.limit = p.MaxAffinities
	if p.MaxAffinities == 0 {
		p.affinities.limit = 10000
	}
}

func (p *Placer) choose(now clock.Time, req Request, in []Candidate) Candidate {
	switch pol := p.Policy.(type) {
	case Random:
		return in[p.Rand.IntN(len(in))]
	case RoundRobin:
		p.turns++
		return in[p.turns%len(in)]
	case LeastConnections:
		return p.lowest(in, func(c Candidate) float64 { return float64(c.OwnInFlight) })
	case TwoChoices:
		return p.lowest(p.sampleTwo(in), func(c Candidate) float64 { return p.estimate(c) })
	case CacheAffinity:
		return p.pickAffinity(now, pol, req, in)
	case LearnedCapacity:
		return p.pickLearned(now, pol, req, in)
	}
	return in[0]
}

// eligible returns the candidates that may run the request: not excluded, not leaving and with a free slot. Among these it
// prefers servers that are not known to lack the version, that can be reached, that are not ejected, that did not refuse lately, and
// whose prompt memory has room for the request.
func (p *Placer) eligible(now clock.Time, req Request, all []Candidate) []Candidate {
	in := make([]Candidate, 0, len(all))
	for _, c := range all {
		full := c.Slots > 0 && c.OwnInFlight >= c.Slots
		if !full && !(c.HasLoad && c.Load.Leaving) && !slices.Contains(req.Exclude, c.Name) {
			in = append(in, c)
		}
	}
	if name := req.Model + "@" + req.Version; req.Model != "" && req.Version != "" {
		in = prefer(in, 0, func(c Candidate) bool {
			return !c.HasLoad || len(c.Load.Models) == 0 || slices.Contains(c.Load.Models, name)
		})
	}
	// A server that could not be reached or refused lately is skipped while any other remains. For other failures at most half
	// of the candidates are ejected: if more than half fail, the cause is probably not the servers.
	in = prefer(in, 0, func(c Candidate) bool { return !p.unreachable(c.Name, now) })
	in = prefer(in, (len(all)-1)/2, func(c Candidate) bool { return !p.ejected(c.Name, now) })
	in = prefer(in, 0, func(c Candidate) bool { return !p.refusing(c.Name, now) })
	return withRoom(in, req.Memory)
}

// prefer returns the candidates that pass, or all of them if at most floor pass.
func prefer(in []Candidate, floor int, pass func(Candidate) bool) []Candidate {
	out := make([]Candidate, 0, len(in))
	for _, c := range in {
		if pass(c) {
			out = append(out, c)
		}
	}
	if len(out) <= min(floor, len(in)-1) {
		return in
	}
	return out
}

// lowest returns the candidate with the lowest value, and breaks ties at random.
func (p *Placer) lowest(in []Candidate, value func(Candidate) float64) Candidate {
	best, low, ties := in[0], value(in[0]), 1
	for _, c := range in[1:] {
		switch v := value(c); {
		case v < low:
			best, low, ties = c, v, 1
		case v == low:
			ties++
			if p.Rand.IntN(ties) == 0 {
				best = c
			}
		}
	}
	return best
}

// sampleTwo returns two different candidates at random, or all of them if there are fewer.
func (p *Placer) sampleTwo(in []Candidate) []Candidate {
	if len(in) <= 2 {
		return in
	}
	i := p.Rand.IntN(len(in))
	j := p.Rand.IntN(len(in) - 1)
	if j >= i {
		j++
	}
	return []Candidate{in[i], in[j]}
}
