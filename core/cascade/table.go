package cascade

import "shallotrun/core/clock"

const (
	// worthGain is the change of the worth for each point and answer. The average of n answers is off the target by
	// at most the range of the worth divided by worthGain*n, as long as the worth is not at a bound.
	worthGain  = 0.05
	worthStart = 4
	worthLeast = 1
	worthMost  = 45
)

// table is what is known about one cascade.
type table struct {
	target int
	stages []stage
	soon   share   // of the ratings that came in time
	worth  float64 // points of rating that the cost of one answer of the last stage is worth
	used   clock.Time
}

type stage struct {
	all   ratings
	kinds [Kinds]*ratings
}

// table returns the state of a cascade. A changed target or number of stages starts it again.
func (c *Chooser) table(now clock.Time, a Ask) *table {
	t := c.tables[a.Cascade]
	if t == nil || t.target != a.Target || len(t.stages) != a.last()+1 {
		if t == nil && len(c.tables) >= MaxCascades {
			c.evict()
		}
		if c.tables == nil {
			c.tables = make(map[string]*table)
		}
		t = &table{target: a.Target, stages: make([]stage, a.last()+1), worth: worthStart}
		c.tables[a.Cascade] = t
	}
	t.used = max(t.used, now)
	return t
}

// evict forgets the cascade that was unused for longest.
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

// account records an answer that is given to the caller, in points above the target.
func (t *table) account(points float64) {
	t.worth = min(max(t.worth+worthGain*points, worthLeast), worthMost)
}

// expect is what is expected of one stage for one kind.
type expect struct {
	accept float64 // part of the answers that would be accepted with a rating
	gain   float64 // points above the target, summed over the accepted answers, for each answer
	raw    float64 // average points above the target of all answers
}

// expect estimates from the ratings of the kind and, with little weight, of the whole stage. Without any rating the
// stage is expected to reach the target, so that it is tried.
func (s *stage) expect(now clock.Time, p Learned, k Kind, threshold int) expect {
	s.all.fade(now, p.half())
	prior := expect{accept: 1}
	// A total below one rating is what is left of old ones.
	if n, raw := s.all.total(); n >= 1 {
		accept, gain := s.all.from(threshold)
		prior = expect{accept: accept / n, gain: gain / n, raw: raw / n}
	}
	own := s.kinds[k%Kinds]
	if own == nil {
		return prior
	}
	own.fade(now, p.half())
	n, raw := own.total()
	accept, gain := own.from(threshold)
	mix := func(sum, prior float64) float64 { return (sum + priorWeight*prior) / (n + priorWeight) }
	return expect{mix(accept, prior.accept), mix(gain, prior.gain), mix(raw, prior.raw)}
}

// raw returns the average points above the target that are expected of a stage.
func (t *table) raw(now clock.Time, p Learned, a Ask, stage int) float64 {
	return t.stages[stage].expect(now, p, a.Kind, 0).raw
}
