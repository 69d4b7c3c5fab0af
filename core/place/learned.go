package place

import (
	"math"
	"slices"

	"shallotrun/core/clock"
)

// slotsMargin is the multiple of what a server takes well from which it counts as full. The draw keeps it below, and a limit on counts
// that lag would let the VMs stop and start together.
const slotsMargin = 2

// pickLearned is pickAffinity with servers drawn in proportion to what they were learned to take. What was learned only changes how
// often a server is drawn: if it decided between two, all VMs would choose the same server, as they read the same sums.
func (p *Placer) pickLearned(now clock.Time, pol LearnedCapacity, req Request, in []Candidate) Candidate {
	scaled := slices.Clone(in)
	for i := range scaled {
		c := &scaled[i]
		c.Load.Slots = int(math.Ceil(float64(c.Load.Slots) * min(slotsMargin*c.Learned.Factor(), 1)))
	}
	return p.pickBest(now, pol.CacheAffinity, req, scaled, p.drawTwo(fewestOwnScaled(scaled)))
}

// fewestOwnScaled is fewestOwn with the own requests in proportion to what the servers take.
func fewestOwnScaled(in []Candidate) []Candidate {
	own := func(c Candidate) int { return int(float64(c.OwnInFlight) / c.Learned.Factor()) }
	least := own(in[0])
	for _, c := range in {
		least = min(least, own(c))
	}
	return prefer(prefer(in, 0, func(c Candidate) bool { return own(c) <= least+1 }), 1, func(c Candidate) bool { return own(c) == least })
}

// drawTwo is sampleTwo with probabilities in proportion to what the servers take.
func (p *Placer) drawTwo(in []Candidate) []Candidate {
	if len(in) <= 1 {
		return in
	}
	i := p.drawOne(in, -1)
	return []Candidate{in[i], in[p.drawOne(in, i)]}
}

// drawOne returns the index of a candidate other than skip.
func (p *Placer) drawOne(in []Candidate, skip int) int {
	sum := 0.0
	for i, c := range in {
		if i != skip {
			sum += c.Learned.Factor()
		}
	}
	at, last := p.Rand.Float64()*sum, 0
	for i, c := range in {
		if i == skip {
			continue
		}
		last = i
		if at -= c.Learned.Factor(); at < 0 {
			break
		}
	}
	return last
}
