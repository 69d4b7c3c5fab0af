package cascade

import (
	"math"

	"shallotrun/core/clock"
)

const (
	// Ratings from pointsBelow points below the target to pointsAbove points above it have a counter for each point.
	pointsBelow = 40
	pointsAbove = 15
	// Windows in ratings. A kind has to adapt to a changed model within a few dozen requests.
	kindWindow   = 25
	stageWindow  = 300
	timelyWindow = 10
	// priorWeight is the weight of the whole stage's ratings in the estimate for a kind, in ratings.
	priorWeight = 3
)

// ratings holds the recent ratings of one stage, in points above the target, with exponential decay.
type ratings struct {
	weight          [pointsBelow + pointsAbove + 1]float32
	underflow       float32 // weight of the ratings below the range of the counters
	underflowPoints float64 // their weighted sum
	topPoints       float64 // weighted sum of the points of the last counter, which includes all ratings above the range
	last            clock.Time
}

// add records a rating in points above the target.
func (r *ratings) add(now clock.Time, half clock.Span, window float64, points int) {
	r.decay(now, half)
	r.scale(1 - 1/window)
	switch {
	case points >= pointsAbove:
		r.weight[pointsBelow+pointsAbove]++
		r.topPoints += float64(points)
	case points < -pointsBelow:
		r.underflow++
		r.underflowPoints += float64(points)
	default:
		r.weight[points+pointsBelow]++
	}
}

// decay reduces the weight of the ratings by the time that has passed, with the given half-life.
func (r *ratings) decay(now clock.Time, half clock.Span) {
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
	r.underflow *= float32(f)
	r.underflowPoints *= f
	r.topPoints *= f
}

// from returns the weight and the sum of the points of the ratings that reach a threshold within the range of the counters.
func (r *ratings) from(threshold int) (n, points float64) {
	n, points = float64(r.weight[pointsBelow+pointsAbove]), r.topPoints
	for i := pointsBelow + pointsAbove - 1; i >= threshold+pointsBelow; i-- {
		w := float64(r.weight[i])
		n += w
		points += w * float64(i-pointsBelow)
	}
	return n, points
}

// total returns the weight and the sum of the points of all ratings.
func (r *ratings) total() (n, points float64) {
	n, points = r.from(-pointsBelow)
	return n + float64(r.underflow), points + r.underflowPoints
}

// successRate is an exponentially decayed fraction of successes that starts at 1.
type successRate struct{ miss float64 }

func (s *successRate) add(ok bool) {
	s.miss *= 1 - 1.0/timelyWindow
	if !ok {
		s.miss += 1.0 / timelyWindow
	}
}

func (s *successRate) value() float64 { return 1 - s.miss }
