package capacity

import (
	"math"
	"slices"
)

const (
	// minAnswers is the number of answers, after decay, below which a bucket says nothing.
	minAnswers = 4
	// priorAnswers is the weight of the prior: answers that take as long as those of the other servers. With it an estimate whose
	// evidence decays returns to the usual one gradually.
	priorAnswers = 2
	// deviation is the standard deviation of the logarithm of an answer's relative time when 15 in 100 answers differ by maxLog.
	// Differences below the standard error of the mean are ignored.
	deviation = 0.55
	// minSpeed and maxSpeed bound the speed. A server that seems faster than the others gets at most twice as much, so one whose
	// figures lie draws a bounded part of the requests.
	minSpeed, maxSpeed = 0.1, 2
	// tolerance is the logarithm of the growth of the time with the load, relative to the other servers, that still counts as well.
	tolerance = 0.25
	// minSlots bounds the part of the slots that a server is assumed to take well.
	minSlots = 0.1
	// minPeers is the number of servers below which there is nothing to compare with.
	minPeers = 2
)

// Estimate is what a server takes, relative to the other servers of its service. The zero value means that nothing is known.
type Estimate struct {
	Speed float64 // of recent answers, 1 for the usual one, 0 if unknown
	Slots float64 // part of the configured slots up to which answers take no longer than they should, at most 1
}

// Factor returns the part of the usual number of requests that the server takes well, 1 if nothing is known.
func (e Estimate) Factor() float64 {
	if e.Speed <= 0 || e.Slots <= 0 {
		return 1
	}
	return min(e.Speed, max(e.Speed, 1)*e.Slots)
}

// curve is the mean logarithm of the relative time by bucket and of the recent answers, NaN for those that say nothing.
type curve [sums]float64

// Estimates compares the servers of one service. Servers without enough or with invalid evidence are left out of the result.
func Estimates(all map[string]Evidence) map[string]Estimate {
	curves := make(map[string]curve, len(all))
	for id, e := range all {
		if c, ok := e.curve(); ok {
			curves[id] = c
		}
	}
	if len(curves) < minPeers {
		return nil
	}
	usual := usualCurve(curves)
	out := make(map[string]Estimate, len(curves))
	for id, c := range curves {
		if e, ok := c.estimate(all[id], usual); ok {
			out[id] = e
		}
	}
	return out
}

// curve returns the means of the buckets with enough answers, false if there is none.
func (e Evidence) curve() (c curve, ok bool) {
	valid := e.Valid()
	for b := range sums {
		c[b] = math.NaN()
		if valid && e.Counts[b] >= minAnswers*unit {
			c[b], ok = float64(e.Logs[b])/float64(e.Counts[b]), true
		}
	}
	return c, ok
}

// usualCurve returns the median over the servers in each bucket: a minority of slow or lying servers doesn't move it.
func usualCurve(curves map[string]curve) (out curve) {
	for b := range sums {
		var vs []float64
		for _, c := range curves {
			if !math.IsNaN(c[b]) {
				vs = append(vs, c[b])
			}
		}
		out[b] = math.NaN()
		if len(vs) >= minPeers {
			slices.Sort(vs)
			out[b] = (vs[len(vs)/2] + vs[(len(vs)-1)/2]) / 2
		}
	}
	// A bucket that few servers have is compared with the next one below, or else above: the usual server is not expected to get slower.
	for b := 1; b < Buckets; b++ {
		if math.IsNaN(out[b]) {
			out[b] = out[b-1]
		}
	}
	for b := Buckets - 2; b >= 0; b-- {
		if math.IsNaN(out[b]) {
			out[b] = out[b+1]
		}
	}
	return out
}

// estimate returns the speed from the recent answers, and the part of the slots beyond which the server gets slower than at its
// lowest load.
func (c curve) estimate(e Evidence, usual curve) (out Estimate, known bool) {
	relative := func(b int) (v float64, ok bool) {
		if v = c[b] - usual[b]; math.IsNaN(v) {
			return 0, false
		}
		n := float64(e.Counts[b]) / unit
		v = math.Copysign(max(math.Abs(v)-deviation/math.Sqrt(n), 0), v)
		return v * n / (n + priorAnswers), true
	}
	out = Estimate{Speed: 1}
	if v, ok := relative(recent); ok {
		out.Speed, known = min(max(math.Exp(-v), minSpeed), maxSpeed), true
	}
	low, well := math.NaN(), 1.0
	for b := range Buckets {
		if v, ok := relative(b); ok {
			if known = true; math.IsNaN(low) {
				low = v
			}
			// A part of the load in which answers take k times as long is used for 1/k of it. Higher parts are no better.
			well = min(well, math.Exp(-max(v-max(low, 0)-tolerance, 0)))
		}
		out.Slots += well * width(b)
	}
	out.Slots = max(out.Slots, minSlots)
	return out, known
}

// width returns the part of the slots that a bucket stands for.
func width(b int) float64 {
	lower, upper := 0.0, 1.0
	if b > 0 {
		lower = upperEdges[b-1]
	}
	if b < len(upperEdges) {
		upper = upperEdges[b]
	}
	return upper - lower
}
