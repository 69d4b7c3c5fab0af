package canary

import (
	"fmt"
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
	// A stream counts as slower than most at this many times the usual time between events.
	paceFactor = 1.7
	// usualLeast is the number of answers after which the usual time is known well enough.
	usualLeast = 6
	// usualMost is the number of answers that the usual time follows. It is long, so that what counts as slow hardly
	// moves while versions are compared.
	usualMost = 300
	// The new version is blamed only if the odds are this high, as a logarithm, that its answers fail riseFactor times
	// as often as those of the old version in the same time: a fault of the network or of a dependency strikes both.
	// Any of several VMs may blame it on any route, so the odds are higher than for one test.
	riseOdds   = 8
	riseFactor = 3
	riseLeast  = 0.3
	// An order is not finished while the odds against the new version are this high.
	suspectOdds = 3
	// Before the last stage the new version gets at most this part of the trial's share of all requests since the order,
	// and a few, even if a session with much of the traffic falls to it.
	trialCap  = 0.6
	allowance = 2
)

// Rollout carries out one order on one VM.
type Rollout struct {
	Order Order
	Seen  clock.Time // by this VM
	// Share is the part of the service's requests that a bad version may get, 0 means 0.15.
	Share float64

	evidence rollout.Evidence
	usual    map[pair]*usual
	old, new map[string]*tally // results of each version that are known here, by service and route
	own      map[subject]count // results of this VM
	fleet    map[subject]count // the largest sums of other VMs' results so far
	total    float64           // requests of the service since the order
	exposed  float64           // of them to the new version
	verdict  string            // why the new version is bad, "" if it is not
}

// tally counts the results of a version.
type tally struct{ bad, all float64 }

func (t *tally) good() float64 {
	if t == nil {
		return 0
	}
	return t.all - t.bad
}

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
func (t *tally) odds(rate float64) float64 { return t.against(rate, riseLeast) }

// against is odds with the least rate of a version that fails more often.
func (t *tally) against(rate, least float64) float64 {
	rate = min(max(rate, leastRate), 0.9)
	rise := min(max(riseFactor*rate, least), 0.95)
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
	s := newStages(r.Share)
	part := s.part(r.part(now))
	if position >= part || part < 1 && r.exposed >= trialCap*s.trial*r.total+allowance {
		return false
	}
	r.exposed++
	return true
}

// Report takes the result of a request, or of its first part.
func (r *Rollout) Report(v Result) {
	if r.Order.State == Done || r.Order.State == RolledBack {
		return
	}
	u := r.times(v)
	target := v.Version == r.Order.Target
	if v.Started || v.Pace == 0 && !v.Failed {
		r.started(u, v)
	}
	if v.Started {
		return
	}
	// Answers of the old version count as slow by the same measure, so that load that slows both is not blamed on the
	// new one.
	bad := v.Failed || u.slow(v)
	if v.Pace > 0 && !v.Failed {
		r.paced(u, v)
	}
	for _, model := range []string{r.Order.Service, v.Route} {
		r.count(model, target, bad)
	}
}

// Overdue takes the time for which a request has waited for its first answer. It reports whether that is so long that the
// request counts as slow already; nothing more is then reported about its first answer.
func (r *Rollout) Overdue(v Result) bool {
	if r.Order.State == Done || r.Order.State == RolledBack || !r.times(v).late(v) {
		return false
	}
	r.count(starts(r.Order.Service), v.Version == r.Order.Target, true)
	return true
}

// started counts whether the first answer came late. These results are apart from the others: the time to the first event of a
// stream also depends on its prompt, so more of them are late with both versions, and failures would show less.
func (r *Rollout) started(u *usual, v Result) {
	if u.first.count >= usualLeast {
		r.count(starts(r.Order.Service), v.Version == r.Order.Target, u.late(v))
	}
	if v.Version != r.Order.Target {
		u.first.add(float64(max(v.First, 1)))
	}
}

// paced counts whether a stream was slower than most of the old version. A server that is several times as slow under load is
// hardly twice as slow while it gets few requests, so a smaller factor counts here, apart from the other results.
func (r *Rollout) paced(u *usual, v Result) {
	target := v.Version == r.Order.Target
	if u.pace.count >= usualLeast {
		r.count(paces(r.Order.Service), target, v.Pace > paceFactor*math.Exp(u.pace.log))
	}
	if !target {
		u.pace.add(v.Pace)
	}
}

// paces names the results about the time between events.
func paces(service string) string { return service + " paces" }

// starts names the results about first answers.
func starts(service string) string { return service + " starts" }

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
		return RolledBack, r.verdict + ": " + r.summary()
	case r.part(now) >= finishAt && r.enough() && !r.suspected():
		return Done, "no rise in failures: " + r.summary()
	}
	return Running, ""
}

// good returns the good answers of the new version that are known here.
func (r *Rollout) good() float64 { return r.new[r.Order.Service].good() }

// enough reports whether the new version gave enough good answers, and enough streams that were neither late nor slow if the
// service has streams.
func (r *Rollout) enough() bool {
	s := r.Order.Service
	if !r.cleared(s, riseLeast) {
		return false
	}
	for _, subject := range []string{starts(s), paces(s)} {
		if r.old[subject].good() >= streamsLeast && !r.cleared(subject, slowRise) {
			return false
		}
	}
	return true
}

// cleared reports whether the results of a subject speak for the new version with a chance of at most missChance that it is
// bad in at least a part of its results.
func (r *Rollout) cleared(subject string, least float64) bool {
	t := r.new[subject]
	return t != nil && t.against(r.oldRate(subject), least) <= math.Log(missChance)
}

// slowRise is the least part of late or slow streams of a version that is slow: of one that is twice as slow, more than half are.
const slowRise = 0.5

// streamsLeast is the number of the old version's streams from which the new one's are compared with them.
const streamsLeast = 20

// suspected reports whether some results speak against the new version, though not enough for a verdict.
func (r *Rollout) suspected() bool {
	for model, t := range r.new {
		if t.odds(r.oldRate(model)) >= suspectOdds {
			return true
		}
	}
	return false
}

// summary says what the results of the whole service are, for the log.
func (r *Rollout) summary() string {
	s := r.Order.Service
	text := func(t *tally) string {
		if t == nil {
			return "0 of 0"
		}
		return fmt.Sprintf("%.0f of %.0f", t.bad, t.all)
	}
	return fmt.Sprintf("bad %s, before %s; late starts %s, before %s; slow streams %s, before %s",
		text(r.new[s]), text(r.old[s]), text(r.new[starts(s)]), text(r.old[starts(s)]),
		text(r.new[paces(s)]), text(r.old[paces(s)]))
}

// Counts returns how many requests the service had since the order, how many of them the new version got, as this VM
// saw them, and the new version's good answers that are known here.
func (r *Rollout) Counts() (total, exposed, good int) {
	return int(r.total), int(r.exposed), int(r.good())
}
