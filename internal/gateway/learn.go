package gateway

import (
	"shallotrun/core/backend"
	"shallotrun/core/capacity"
	"shallotrun/core/catalog"
	"shallotrun/core/clock"
	"shallotrun/core/load"
	"shallotrun/core/place"
	"shallotrun/core/work"
)

const (
	// estimateInterval is the time between two estimates of the capacity of a service's servers. The sums are not sent more often.
	estimateInterval = 250 * clock.Millisecond
	// lowFactor and recoveredFactor are the parts of the usual capacity below which a server is logged, and above which it has recovered.
	lowFactor, recoveredFactor = 0.5, 0.75
)

// policy returns the policy of placement.
func (g *Gateway) policy() place.Policy {
	affinity := place.CacheAffinity{PrefillTime: defaultPrefillTime}
	if g.Learn {
		return place.LearnedCapacity{CacheAffinity: affinity}
	}
	return affinity
}

// learned is what a pool has learned about its servers.
type learned struct {
	learner   capacity.Learner
	estimates map[string]capacity.Estimate // by server
	at        clock.Time                   // of the estimates
	low       map[string]bool              // servers that were logged as low
}

// estimate renews the estimates of the servers from the evidence of this VM and the others.
func (p *pool) estimate(now clock.Time, servers []backend.Server) {
	if !p.g.Learn {
		return
	}
	var others map[string]load.Usage
	if v := p.g.State.UsageByOthers(now); v != nil {
		others = v.Uses
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.learned.estimates != nil && now.Sub(p.learned.at) < estimateInterval {
		return
	}
	all := make(map[string]capacity.Evidence)
	for _, v := range servers {
		e := p.learned.learner.Report(now, v.ID)
		if e.Born != v.Born {
			e = capacity.Evidence{}
		}
		if o := others[v.ID].Evidence; o.Born == v.Born {
			e = e.Plus(o)
		}
		all[v.ID] = e
	}
	p.learned.at, p.learned.estimates = now, capacity.Estimates(all)
	if p.learned.estimates == nil {
		p.learned.estimates = make(map[string]capacity.Estimate)
	}
	p.logLow(all)
}

// logLow logs the servers whose capacity fell below half of the usual one or recovered, and observes the capacity of all.
func (p *pool) logLow(all map[string]capacity.Evidence) {
	low := make(map[string]bool)
	for id := range all {
		e := p.learned.estimates[id]
		f := e.Factor()
		p.g.metrics.capacity.WithLabelValues(p.service).Observe(f)
		if low[id] = f < lowFactor || p.learned.low[id] && f < recoveredFactor; low[id] != p.learned.low[id] {
			p.g.Log.Info().Str("service", p.service).Str("server", id).Bool("low", low[id]).Float64("speed", e.Speed).Float64("slots", e.Slots).
				Msg("gateway: the learned capacity of a server fell below half of that of the others, or recovered")
		}
	}
	p.learned.low = low
}

// learnStart records the start of an attempt. p.mu is locked.
func (p *pool) learnStart(now clock.Time, x *exchange, v backend.Server, inFlight int) {
	if !p.g.Learn {
		return
	}
	class, size := x.route.Name+" "+x.model, len(x.request.Body)
	if x.route.Kind == catalog.Streaming {
		class, size = "stream "+x.model, int(x.uncachedTokens())
	}
	x.learning = p.learned.learner.Start(now, capacity.Request{
		Server: capacity.Server{ID: v.ID, Born: v.Born}, Class: class, Size: size, InFlight: inFlight, Slots: v.Slots,
	})
}

// learnEnd records the first event of an attempt, or its end. Only the first call for an attempt counts.
func (x *exchange) learnEnd(now clock.Time, r work.Result) {
	if !x.g.Learn {
		return
	}
	took := r.First
	if took <= 0 {
		took = now.Sub(x.attemptStart)
	}
	x.pool.mu.Lock()
	defer x.pool.mu.Unlock()
	x.pool.learned.learner.End(now, x.server.ID, x.learning, took, r.Failed || r.Refused)
}

// learnUsage appends the evidence to this VM's usage of its servers, with an entry for those that have no other usage. p.mu is locked.
func (p *pool) learnUsage(now clock.Time, out []load.Usage, from int) []load.Usage {
	if !p.g.Learn {
		return out
	}
	have := make(map[string]bool)
	for i := from; i < len(out); i++ {
		out[i].Evidence = p.learned.learner.Report(now, out[i].Server)
		have[out[i].Server] = true
	}
	for _, id := range p.learned.learner.Servers(now) {
		if e := p.learned.learner.Report(now, id); !have[id] && !e.Empty() {
			out = append(out, load.Usage{Server: id, SinceLastByte: noByteSpan, Evidence: e})
		}
	}
	return out
}
