package place

import (
	"math/rand/v2"
	"slices"

	"shallotrun/core/clock"
	"shallotrun/core/work"
)

// Placer selects servers and learns from the results. Set the exported fields before the first call.
type Placer struct {
	Policy Policy // nil means Affine{}
	Domain string // failure domain of this VM
	Rand   *rand.Rand
	// Memory is the number of sessions and prefixes whose server is remembered, 0 means 10,000.
	Memory int

	servers map[string]*server
	homes   homes
	speed   average // of all servers, milliseconds for each generated token
	service average // of all servers, milliseconds for each request
	turn    int
	swept   clock.Time
}

// Pick selects a server, false when no candidate has room.
func (p *Placer) Pick(now clock.Time, ask Ask, all []Candidate) (string, bool) {
	p.init()
	in := p.eligible(now, ask, all)
	if len(in) == 0 {
		return "", false
	}
	c := p.choose(now, ask, in)
	p.server(c.Name, now).picked(now)
	if k, ok := ask.key(); ok {
		p.homes.put(k, c.Name, now)
	}
	return c.Name, true
}

// Report records the result of an attempt.
func (p *Placer) Report(now clock.Time, r work.Result) {
	p.init()
	p.sweep(now)
	s := p.server(r.Server, now)
	s.report(now, r)
	if r.Failed || r.Refused || r.Total <= 0 {
		return
	}
	p.service.add(float64(r.Total))
	if r.Tokens > 1 && r.Total > r.First {
		pace := float64(r.Total-r.First) / float64(r.Tokens)
		s.speed.add(pace)
		p.speed.add(pace)
	}
}

func (p *Placer) init() {
	if p.servers != nil {
		return
	}
	if p.Policy == nil {
		p.Policy = Affine{}
	}
	if p.Rand == nil {
		p.Rand = rand.New(rand.NewPCG(1, 2))
	}
	p.servers = make(map[string]*server)
	p.homes.limit = p.Memory
	if p.Memory == 0 {
		p.homes.limit = 10000
	}
}

func (p *Placer) choose(now clock.Time, ask Ask, in []Candidate) Candidate {
	switch pol := p.Policy.(type) {
	case Random:
		return in[p.Rand.IntN(len(in))]
	case Rotate:
		p.turn++
		return in[p.turn%len(in)]
	case Least:
		return p.least(in, func(c Candidate) float64 { return float64(c.Own) })
	case Choices:
		return p.least(p.draw(in), func(c Candidate) float64 { return p.estimate(c) })
	case Affine:
		return p.affine(now, pol, ask, in)
	}
	return in[0]
}

// eligible returns the candidates that may run the request: not tried, not leaving, with room, with the version
// loaded as far as is known, and not ejected.
func (p *Placer) eligible(now clock.Time, ask Ask, all []Candidate) []Candidate {
	var in []Candidate
	for _, c := range all {
		full := c.Slots > 0 && c.Own >= c.Slots
		if !full && !(c.Known && c.Load.Leaving) && !slices.Contains(ask.Exclude, c.Name) {
			in = append(in, c)
		}
	}
	if name := ask.Model + "@" + ask.Version; ask.Model != "" && ask.Version != "" {
		in = prefer(in, 0, func(c Candidate) bool {
			return !c.Known || len(c.Load.Models) == 0 || slices.Contains(c.Load.Models, name)
		})
	}
	// A server that refused lately or could not be reached is passed over while any other remains. For other failures the
	// limit is half of the candidates: when more fail than that, the fault is hardly the servers' own.
	in = prefer(in, 0, func(c Candidate) bool { return !p.down(c.Name, now) })
	in = prefer(in, (len(all)-1)/2, func(c Candidate) bool { return !p.ejected(c.Name, now) })
	return prefer(in, 0, func(c Candidate) bool { return !p.refusing(c.Name, now) })
}

// prefer returns the candidates that pass, or all of them when no more than least pass.
func prefer(in []Candidate, least int, pass func(Candidate) bool) []Candidate {
	var out []Candidate
	for _, c := range in {
		if pass(c) {
			out = append(out, c)
		}
	}
	if len(out) <= min(least, len(in)-1) {
		return in
	}
	return out
}

// least returns the candidate with the lowest value, ties at random.
func (p *Placer) least(in []Candidate, value func(Candidate) float64) Candidate {
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

// draw returns two different candidates at random, or all of them when there are fewer.
func (p *Placer) draw(in []Candidate) []Candidate {
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
