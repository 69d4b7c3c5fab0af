package cascade

import "shallotrun/core/clock"

// table is what is known about one cascade.
type table struct {
	target int
	stages []stage // without the last one
	soon   share   // of the ratings that came in time
	used   clock.Time
}

type stage struct {
	all   ratings
	kinds [Kinds]*ratings
}

// table returns the state of a cascade. A changed target or number of stages starts it again.
func (c *Chooser) table(now clock.Time, a Ask) *table {
	t := c.tables[a.Cascade]
	if t == nil || t.target != a.Target || len(t.stages) != a.last() {
		if t == nil && len(c.tables) >= MaxCascades {
			c.evict()
		}
		if c.tables == nil {
			c.tables = make(map[string]*table)
		}
		t = &table{target: a.Target, stages: make([]stage, a.last())}
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

// expect is what is expected of one stage for one kind.
type expect struct {
	accept float64 // part of the answers that would be accepted with a rating
	gain   float64 // points above the target, summed over the accepted answers, for each answer
	raw    float64 // average points above the target of all answers
}

// expect estimates from the ratings of the kind and, with little weight, of the whole stage. Without any rating the
// stage is expected to reach the target, so that it is tried.
func (s *stage) expect(now clock.Time, p Learned, k Kind) expect {
	s.all.fade(now, p.half())
	slack := s.all.slack(p.slack())
	n, raw := s.all.total()
	accept, gain := s.all.above(slack)
	// A total below one rating is what is left of old ones.
	prior := expect{accept: 1}
	if n >= 1 {
		prior = expect{accept: accept / n, gain: gain / n, raw: raw / n}
	}
	own := s.kinds[k]
	if own == nil {
		return prior
	}
	own.fade(now, p.half())
	n, raw = own.total()
	accept, gain = own.above(slack)
	mix := func(sum, prior float64) float64 { return (sum + priorWeight*prior) / (n + priorWeight) }
	return expect{mix(accept, prior.accept), mix(gain, prior.gain), mix(raw, prior.raw)}
}
