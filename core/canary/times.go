package canary

import "math"

// pair is a route and a model, whose answers take alike long.
type pair struct{ route, model string }

// usual is the time that the old version takes on a route with a model.
type usual struct{ first, pace mean }

// mean is the mean of the logarithms of times in milliseconds, which outliers move little.
type mean struct {
	log   float64
	count int
}

// times returns the usual times of a result's kind.
func (r *Rollout) times(v Result) *usual {
	if r.usual == nil {
		r.usual = make(map[pair]*usual)
	}
	u := r.usual[pair{v.Route, v.Model}]
	if u == nil {
		u = &usual{}
		r.usual[pair{v.Route, v.Model}] = u
	}
	return u
}

// add includes a time in milliseconds.
func (m *mean) add(ms float64) {
	m.count++
	m.log += (math.Log(max(ms, 0.1)) - m.log) / float64(min(m.count, usualMost))
}

// exceeded reports whether a time in milliseconds is far above the mean.
func (m *mean) exceeded(ms float64) bool {
	return m.count >= usualLeast && ms > slowFactor*math.Exp(m.log) && ms > float64(slowLeast)
}

// late reports whether a first answer took far longer than those of the old version.
func (u *usual) late(v Result) bool { return u.first.exceeded(float64(v.First)) }

// slow reports whether an answer took far longer than those of the old version. A stream is measured by the time
// between its events.
func (u *usual) slow(v Result) bool {
	if v.Pace > 0 {
		return u.pace.exceeded(v.Pace)
	}
	return u.late(v)
}

// Times are the usual times of the old version on a route with a model, as means of logarithms of milliseconds.
type Times struct {
	Route  string
	Model  string
	Starts float64 // to the first answer, 0 for unknown
	Paces  float64 // between events, 0 for unknown
}

// Times returns the usual times that are known here, for VMs that do not know them yet.
func (r *Rollout) Times() (out []Times) {
	for p, u := range r.usual {
		if t := (Times{p.route, p.model, u.first.known(), u.pace.known()}); t.Starts != 0 || t.Paces != 0 {
			out = append(out, t)
		}
	}
	return out
}

// Adopt takes the usual times of another VM where this one does not know them: a VM that was just started has to judge the new
// version too.
func (r *Rollout) Adopt(all []Times) {
	for _, t := range all {
		u := r.times(Result{Route: t.Route, Model: t.Model})
		u.first.adopt(t.Starts)
		u.pace.adopt(t.Paces)
	}
}

// known returns the mean, 0 if it rests on too few times.
func (m *mean) known() float64 {
	if m.count < usualLeast {
		return 0
	}
	return m.log
}

func (m *mean) adopt(log float64) {
	if m.count < usualLeast && log != 0 {
		m.log, m.count = log, usualLeast
	}
}
