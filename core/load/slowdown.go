package load

import (
	"math"

	"shallotrun/core/clock"
)

const (
	// slowdownTimeConstant is the time constant of the exponential decay of a stream's weight in the slowdown of its server.
	// A server that was slow and has recovered gets requests again after a few time constants.
	slowdownTimeConstant = 20 * clock.Second
	// maxLogSlowdown bounds the logarithm of one stream's slowdown: a tenth of the usual time between events, or ten times it.
	maxLogSlowdown = 2.3
	// priorStreams is the weight of the prior, in streams at the usual speed: a few streams alone change the estimate little.
	priorStreams = 2
	// baselineStreams is the number of streams over which the baseline of a model is averaged.
	baselineStreams = 200
)

// Slowdowns estimates how much slower than usual each server generates, from the streams of this VM and, by their Usage, of the
// other VMs: one VM of a large fleet uses a server about once a minute, too seldom for an estimate of its own. It finds the
// few servers that generate several times as slowly as the others while their load looks low. The zero value is ready.
type Slowdowns struct {
	baselines map[string]*baseline // by model
	servers   map[string]*slowdown // by server
}

// baseline is the moving average of the logarithm of the milliseconds between events of one model. Each model has its own,
// because models differ more than servers do.
type baseline struct{ meanLog, count float64 }

// slowdown is the exponentially decayed sum of the logarithms of the slowdowns of a server's streams, and their decayed number.
type slowdown struct {
	updatedAt     clock.Time
	logSum, count float64
}

// Add records a stream. ms is its mean time between events in milliseconds; a stream with ms <= 0 is ignored.
func (p *Slowdowns) Add(now clock.Time, server, model string, ms float64) {
	if ms <= 0 {
		return
	}
	if p.baselines == nil {
		p.baselines, p.servers = make(map[string]*baseline), make(map[string]*slowdown)
	}
	u := p.baselines[model]
	if u == nil {
		u = &baseline{}
		p.baselines[model] = u
	}
	u.count = min(u.count+1, baselineStreams)
	u.meanLog += (math.Log(ms) - u.meanLog) / u.count
	s := p.servers[server]
	if s == nil {
		s = &slowdown{updatedAt: now}
		p.servers[server] = s
	}
	s.decay(now)
	s.logSum += min(max(math.Log(ms)-u.meanLog, -maxLogSlowdown), maxLogSlowdown)
	s.count++
}

// Report returns this VM's figures for a server as they are sent in Usage: the sum of the logarithms of the slowdowns, in
// hundredths, and the number of streams. Both are 0 if there are none.
func (p *Slowdowns) Report(now clock.Time, server string) (logSlowdown, streams int) {
	s := p.servers[server]
	if s == nil {
		return 0, 0
	}
	s.decay(now)
	return int(math.Round(100 * s.logSum)), int(math.Round(s.count))
}

// Servers returns the servers with at least half a stream after decay, in no particular order, and drops the others.
func (p *Slowdowns) Servers(now clock.Time) (out []string) {
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

// Slowdown returns the factor by which a server is slower than usual, from this VM's streams and those of the other VMs; 1 if
// there are none.
func (p *Slowdowns) Slowdown(now clock.Time, server string, others Usage) float64 {
	logSum, count := float64(others.LogSlowdown)/100, float64(others.Streams)
	if s := p.servers[server]; s != nil {
		s.decay(now)
		logSum, count = logSum+s.logSum, count+s.count
	}
	return math.Exp(logSum / (count + priorStreams))
}

// decay scales the sum and the number of streams by the weight that they have left at now.
func (s *slowdown) decay(now clock.Time) {
	f := math.Exp(-float64(now.Sub(s.updatedAt)) / float64(slowdownTimeConstant))
	s.logSum, s.count, s.updatedAt = s.logSum*f, s.count*f, now
}
