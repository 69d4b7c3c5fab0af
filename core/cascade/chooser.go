package cascade

import (
	"math/rand/v2"

	"shallotrun/core/clock"
)

const (
	// maxExplore is the largest part of the requests that start at a stage only to learn about it.
	maxExplore = 0.1
	// When fewer ratings than this part come in time, only a few requests wait for one.
	worthWaiting = 0.1
	fewWait      = 0.1
)

// Chooser chooses stages and learns from ratings. Set the exported fields before the first call.
type Chooser struct {
	Policy Policy // nil means Learned{}
	Rand   *rand.Rand

	tables map[string]*table
}

// Begin returns the index of the stage to start with.
func (c *Chooser) Begin(now clock.Time, a Ask) int {
	if a.last() == 0 {
		return 0
	}
	switch p := c.policy().(type) {
	case Costly:
		return a.last()
	case Learned:
		if a.Unrated {
			return a.fallback()
		}
		return c.begin(now, p, a)
	case Ladder:
		if a.Unrated {
			return a.fallback()
		}
	}
	return 0
}

// Judge takes a rating that came in time and returns whether the answer is accepted, and if not, the stage to go on
// with.
func (c *Chooser) Judge(now clock.Time, a Ask, stage, rating int) (accept bool, next int) {
	switch p := c.policy().(type) {
	case Ladder:
		limit := p.Threshold
		if limit == 0 {
			limit = a.Target
		}
		return rating >= limit, stage + 1
	case Learned:
		if stage >= a.last() {
			return true, stage
		}
		t := c.table(now, a)
		t.soon.add(true)
		c.learn(now, p, a, stage, rating)
		slack := t.stages[stage].all.slack(p.slack())
		next, _ = t.cheapest(now, p, a, stage+1)
		return rating >= a.Target-slack, next
	}
	return true, stage + 1
}

// Missing decides about an answer without a rating by the fallback of the cascade. Waited says that the rating was
// waited for, and not given up on at once.
func (c *Chooser) Missing(now clock.Time, a Ask, waited bool) (accept bool, next int) {
	switch c.policy().(type) {
	case Cheap:
		return true, a.last()
	case Learned:
		if waited {
			c.table(now, a).soon.add(false)
		}
	}
	return a.First, a.last()
}

// Late takes a rating that came after the decision. Soon says that it would have come in time if the request had
// waited for it.
func (c *Chooser) Late(now clock.Time, a Ask, stage, rating int, soon bool) {
	p, ok := c.policy().(Learned)
	if !ok {
		return
	}
	if soon {
		c.table(now, a).soon.add(true)
	}
	c.learn(now, p, a, stage, rating)
}

// Wait reports whether a rating is worth waiting for. When hardly any comes in time, most requests do not wait.
func (c *Chooser) Wait(now clock.Time, a Ask) bool {
	if _, ok := c.policy().(Learned); !ok {
		return true
	}
	return c.table(now, a).soon.value() >= worthWaiting || c.Rand.Float64() < fewWait
}

func (c *Chooser) policy() Policy {
	if c.Policy == nil {
		return Learned{}
	}
	return c.Policy
}

// begin chooses the stage with the least expected cost, or now and then a cheaper one to learn about it.
func (c *Chooser) begin(now clock.Time, p Learned, a Ask) int {
	s, _ := c.table(now, a).cheapest(now, p, a, 0)
	if s == 0 {
		return 0
	}
	try := c.Rand.IntN(s)
	part := maxExplore
	if cost := a.Costs[try]; cost > 0 {
		part = min(part, p.explore()*a.Costs[a.last()]/cost)
	}
	if c.Rand.Float64() < part {
		return try
	}
	return s
}

// cheapest returns the stage from the given one on at which to start for the least expected cost of the whole
// request, and that cost. Equal costs are decided for the earlier stage.
func (t *table) cheapest(now clock.Time, p Learned, a Ask, from int) (int, float64) {
	last := a.last()
	best, cost := last, a.Costs[last]
	soon := t.soon.value()
	for s := last - 1; s >= min(from, last); s-- {
		e := t.stages[s].expect(now, p, a.Kind)
		fail := 1 - e.accept*soon
		if a.First {
			fail = (1 - e.accept) * soon
			// Answers without a rating are given out as they are. The stage has to make up for that itself.
			if soon < 1-1.0/soonMemory && soon*e.gain+(1-soon)*e.raw < 0 {
				continue
			}
		}
		if v := a.Costs[s] + fail*cost; v <= cost {
			best, cost = s, v
		}
	}
	return best, cost
}

// learn records a rating.
func (c *Chooser) learn(now clock.Time, p Learned, a Ask, stage, rating int) {
	t := c.table(now, a)
	if stage >= len(t.stages) {
		return
	}
	s := &t.stages[stage]
	k := s.kinds[a.Kind%Kinds]
	if k == nil {
		k = new(ratings)
		s.kinds[a.Kind%Kinds] = k
	}
	k.add(now, p.half(), kindMemory, rating-a.Target)
	s.all.add(now, p.half(), stageMemory, rating-a.Target)
}
