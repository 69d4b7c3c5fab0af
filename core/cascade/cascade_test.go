package cascade

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"shallotrun/core/clock"
)

// Guards against a request that is sent to a stage that does not exist, runs a stage twice or waits longer than is
// configured, whatever ratings arrive, late or never.
func TestRequestsEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := rapid.SampledFrom([]Policy{Always{Stage: 5}, Fixed{Bound: 80}, Learned{}, Learned{Explore: 0.5}}).Draw(t, "policy")
		c := &Chooser{Policy: policy, Costs: []float64{1, 3, 9}[:rapid.IntRange(1, 3).Draw(t, "stages")], Target: 85,
			Down: rapid.IntRange(0, 2).Draw(t, "down"), Wait: 400}
		now := clock.Time(0)
		for i := range rapid.IntRange(1, 60).Draw(t, "requests") {
			now += clock.Time(rapid.IntRange(0, 3000).Draw(t, "gap"))
			name := fmt.Sprint("class-", i%3)
			plan := c.Start(now, name)
			assert.Assert(t, plan.Wait >= 0 && plan.Wait <= 400)
			for stage, more := plan.Stage, true; more; {
				assert.Assert(t, stage >= 0 && stage < len(c.Costs))
				rating, rated := float64(rapid.IntRange(0, 100).Draw(t, "rating")), rapid.Bool().Draw(t, "rated")
				if rated {
					c.Rated(now, name, stage, rating)
				} else {
					c.Missed(now)
				}
				var next int
				next, more = c.Next(now, name, stage, rating, rated)
				assert.Assert(t, !more || next > stage)
				stage = next
			}
		}
	})
}

// Guards against waits for a rating service that is down, a fallback that is not the configured one, and a cascade that
// does not come back when the service does.
func TestRatingServiceDown(t *testing.T) {
	for _, down := range []int{0, 1} {
		c := &Chooser{Costs: []float64{1, 5}, Target: 90, Down: down}
		for range missedMost {
			assert.Assert(t, c.Start(0, "x").Wait > 0)
			c.Missed(0)
		}
		for now := clock.Time(1); now < clock.Time(probeGap); now += 100 {
			assert.Equal(t, c.Start(now, "x"), Plan{Stage: down})
		}
		next, more := c.Next(1, "x", 0, 0, false)
		assert.Check(t, more == (down == 1) && (!more || next == 1))
		assert.Assert(t, c.Start(clock.Time(probeGap), "x").Wait > 0, "a probe")
		assert.Equal(t, c.Start(clock.Time(probeGap)+1, "x").Wait, clock.Span(0))
		c.Rated(clock.Time(probeGap)+500, "x", 0, 95)
		assert.Assert(t, c.Start(clock.Time(probeGap)+600, "x").Wait > 0)
	}
}

// Guards against paying for the cheap stage where it is never good enough, and for the costly one where it never helps.
func TestLearnsByClass(t *testing.T) {
	c := &Chooser{Costs: []float64{1, 5}, Target: 85}
	for range 300 {
		for name, ratings := range map[string][2]float64{"easy": {93, 94}, "hard": {40, 90}} {
			p := c.Start(0, name)
			c.Rated(0, name, p.Stage, ratings[p.Stage])
			if next, more := c.Next(0, name, p.Stage, ratings[p.Stage], true); more {
				c.Rated(0, name, next, ratings[next])
			}
		}
	}
	assert.Equal(t, c.classes["hard"].start, 1)
	assert.Equal(t, c.classes["easy"].start, 0)
	_, more := c.Next(0, "easy", 0, 93, true)
	assert.Check(t, !more)
	_, more = c.Next(0, "hard", 0, 40, true)
	assert.Check(t, more)
}

// Guards against state that grows with names that callers choose.
func TestClassesAreBounded(t *testing.T) {
	c := &Chooser{Costs: []float64{1, 5}, Target: 85}
	for i := range 10 * classesMost {
		c.Start(0, fmt.Sprint(i))
		c.Rated(0, fmt.Sprint(i), 0, 50)
	}
	assert.Equal(t, len(c.classes), classesMost+1)
}
