package canary

import "math"

// routeModel is a route and a model. The times of its answers are comparable with each other.
type routeModel struct{ route, model string }

// baseline is the usual time of the old version to the first answer and between events, for a route and a model.
type baseline struct{ first, pace logMean }

// logMean is a moving mean of the logarithms of times in milliseconds, which limits the effect of outliers.
type logMean struct {
	log   float64
	count int
}

// baselineOf returns the baseline for the route and model of a result, and creates it if there is none.
func (r *Rollout) baselineOf(v Result) *baseline {
	if r.baseline == nil {
		r.baseline = make(map[routeModel]*baseline)
	}
	u := r.baseline[routeModel{v.Route, v.Model}]
	if u == nil {
		u = &baseline{}
		r.baseline[routeModel{v.Route, v.Model}] = u
	}
	return u
}

// add includes a time in milliseconds.
func (m *logMean) add(ms float64) {
	m.count++
	m.log += (math.Log(max(ms, 0.1)) - m.log) / float64(min(m.count, baselineWindow))
}

// exceeded reports whether a time in milliseconds is far above the mean. It is false while the mean is not reliable.
func (m *logMean) exceeded(ms float64) bool {
	return m.count >= baselineMin && ms > slowFactor*math.Exp(m.log) && ms > float64(slowMin)
}

// late reports whether a first answer took far longer than those of the old version.
func (u *baseline) late(v Result) bool { return u.first.exceeded(float64(v.First)) }

// slow reports whether an answer took far longer than those of the old version. A stream is compared by the time between its
// events.
func (u *baseline) slow(v Result) bool {
	if v.Pace > 0 {
		return u.pace.exceeded(v.Pace)
	}
	return u.late(v)
}

// Times are the old version's usual times for a route and a model, as means of logarithms of milliseconds.
type Times struct {
	Route string
	Model string
	First float64 `cbor:"Starts"` // to the first answer, 0 if unknown
	Pace  float64 `cbor:"Paces"`  // between events, 0 if unknown
}

// Times returns the usual times that this VM has learned, for VMs that have too few answers of their own.
func (r *Rollout) Times() (out []Times) {
	for p, u := range r.baseline {
		if t := (Times{p.route, p.model, u.first.estimate(), u.pace.estimate()}); t.First != 0 || t.Pace != 0 {
			out = append(out, t)
		}
	}
	return out
}

// AdoptTimes takes over usual times of another VM where this one has too few answers: a VM that has just started has to judge
// the new version too.
func (r *Rollout) AdoptTimes(all []Times) {
	for _, t := range all {
		u := r.baselineOf(Result{Route: t.Route, Model: t.Model})
		u.first.adopt(t.First)
		u.pace.adopt(t.Pace)
	}
}

// estimate returns the mean of the logarithms, or 0 if it is not reliable yet.
func (m *logMean) estimate() float64 {
	if m.count < baselineMin {
		return 0
	}
	return m.log
}

func (m *logMean) adopt(log float64) {
	if m.count < baselineMin && log != 0 {
		m.log, m.count = log, baselineMin
	}
}
