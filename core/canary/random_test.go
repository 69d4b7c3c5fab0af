package canary

import (
	"math/rand/v2"
	"os"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"shallotrun/core/clock"
)

// randomTrial returns an order in a fleet of any size and with any traffic, and whether its new version is bad: it fails by itself in at
// least ownFailures of its answers, from its first request on or from some later one on. What the old version, or both, suffer meanwhile
// begins and ends at any time.
func randomTrial(random *rand.Rand) (c trial, bad bool) {
	c = trial{vms: 1 + random.IntN(12), rate: 15 + random.IntN(60), duration: clock.Span(12000 + random.IntN(18000))}
	if random.IntN(4) > 0 {
		from := max(0, 1.5*random.Float64()-0.7)
		c.old = trouble{from, from + 2*random.Float64(), 0.05 + 0.4*random.Float64()}
	}
	if bad = random.IntN(3) > 0; bad {
		c.new = trouble{max(0, 2*random.Float64()-1.1), 9, ownFailures + 0.3*random.Float64()}
		c.new.from = min(c.new.from, c.atEnd())
		return c, true
	}
	if c.shared = c.old.fails > 0 && random.IntN(2) == 0; c.shared {
		// While both fail often, nothing shows that the new version is good, so such a trouble ends before the order.
		c.old.from = min(c.old.from, 0.5)
		c.old.until = c.old.from + (0.73-c.old.from)*random.Float64()
	}
	return c, false
}

// Guards against what no case names: a bad version that is finished or rolled back too late, or gets more requests than the share that
// any version may get before it is known, and a good one that is rolled back, whatever troubles the old version has meanwhile.
// VERDICT_ORDERS sets the number of orders.
func TestVerdictsFollowTheTruth(t *testing.T) {
	const seed = 39
	orders := 400
	if s := os.Getenv("VERDICT_ORDERS"); s != "" {
		var err error
		orders, err = strconv.Atoi(s)
		assert.NilError(t, err)
	}
	random := rand.New(rand.NewPCG(seed, 1))
	bad, finished, late, good, refused := 0, 0, 0, 0, 0
	for i := range orders {
		c, isBad := randomTrial(random)
		v := c.play(uint64(i))
		total := float64(c.rate) * c.duration.Std().Seconds()
		assert.Check(t, !isBad || float64(v.shown) <= 0.15*total+30, "order %d, %+v: the new version got %d requests", i, c, v.shown)
		switch {
		case !isBad:
			good++
			if v.state == RolledBack {
				refused++
				t.Logf("order %d, %+v: rolled back at %.2f", i, c, v.at)
			}
		default:
			bad++
			if v.state == Done {
				finished++
				t.Logf("order %d, %+v: finished at %.2f", i, c, v.at)
			}
			if v.late > 0 {
				late++
				t.Logf("order %d, %+v: %d requests too late, ended at %.2f", i, c, v.late, v.at)
			}
		}
	}
	assert.Check(t, float64(finished) <= most(bad, missProbability), "%d of %d bad versions were finished", finished, bad)
	assert.Check(t, float64(late) <= most(bad, missProbability), "%d of %d bad versions were rolled back too late", late, bad)
	assert.Check(t, float64(refused) <= most(good, refuseProbability), "%d of %d good versions were rolled back", refused, good)
}
