package cascade

import (
	"math"

	"shallotrun/core/clock"
)

// best returns the stage to start at, from the given one on, and its value: the expected points above the target less the
// expected cost in points. Of stages with equal values it returns the earlier one.
func (t *table) best(now clock.Time, p Learned, req Request, from int) (int, float64) {
	last := req.last()
	end := t.overall(now, p, req, last) - t.worth
	best, value := last, end
	timely := t.timely.value()
	if timely < minTimely { // most requests do not wait
		timely *= waitFraction
	}
	for s := last - 1; s >= from; s-- {
		e := t.stages[s].estimate(now, p, req.Kind, threshold(p, value))
		unrated := end
		if req.AcceptUnrated {
			unrated = e.overall
		}
		v := timely*(e.gain+(1-e.accept)*value) + (1-timely)*unrated - t.worth*req.cost(s)
		if v >= value {
			best, value = s, v
		}
	}
	return best, value
}

// threshold returns the least accepted rating, in points above the target, given the value of going on to a later stage.
func threshold(p Learned, value float64) int {
	return min(max(int(math.Ceil(value)), -p.slack()), pointsAbove)
}
