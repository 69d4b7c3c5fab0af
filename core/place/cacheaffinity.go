package place

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"

	"shallotrun/core/clock"
)

// Probabilities that a prefix is in a server's prefix cache. cachedRecent is for the server to which this VM sent the prefix
// last, if that was within recentUse. cachedFirst and cachedSecond are for the first and second server in the rendezvous order,
// to which the other VMs send the prefix while the load allows.
const (
	cachedRecent = 0.95
	cachedFirst  = 0.8
	cachedSecond = 0.3
	recentUse    = 5 * clock.Minute
)

// sessionHotGap is the mean gap between turns below which a session is hot, in place of CacheAffinity.HotGap. The turns of a
// session are usually further apart, since a person reads and writes between them.
const sessionHotGap = 4 * clock.Second

// prefillWeight is the cost of a millisecond of prefill that a cache hit would save, relative to a millisecond of waiting: the
// prefill also delays the next requests of the server, and takes cache memory from other prefixes.
const prefillWeight = 2

// pickAffinity scores the servers that may have the prefix cached, and the better of two drawn at random from those with the
// fewest own requests. Only these two are compared by load, because all VMs see the same lagging reports and would otherwise
// send everything to the same server. A hot prefix is soon in every cache, and sending it to one server would overload that
// server before the reports show it, so it is placed by load alone.
func (p *Placer) pickAffinity(now clock.Time, pol CacheAffinity, req Request, in []Candidate) Candidate {
	return p.pickBest(now, pol, req, in, p.sampleTwo(fewestOwn(in)))
}

// pickBest returns the best of the drawn servers and those that may have the prefix cached.
func (p *Placer) pickBest(now clock.Time, pol CacheAffinity, req Request, in, drawn []Candidate) Candidate {
	pol = pol.defaults()
	wait := func(c Candidate) float64 { return p.wait(pol, c) }
	prefill := prefillWeight * pol.PrefillTime * float64(req.Tokens)
	best := p.lowest(drawn, func(c Candidate) float64 { return p.coarseWait(pol, c) })
	k, ok := req.key()
	gap := pol.HotGap
	if req.Session != "" {
		gap = sessionHotGap
	}
	if !ok || p.affinities.isHot(k, now, gap) {
		return best
	}
	score := wait(best) + prefill*(1-p.cacheProbability(now, k, best.Name))*p.slowdown(best)
	try := func(c Candidate, probability float64) {
		probability = max(probability, p.cacheProbability(now, k, c.Name))
		if s := wait(c) + prefill*(1-probability)*p.slowdown(c); s < score {
			best, score = c, s
		}
	}
	first, second := rendezvousTop2(k, in)
	try(in[first], cachedFirst)
	try(in[second], cachedSecond)
	for _, c := range in {
		if p.cacheProbability(now, k, c.Name) > 0 {
			try(c, 0)
		}
	}
	return best
}

// minServiceTime is the time of a short request in milliseconds. It is part of each wait, so that a slow server has the longer
// wait even if both servers are idle.
const minServiceTime = 10

// fewestOwn returns the candidates with the fewest own requests, and those with one more if there is only one of them.
// The number of own requests is the only figure that is exact and does not lag.
func fewestOwn(in []Candidate) []Candidate {
	least := in[0].OwnInFlight
	for _, c := range in {
		least = min(least, c.OwnInFlight)
	}
	return prefer(prefer(in, 0, func(c Candidate) bool { return c.OwnInFlight <= least+1 }), 1, func(c Candidate) bool { return c.OwnInFlight == least })
}

// coarseWait is wait for servers that were drawn by own requests. It includes the number of requests in lagging reports only
// for a server that seems full: below that, the differences between reports predict the load at the arrival of the request
// worse than a random choice.
func (p *Placer) coarseWait(pol CacheAffinity, c Candidate) float64 {
	w := p.wait(pol, c)
	if slots := p.slots(c); p.estimate(c) < slots-1 {
		w = (minServiceTime + pol.loadDelay(float64(c.AwaitingFirstToken)/slots) + pol.PrefillTime*float64(c.PendingTokens)) * p.slowdown(c)
	}
	return w
}

// slots returns the number of requests that a server runs at a time, at least 1.
func (p *Placer) slots(c Candidate) float64 {
	if c.Load.Slots > 0 {
		return float64(c.Load.Slots)
	}
	return float64(max(c.Slots, 1))
}

// wait returns the expected milliseconds until a slot of the server starts the request. A server with free slots also slows
// down a little with its load, which breaks ties towards the server with the lower load.
func (p *Placer) wait(pol CacheAffinity, c Candidate) float64 {
	n := p.estimate(c)
	slots := p.slots(c)
	serviceTime := p.serviceTime.valueOr(float64(pol.ServiceTime))
	w := minServiceTime + pol.loadDelay(n/slots) + pol.PrefillTime*float64(c.PendingTokens)
	if n >= slots {
		w += (n - slots + 1) * serviceTime / slots
	}
	w *= p.slowdown(c)
	if c.Domain != p.Domain && p.Domain != "" {
		w += float64(pol.CrossDomainDelay)
	}
	return w
}

// slowdown returns the factor by which a server generates more slowly than the others, between 1 and 10.
func (p *Placer) slowdown(c Candidate) float64 {
	if c.Slowdown > 0 {
		return min(max(c.Slowdown, 1), 10)
	}
	s := p.servers[c.Name]
	if s == nil || s.tokenTime.count < 5 || p.tokenTime.value <= 0 {
		return 1
	}
	return min(max(s.tokenTime.value/p.tokenTime.value, 1), 10)
}

// cacheProbability returns the probability that a prefix is in a server's cache, from this VM's own requests only.
func (p *Placer) cacheProbability(now clock.Time, k uint64, name string) float64 {
	if h, ok := p.affinities.get(k); ok && h.server == name && now.Sub(h.usedAt) < recentUse {
		return cachedRecent
	}
	return 0
}

// rendezvousTop2 returns the indices of the first and second candidate for a key by rendezvous hashing. With one candidate both
// are 0.
func rendezvousTop2(k uint64, in []Candidate) (first, second int) {
	var buf [8]byte
	binary.LittleEndian.PutUint64(buf[:], k)
	d := xxhash.New()
	var top, next uint64
	first, second = -1, -1
	for i, c := range in {
		d.Reset()
		_, _ = d.Write(buf[:])
		_, _ = d.WriteString(c.Name)
		switch h := d.Sum64(); {
		case first < 0 || h > top:
			second, next = first, top
			first, top = i, h
		case second < 0 || h > next:
			second, next = i, h
		}
	}
	return first, max(second, 0)
}

// key returns the affinity key of the request, false if it has neither session nor prefix.
func (a Request) key() (uint64, bool) {
	switch {
	case a.Session != "":
		return xxhash.Sum64String(a.Session), true
	case a.Prefix != 0:
		return a.Prefix, true
	}
	return 0, false
}

func (a CacheAffinity) defaults() CacheAffinity {
	if a.PrefillTime == 0 {
		a.PrefillTime = 0.25
	}
	if a.ServiceTime == 0 {
		a.ServiceTime = 3 * clock.Second
	}
	if a.HotGap == 0 {
		a.HotGap = 20 * clock.Second
	}
	if a.CrossDomainDelay == 0 {
		a.CrossDomainDelay = 3 * clock.Millisecond
	}
	return a
}

// loadDelay returns the milliseconds that other running requests add to a prefill, by the fraction of slots in use.
func (a CacheAffinity) loadDelay(used float64) float64 { return 100 * math.Min(used, 1) }
