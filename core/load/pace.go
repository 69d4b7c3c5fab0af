package load

import (
	"math"

	"shallotrun/core/clock"
)

const (
	// paceMemory is the time after which a stream weighs a third in the pace of its server. A server that was slow and
	// recovers gets requests again after a few of these.
	paceMemory = 20 * clock.Second
	// paceMost bounds what one stream says, as a logarithm: a tenth or ten times the usual pace.
	paceMost = 2.3
	// paceDoubt is the number of streams at the usual pace that are added to those of a server, so that a few say little.
	paceDoubt = 2
	// usualMemory is the number of streams that the usual pace of a model follows.
	usualMemory = 200
)

// Paces learns how much slower than the others a server generates, from the streams of this VM and, through Use, of the
// fleet: one VM of a large fleet meets a server once a minute. The load that this answers is a few servers that generate
// several times as slowly as the others while they look idle. The zero value is ready.
type Paces struct {
	usual   map[string]*usualPace // by model
	servers map[string]*serverPace
}

// usualPace is the mean logarithm of the milliseconds between events, by model: models differ more than servers do.
type usualPace struct{ log, count float64 }

// serverPace is a decayed sum of logarithms of how much slower than usual streams were.
type serverPace struct {
	at         clock.Time
	sum, count float64
}

// Add takes the milliseconds between the events of a stream.
func (p *Paces) Add(now clock.Time, server, model string, ms float64) {
	if ms <= 0 {
		return
	}
	if p.usual == nil {
		p.usual, p.servers = make(map[string]*usualPace), make(map[string]*serverPace)
	}
	u := p.usual[model]
	if u == nil {
		u = &usualPace{}
		p.usual[model] = u
	}
	u.count = min(u.count+1, usualMemory)
	u.log += (math.Log(ms) - u.log) / u.count
	s := p.servers[server]
	if s == nil {
		s = &serverPace{at: now}
		p.servers[server] = s
	}
	s.decay(now)
	s.sum += min(max(math.Log(ms)-u.log, -paceMost), paceMost)
	s.count++
}

// Report returns the sum and the number of streams that Use carries, for a server; 0 if there are none.
func (p *Paces) Report(now clock.Time, server string) (slow, paced int) {
	s := p.servers[server]
	if s == nil {
		return 0, 0
	}
	s.decay(now)
	return int(math.Round(100 * s.sum)), int(math.Round(s.count))
}

// Known returns the servers about which there is something to report, and forgets the others.
func (p *Paces) Known(now clock.Time) (out []string) {
	for name, s := range p.servers {
		s.decay(now)
		if s.count < 0.5 {
			delete(p.servers, name)
			continue
		}
		out = append(out, name)
	}
	return out
}

// Slowness returns how many times slower than usual a server is, by this VM's streams and those of the others; 1 if that is not
// known.
func (p *Paces) Slowness(now clock.Time, server string, others Use) float64 {
	sum, count := float64(others.Slow)/100, float64(others.Paced)
	if s := p.servers[server]; s != nil {
		s.decay(now)
		sum, count = sum+s.sum, count+s.count
	}
	return math.Exp(sum / (count + paceDoubt))
}

func (s *serverPace) decay(now clock.Time) {
	f := math.Exp(-float64(now.Sub(s.at)) / float64(paceMemory))
	s.sum, s.count, s.at = s.sum*f, s.count*f, now
}
