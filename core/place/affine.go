package place

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"

	"shallotrun/core/clock"
)

// Probability that a prefix is in a server's cache, by what this VM knows. The first is for a server that this
// VM used for the prefix within homeFresh. The others are for the first and second server in the rendezvous
// order, where the other VMs send the prefix while the load allows.
const (
	cachedSeen   = 0.95
	cachedFirst  = 0.8
	cachedSecond = 0.3
	homeFresh    = 5 * clock.Minute
)

// sessionGap is the gap below which a session counts as being in constant use. Its turns are usually further apart,
// since a person reads and writes between them.
const sessionGap = 4 * clock.Second

// rereadFactor is the weight of reading cached tokens again against waiting for as long: it also holds up the requests that come
// to the server next, and takes memory from other parts.
const rereadFactor = 2

// affine scores the servers that may hold the prefix and two drawn at random from those with the fewest own requests.
// Only a draw of two is compared by load, because all VMs see the same lagging reports and would otherwise send
// everything to the same server. A prefix in constant use is soon in every cache, and following it would overload its
// home before the reports show it, so it is placed by load alone.
func (p *Placer) affine(now clock.Time, pol Affine, ask Ask, in []Candidate) Candidate {
	pol = pol.defaults()
	wait := func(c Candidate) float64 { return p.wait(pol, c) }
	prefill := rereadFactor * pol.Prefill * float64(ask.Tokens)
	best := p.least(p.draw(idlest(in)), func(c Candidate) float64 { return p.rough(pol, c) })
	k, ok := ask.key()
	gap := pol.Hot
	if ask.Session != "" {
		gap = sessionGap
	}
	if !ok || p.homes.hot(k, now, gap) {
		return best
	}
	score := wait(best) + prefill*(1-p.cached(now, k, best.Name))*p.slowness(best)
	try := func(c Candidate, probability float64) {
		probability = max(probability, p.cached(now, k, c.Name))
		if s := wait(c) + prefill*(1-probability)*p.slowness(c); s < score {
			best, score = c, s
		}
	}
	first, second := order(k, in)
	try(in[first], cachedFirst)
	try(in[second], cachedSecond)
	for _, c := range in {
		if p.cached(now, k, c.Name) > 0 {
			try(c, 0)
		}
	}
	return best
}

// shortest is the time of a short request in milliseconds: a slow server is the worse choice also while it is idle.
const shortest = 10

// idlest returns the candidates with the fewest own requests, and those with one more if there is only one of them.
// Own requests are the only exact and current figure.
func idlest(in []Candidate) []Candidate {
	least := in[0].Own
	for _, c := range in {
		least = min(least, c.Own)
	}
	return prefer(prefer(in, 0, func(c Candidate) bool { return c.Own <= least+1 }), 1, func(c Candidate) bool { return c.Own == least })
}

// rough is wait for servers that were drawn by own requests: differences in lagging reports count only once a server
// seems full, since below that they say less than chance about the moment when the request arrives.
func (p *Placer) rough(pol Affine, c Candidate) float64 {
	w := p.wait(pol, c)
	if slots := p.slots(c); p.estimate(c) < slots-1 {
		w = (shortest + pol.loaded(float64(c.Starting)/slots) + pol.Prefill*float64(c.Unread)) * p.slowness(c)
	}
	return w
}

// slots returns the number of requests that a server runs at a time.
func (p *Placer) slots(c Candidate) float64 {
	if c.Load.Slots > 0 {
		return float64(c.Load.Slots)
	}
	return float64(max(c.Slots, 1))
}

// wait returns the expected milliseconds until a slot of the server starts the request. Below its slots a server
// still slows down a little with its load, which also breaks ties towards the emptier one.
func (p *Placer) wait(pol Affine, c Candidate) float64 {
	n := p.estimate(c)
	slots := p.slots(c)
	service := p.service.or(float64(pol.Service))
	w := shortest + pol.loaded(n/slots) + pol.Prefill*float64(c.Unread)
	if n >= slots {
		w += (n - slots + 1) * service / slots
	}
	w *= p.slowness(c)
	if c.Domain != p.Domain && p.Domain != "" {
		w += float64(pol.Far)
	}
	return w
}

// slowness returns how much slower than the others a server generates, between 1 and 10.
func (p *Placer) slowness(c Candidate) float64 {
	if c.Slow > 0 {
		return min(max(c.Slow, 1), 10)
	}
	s := p.servers[c.Name]
	if s == nil || s.speed.count < 5 || p.speed.value <= 0 {
		return 1
	}
	return min(max(s.speed.value/p.speed.value, 1), 10)
}

// cached returns the probability that this VM's own memory gives to a prefix being on a server.
func (p *Placer) cached(now clock.Time, k uint64, name string) float64 {
	if h, ok := p.homes.get(k); ok && h.server == name && now.Sub(h.at) < homeFresh {
		return cachedSeen
	}
	return 0
}

// order returns the first and second candidate for a key by rendezvous hashing.
func order(k uint64, in []Candidate) (first, second int) {
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

// key returns the hash under which the request's prefix is found, false when it has none.
func (a Ask) key() (uint64, bool) {
	switch {
	case a.Session != "":
		return xxhash.Sum64String(a.Session), true
	case a.Prefix != 0:
		return a.Prefix, true
	}
	return 0, false
}

func (a Affine) defaults() Affine {
	if a.Prefill == 0 {
		a.Prefill = 0.25
	}
	if a.Service == 0 {
		a.Service = 3 * clock.Second
	}
	if a.Hot == 0 {
		a.Hot = 20 * clock.Second
	}
	if a.Far == 0 {
		a.Far = 3 * clock.Millisecond
	}
	return a
}

// loaded returns the milliseconds that other running requests add to a prefill, by the used part of the slots.
func (a Affine) loaded(used float64) float64 { return 100 * math.Min(used, 1) }
