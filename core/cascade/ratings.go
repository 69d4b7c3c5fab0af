package cascade

import (
	"math"

	"shallotrun/core/clock"
)

const (
	// maxSlack is the number of ratings below the target that are counted one by one.
	maxSlack = 20
	// Memory in ratings. A kind has to notice a changed model within a few dozen requests; the threshold needs
	// more ratings than that, or its noise shows in the quality.
	kindMemory  = 25
	stageMemory = 300
	soonMemory  = 20
	// The ratings of the whole stage count like this many ratings of a kind.
	priorWeight = 3
	// The threshold stays at the target until this many ratings are known.
	enough = 20
	// The accepted answers average this many points above the target, against the noise of the threshold.
	margin = 0.3
)

// ratings are the recent ratings of one stage, relative to the target. Old ones count less.
type ratings struct {
	weight [maxSlack + 2]float32 // far below the target, -maxSlack to -1, at least the target
	low    float64               // weighted sum of those far below
	high   float64               // weighted sum of those at or above the target
	last   clock.Time
}

// add records a rating relative to the target.
func (r *ratings) add(now clock.Time, half clock.Span, memory float64, points int) {
	r.fade(now, half)
	r.scale(1 - 1/memory)
	switch {
	case points >= 0:
		r.weight[maxSlack+1]++
		r.high += float64(points)
	case points < -maxSlack:
		r.weight[0]++
		r.low += float64(points)
	default:
		r.weight[points+maxSlack+1]++
	}
}

// fade lets the ratings count less with time.
func (r *ratings) fade(now clock.Time, half clock.Span) {
	if d := now.Sub(r.last); d > 0 {
		if r.last != 0 {
			r.scale(math.Exp2(-float64(d) / float64(half)))
		}
		r.last = now
	}
}

func (r *ratings) scale(f float64) {
	for i := range r.weight {
		r.weight[i] *= float32(f)
	}
	r.low *= f
	r.high *= f
}

// above returns the weight of the ratings of at least the target minus slack, and the sum of their points.
func (r *ratings) above(slack int) (n, points float64) {
	n, points = float64(r.weight[maxSlack+1]), r.high
	for i := 1; i <= slack; i++ {
		w := float64(r.weight[maxSlack+1-i])
		n += w
		points -= w * float64(i)
	}
	return n, points
}

// total returns the weight and the sum of the points of all ratings.
func (r *ratings) total() (n, points float64) {
	n, points = r.above(maxSlack)
	return n + float64(r.weight[0]), points + r.low
}

// slack returns how far below the target a rating may be so that the accepted ones still average the target.
func (r *ratings) slack(limit int) int {
	if n, _ := r.total(); n < enough {
		return 0
	}
	for s := limit; s > 0; s-- {
		if n, points := r.above(s); points >= margin*n {
			return s
		}
	}
	return 0
}

// share is a decayed share of successes that drifts back to 1.
type share struct{ miss float64 }

func (s *share) add(ok bool) {
	s.miss *= 1 - 1.0/soonMemory
	if !ok {
		s.miss += 1.0 / soonMemory
	}
}

func (s *share) value() float64 { return 1 - s.miss }
