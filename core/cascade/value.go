package cascade

import (
	"math"

	"shallotrun/core/clock"
)

// best returns the stage from the given one on at which to start, and the value of doing so: the expected points
// above the target less the expected cost in points. Equal values are decided for the earlier stage.
func (t *table) best(now clock.Time, p Learned, a Ask, from int) (int, float64) {
	last := a.last()
	end := t.raw(now, p, a, last) - t.worth
	best, value := last, end
	soon := t.soon.value()
	if soon < worthWaiting { // most requests do not wait
		soon *= fewWait
	}
	for s := last - 1; s >= from; s-- {
		e := t.stages[s].expect(now, p, a.Kind, threshold(p, value))
		unrated := end
		if a.First {
			unrated = e.raw
		}
		v := soon*(e.gain+(1-e.accept)*value) + (1-soon)*unrated - t.worth*a.cost(s)
		if v >= value {
			best, value = s, v
		}
	}
	return best, value
}

// threshold returns the least accepted rating, in points above the target, where going on has a value.
func threshold(p Learned, value float64) int {
	return min(max(int(math.Ceil(value)), -p.slack()), above)
}
