package canary

import (
	"math"

	"shallotrun/core/clock"
	"shallotrun/core/rollout"
	"shallotrun/core/work"
)

const (
	// An answer counts as slow, and so as bad, at this many times the usual time.
	slowFactor = 5
	// What is below this time is not slow, whatever the usual time.
	slowLeast = 60 * clock.Millisecond
	// usualLeast is the number of answers after which the usual time is known well enough.
	usualLeast = 10
	// usualMost is the number of answers that the usual time follows. It is long, so that what counts as slow hardly
	// moves while versions are compared.
	usualMost = 300
	// The new version is blamed only if the odds are this high, as a logarithm, that its answers fail riseFactor times
	// as often as those of the old version in the same time: a fault of the network or of a dependency strikes both.
	// Any of several VMs may blame it on any route, so the odds are higher than for one test.
	riseOdds   = 8
	riseFactor = 3
	riseLeast  = 0.3
	// Before the last stage the new version gets at most this part of all requests since the order, and a few, even
	// if a session with much of the traffic falls to it.
	exposureCap = 0.12
	allowance   = 4
)

// Rollout carries out one order on one VM.
type Rollout struct {
	Order Order
	Seen  clock.Time // by this VM

	evidence rollout.Evidence
	usual    map[pair]*usual
	old, new map[string]*tally // results of each version that are known here, by service and route
	own      map[subject]count // results of this VM
	fleet    map[subject]count // the largest sums of other VMs' results so far
	total    float64           // requests of the service since the order
	exposed  float64           // of them to the new version
	good     int               // good answers of the new version
	verdict  string            // why the new version is bad, "" if it is not
}

// pair is a route and a model, whose answers take alike long.
type pair struct{ route, model string }

// usual is the time that the old version takes on a route, as the mean of logarithms, which outliers move little.
type usual struct {
	first, pace float64
	count       int
}

// tally counts the results of a version.
type tally struct{ bad, all float64 }

// rate returns the part of bad results, a little above the observed one: a rate that is taken too low by chance would
// blame the other version.
func (t *tally) rate() float64 {
	if t == nil {
		return 0
	}
	p := (t.bad + 1) / (t.all + 10)
	return max(p+rateMargin*math.Sqrt(p*(1-p)/(t.all+10)), leastRate)
}

// rateMargin is how far above the observed rate the rate is taken, in standard errors.
const rateMargin = 0.7

// leastRate is the rate of failures below which no version is taken to be.
const leastRate = 0.02

// odds returns the logarithm of the odds that the results come from a version that fails riseFactor times as often as
// one with the given rate.
func (t *tally) odds(rate float64) float64 {
	rate = min(rate, 0.9)
	rise := min(max(riseFactor*rate, riseLeast), 0.95)
	return t.bad*math.Log(rise/rate) + (t.all-t.bad)*math.Log((1-rise)/(1-rate))
}

// part returns the part of the order's duration that is over.
func (r *Rollout) part(now clock.Time) float64 {
	return float64(now.Sub(r.Seen)) / float64(max(r.Order.Duration, 1))
}

// Admit decides whether the next request goes to the new version, and counts it. The position is in [0, 1): that of its
// session, so that all VMs decide alike about a session and a session never goes back, or a random one for a request
// without a session.
func (r *Rollout) Admit(now clock.Time, position float64) bool {
	switch {
	case r.Order.State == Done:
		return true
	case r.Order.State == RolledBack || r.verdict != "":
		return false
	}
	r.total++
	s := share(r.part(now))
	if position >= s || s < 1 && r.exposed >= exposureCap*r.total+allowance {
		return false
	}
	r.exposed++
	return true
}

// Report takes the result of a request.
func (r *Rollout) Report(v Result) {
	if r.Order.State == Done || r.Order.State == RolledBack {
		return
	}
	if r.usual == nil {
		r.usual = make(map[pair]*usual)
	}
	u := r.usual[pair{v.Route, v.Model}]
	if u == nil {
		u = &usual{}
		r.usual[pair{v.Route, v.Model}] = u
	}
	target := v.Version == r.Order.Target
	// Answers of the old version count as slow by the same measure, so that load that slows both is not blamed on the
	// new one.
	bad := v.Failed || u.slow(v)
	switch {
	case target && !bad:
		r.good++
	case !target && !v.Failed:
		u.add(v)
	}
	for _, model := range []string{r.Order.Service, v.Route} {
		r.count(model, target, bad)
	}
}

// count adds a result of this VM to the evidence about a service or route.
func (r *Rollout) count(model string, target, bad bool) {
	if r.own == nil {
		r.own = make(map[subject]count)
	}
	k := subject{model, target}
	c := r.own[k]
	if bad {
		c.bad++
	} else {
		c.good++
	}
	r.own[k] = c
	r.evidence.Report(work.Result{Model: model, Version: r.version(target), Failed: bad}, "")
	r.add(k, b2f(!bad), b2f(bad))
}

// add adds results of this or another VM, and judges the new version.
func (r *Rollout) add(k subject, good, bad float64) {
	if r.old == nil {
		r.old, r.new = make(map[string]*tally), make(map[string]*tally)
	}
	tallies := r.old
	if k.target {
		tallies = r.new
	}
	t := tallies[k.model]
	if t == nil {
		t = &tally{}
		tallies[k.model] = t
	}
	t.all += good + bad
	t.bad += bad
	if !k.target || r.verdict != "" {
		return
	}
	if d := r.evidence.Decide(k.model, r.Order.Target); d.Action == rollout.Halt && t.odds(r.oldRate(k.model)) >= riseOdds {
		r.verdict = d.Reason
	}
}

// version returns the name of a version in the evidence.
func (r *Rollout) version(target bool) string {
	if target {
		return r.Order.Target
	}
	return ""
}

func b2f(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// oldRate returns the rate of failures of the old version on a service or route. A route of which little is known is
// taken to fail as often as the service.
func (r *Rollout) oldRate(model string) float64 {
	whole := r.old[r.Order.Service].rate()
	if t := r.old[model]; t != nil && t.all >= routeLeast {
		return t.rate()
	}
	return max(whole, r.old[model].rate())
}

// routeLeast is the number of results after which a route's own rate of failures is known well enough.
const routeLeast = 40

// Decide returns the state that the order should have now, with the reason for a change.
func (r *Rollout) Decide(now clock.Time) (State, string) {
	switch {
	case r.Order.State == Done || r.Order.State == RolledBack:
		return r.Order.State, ""
	case r.verdict != "":
		return RolledBack, r.verdict
	case r.part(now) >= finishAt && r.good >= finishGood:
		return Done, "no rise in failures"
	}
	return Running, ""
}

// Counts returns how many requests the service had since the order, how many of them the new version got, and its good
// answers, as this VM saw them.
func (r *Rollout) Counts() (total, exposed, good int) { return int(r.total), int(r.exposed), r.good }

func (u *usual) add(v Result) {
	u.count++
	weight := 1 / float64(min(u.count, usualMost))
	u.first += (math.Log(float64(max(v.First, 1))) - u.first) * weight
	u.pace += (math.Log(max(v.Pace, 0.1)) - u.pace) * weight
}

// slow reports whether an answer took far longer than those of the old version. A stream is measured by the time
// between its events: the time to its first event depends on its prompt.
func (u *usual) slow(v Result) bool {
	if u.count < usualLeast {
		return false
	}
	if v.Pace > 0 {
		return v.Pace > slowFactor*math.Exp(u.pace) && v.Pace > float64(slowLeast)
	}
	return float64(v.First) > slowFactor*math.Exp(u.first) && v.First > slowLeast
}
