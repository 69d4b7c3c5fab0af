package cascade

import (
	"math"

	"shallotrun/core/clock"
)

const (
	// Ratings are counted one by one from this many points below the target to this many above it.
	below = 40
	above = 15
	// Memory in ratings. A kind has to notice a changed model within a few dozen requests.
	kindMemory  = 25
	stageMemory = 300
	soonMemory  = 10
	// The ratings of the whole stage count like this many ratings of a kind.
	priorWeight = 3
)

// ratings are the recent ratings of one stage in points above the target. Old ones count less.
type ratings struct {
	weight [below + above + 1]float32
	rest   float32 // weight of ratings below the counted ones
	low    float64 // weighted sum of those
	high   float64 // weighted sum of the points of the last counter, which also has all ratings above it
	last   clock.Time
}

// add records a rating in points above the target.
func (r *ratings) add(now clock.Time, half clock.Span, memory float64, points int) {
	r.fade(now, half)
	r.scale(1 - 1/memory)
	switch {
	case points >= above:
		r.weight[below+above]++
		r.high += float64(points)
	case points < -below:
		r.rest++
		r.low += float64(points)
	default:
		r.weight[points+below]++
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
	r.rest *= float32(f)
	r.low *= f
	r.high *= f
}

// from returns the weight and the sum of the points of the ratings of at least a threshold within the counted range.
func (r *ratings) from(threshold int) (n, points float64) {
	n, points = float64(r.weight[below+above]), r.high
	for i := below + above - 1; i >= threshold+below; i-- {
		w := float64(r.weight[i])
		n += w
		points += w * float64(i-below)
	}
	return n, points
}

// total returns the weight and the sum of the points of all ratings.
func (r *ratings) total() (n, points float64) {
	n, points = r.from(-below)
	return n + float64(r.rest), points + r.low
}

// share is a decayed share of successes that starts at 1.
type share struct{ miss float64 }

func (s *share) add(ok bool) {
	s.miss *= 1 - 1.0/soonMemory
	if !ok {
		s.miss += 1.0 / soonMemory
	}
}

func (s *share) value() float64 { return 1 - s.miss }
