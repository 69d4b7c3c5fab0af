package cascade

import (
	"math/rand/v2"

	"shallotrun/core/clock"
)

const (
	// Time that is allowed for a rating by default.
	usualWait = 500 * clock.Millisecond
	// Missing ratings in a row after which the rating service is taken to be down, and the time between probes. At the
	// usual rate of missing ratings, about 1 in 5 with the late ones, six in a row are rare.
	missedMost = 6
	probeGap   = 2 * clock.Second
	// Requests of a class that are not in the table share one.
	classesMost = 256
	others      = "\x00others"
	// Ratings between two searches for the best rule.
	searchEvery = 20
)

// Plan is what to do first for a request.
type Plan struct {
	Stage int
	Wait  clock.Span // time to wait for a rating of the answer, 0 for not waiting
}

// Chooser chooses the stages of one cascade. Set the exported fields before the first call.
type Chooser struct {
	Policy Policy    // nil means Learned{}
	Costs  []float64 // of a request at each stage, cheapest first, in any unit
	Target float64   // mean rating to reach
	Down   int       // stage to run while ratings are missing
	Wait   clock.Span
	Rand   *rand.Rand

	classes map[string]*class
	order   []*class // in order of appearance, so that sums come out the same each time
	slope   float64  // rating points that a unit of cost has to bring
	ratings int      // since the last search
	missed  int
	probe   clock.Time
}

// Start returns the first stage for a request of a class.
func (c *Chooser) Start(now clock.Time, name string) Plan {
	c.init()
	last := len(c.Costs) - 1
	switch p := c.Policy.(type) {
	case Always:
		return Plan{Stage: min(p.Stage, last)}
	case Fixed:
		if c.down(now) {
			return Plan{Stage: min(c.Down, last)}
		}
		return Plan{Stage: 0, Wait: c.wait()}
	case Learned:
		return c.learned(now, p, name)
	}
	return Plan{Stage: last}
}

// Next returns the stage to run after an answer of the given stage, false when the answer is good enough. Rated says
// whether a rating came in time.
func (c *Chooser) Next(now clock.Time, name string, stage int, rating float64, rated bool) (int, bool) {
	c.init()
	last := len(c.Costs) - 1
	if stage >= last {
		return 0, false
	}
	switch p := c.Policy.(type) {
	case Fixed:
		if rated {
			return stage + 1, rating < p.Bound
		}
		return c.fallback(stage)
	case Learned:
		cl := c.class(name)
		if !rated {
			if c.missed >= missedMost || len(cl.stages[stage].values) < known {
				return c.fallback(stage)
			}
			rating = cl.stages[stage].mean()
		}
		return stage + 1, rating < cl.bound(c, stage)
	}
	return 0, false
}

// Rated takes in a rating, in time or late.
func (c *Chooser) Rated(_ clock.Time, name string, stage int, rating float64) {
	c.init()
	c.missed = 0
	if stage < 0 || stage >= len(c.Costs) {
		return
	}
	c.class(name).stages[stage].add(rating)
	c.ratings++
	if _, ok := c.Policy.(Learned); ok && c.ratings >= searchEvery {
		c.ratings = 0
		c.search()
	}
}

// Missed records that a rating did not come within the wait.
func (c *Chooser) Missed(now clock.Time) {
	c.missed++
	if c.missed >= missedMost {
		c.probe = now.Add(probeGap)
	}
}

func (c *Chooser) init() {
	if c.classes != nil {
		return
	}
	if c.Policy == nil {
		c.Policy = Learned{}
	}
	if c.Rand == nil {
		c.Rand = rand.New(rand.NewPCG(1, 2))
	}
	c.classes = make(map[string]*class)
}

// down reports whether ratings are missing. Once in a while it admits a probe.
func (c *Chooser) down(now clock.Time) bool {
	if c.missed < missedMost {
		return false
	}
	if now < c.probe {
		return true
	}
	c.probe = now.Add(probeGap)
	return false
}

// fallback returns what follows an answer that nothing is known about.
func (c *Chooser) fallback(stage int) (int, bool) {
	return min(max(c.Down, stage+1), len(c.Costs)-1), c.Down > stage
}

func (c *Chooser) wait() clock.Span {
	if c.Wait > 0 {
		return c.Wait
	}
	return usualWait
}

// learned starts with the stage of the least expected cost. The last stage's answers are rated too, for learning, but
// nobody waits for it.
func (c *Chooser) learned(now clock.Time, p Learned, name string) Plan {
	last := len(c.Costs) - 1
	if c.down(now) {
		return Plan{Stage: min(c.Down, last)}
	}
	cl := c.class(name)
	cl.uses++
	explore := p.Explore
	if explore == 0 {
		explore = 0.03
	}
	plan := Plan{Stage: cl.start}
	if plan.Stage > 0 && c.Rand.Float64() < explore {
		plan.Stage--
	}
	if plan.Stage < last {
		plan.Wait = c.wait()
	}
	return plan
}

func (c *Chooser) class(name string) *class {
	cl := c.classes[name]
	if cl == nil && len(c.classes) >= classesMost {
		name = others
		cl = c.classes[name]
	}
	if cl == nil {
		cl = &class{stages: make([]sample, len(c.Costs))}
		c.classes[name] = cl
		c.order = append(c.order, cl)
	}
	return cl
}
