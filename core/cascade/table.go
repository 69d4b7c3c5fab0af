package cascade

import "shallotrun/core/clock"

const (
	// worthGain is the change of the worth for each answer and point above the target. While the worth is not at a bound, the
	// average of n answers differs from the target by at most the range of the worth divided by worthGain*n.
	worthGain    = 0.05
	initialWorth = 4
	minWorth     = 1
	maxWorth     = 45
)

// table is the learned state of one cascade.
type table struct {
	target int
	stages []stage
	timely successRate // fraction of the ratings that came in time
	worth  float64     // points of rating that justify the cost of one answer of the last stage
	used   clock.Time
}

type stage struct {
	all   ratings
	kinds [Kinds]*ratings
}

// table returns the state of a cascade, and resets it if the target or the number of stages has changed.
func (c *Chooser) table(now clock.Time, req Request) *table {
	t := c.tables[req.Cascade]
	if t == nil || t.target != req.Target || len(t.stages) != req.last()+1 {
		if t == nil && len(c.tables) >= MaxCascades {
			c.evict()
		}
		if c.tables == nil {
			c.tables = make(map[string]*table)
		}
		t = &table{target: req.Target, stages: make([]stage, req.last()+1), worth: initialWorth}
		c.tables[req.Cascade] = t
	}
	t.used = max(t.used, now)
	return t
}

// evict drops the cascade that has been unused for the longest time.
func (c *Chooser) evict() {
	oldest := ""
	for name, t := range c.tables {
		if o := c.tables[oldest]; o == nil || t.used < o.used || t.used == o.used && name < oldest {
			oldest = name
		}
	}
	delete(c.tables, oldest)
}

// Size returns the number of cascades and of kinds for which ratings are kept.
func (c *Chooser) Size() (cascades, kinds int) {
	for _, t := range c.tables {
		for i := range t.stages {
			for _, k := range t.stages[i].kinds {
				if k != nil {
					kinds++
				}
			}
		}
	}
	return len(c.tables), kinds
}

// account adjusts the worth for an answer that is passed to the caller, given its points above the target.
func (t *table) account(points float64) {
	t.worth = min(max(t.worth+worthGain*points, minWorth), maxWorth)
}

// estimate holds the expected results of one stage for one kind.
type estimate struct {
	accept  float64 // fraction of the answers that would be accepted if they were rated
	gain    float64 // points above the target of the accepted answers, per answer of the stage
	overall float64 // average points above the target of all answers
}

// estimate returns the expected results from the ratings of the kind and, with a small weight, of the whole stage. Without any
// rating the stage is expected to reach the target, so that it is tried.
func (s *stage) estimate(now clock.Time, p Learned, k Kind, threshold int) estimate {
	s.all.decay(now, p.halfLife())
	prior := estimate{accept: 1}
	// A total weight below one rating is left over from old ratings and is ignored.
	if n, overall := s.all.total(); n >= 1 {
		accept, gain := s.all.from(threshold)
		prior = estimate{accept: accept / n, gain: gain / n, overall: overall / n}
	}
	own := s.kinds[k%Kinds]
	if own == nil {
		return prior
	}
	own.decay(now, p.halfLife())
	n, overall := own.total()
	accept, gain := own.from(threshold)
	mix := func(sum, prior float64) float64 { return (sum + priorWeight*prior) / (n + priorWeight) }
	return estimate{mix(accept, prior.accept), mix(gain, prior.gain), mix(overall, prior.overall)}
}

// overall returns the expected average points above the target of a stage.
func (t *table) overall(now clock.Time, p Learned, req Request, stage int) float64 {
	return t.stages[stage].estimate(now, p, req.Kind, 0).overall
}
