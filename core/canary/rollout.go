package canary

import (
	"fmt"
	"math"
	"strings"

	"shallotrun/core/clock"
)

const (
	// slowFactor is the multiple of the usual time above which an answer is slow, and so a bad result.
	slowFactor = 5
	// slowMin is the time below which no answer is slow, whatever the usual time is.
	slowMin = 60 * clock.Millisecond
	// slowStreamFactor is the multiple of the usual time between events above which a stream is slower than usual.
	slowStreamFactor = 1.7
	// baselineMin is the number of answers from which a usual time is reliable.
	baselineMin = 6
	// baselineWindow is the number of answers over which the usual time is averaged. It is long, so that the limit for slow
	// answers hardly moves while the versions are compared.
	baselineWindow = 300
	// Before the last stage a request without a session goes to the new version only while that has at most trialCap times the trial
	// fraction of all requests since the order, plus trialAllowance requests. Such requests make room where sessions that are assigned
	// to the new version have much of the traffic.
	trialCap       = 0.6
	trialAllowance = 2
)

// Rollout carries out one order on one VM.
type Rollout struct {
	Order     Order
	FirstSeen clock.Time // when this VM first read the order
	// Share is the fraction of the service's requests that a bad version may get; 0 means 0.15.
	Share float64

	baseline map[routeModel]*baseline
	known    map[series]*results // results known to this VM
	own      map[series]*results // those of this VM
	fleet    map[series]*results // largest sums of other VMs' results so far
	requests float64             // requests of the service since the order
	exposed  float64             // requests sent to the new version
	verdict  string              // why the new version is bad, or ""

	failed          uint64     // failed answers of the new version known to this VM
	manyFailedSince clock.Time // when this VM first knew of maxFailed of them, 0 before
}

// fraction returns the fraction of the order's duration that has elapsed.
func (r *Rollout) fraction(now clock.Time) float64 {
	return float64(now.Sub(r.FirstSeen)) / float64(max(r.Order.Duration, 1))
}

// Admit decides whether the next request goes to the new version, and counts the request. The position is in [0, 1). A session has a
// fixed position, and only that and the time decide, so that all VMs decide alike about it and it never returns to the old version. A
// request without a session has a random position.
func (r *Rollout) Admit(now clock.Time, position float64, session bool) bool {
	switch {
	case r.Order.State == Done:
		return true
	case r.Order.State == RolledBack || r.verdict != "":
		return false
	}
	r.requests++
	s := newStages(r.Share)
	fraction := s.fraction(r.fraction(now))
	if position >= fraction || !session && fraction < 1 && r.exposed >= trialCap*s.trial*r.requests+trialAllowance {
		return false
	}
	r.exposed++
	return true
}

// Report takes in the result of a request that ended now, or the time to its first answer while the request still runs.
func (r *Rollout) Report(now clock.Time, v Result) {
	if r.Order.State == Done || r.Order.State == RolledBack {
		return
	}
	u := r.baselineOf(v)
	target := v.Version == r.Order.Target
	if v.Partial || v.Pace == 0 && !v.Failed {
		r.recordStart(now, u, v)
	}
	if v.Partial {
		return
	}
	// The baseline is that of the old version for both, and answers of the old version can be slow too, so that the new version
	// is not blamed for a load that slows both.
	bad := v.Failed || u.slow(v)
	if v.Pace > 0 && !v.Failed {
		r.recordPace(now, u, v)
	}
	for _, name := range []string{r.Order.Service, v.Route} {
		r.count(now, name, target, bad)
	}
	r.count(now, failureSeries(r.Order.Service), target, v.Failed)
}

// Overdue takes the time that a request has waited so far for its first answer. It returns true if that is long enough to
// record the first answer as late already; the caller then reports nothing more about that first answer.
func (r *Rollout) Overdue(now clock.Time, v Result) bool {
	if r.Order.State == Done || r.Order.State == RolledBack || !r.baselineOf(v).late(v) {
		return false
	}
	r.count(now, startSeries(r.Order.Service), v.Version == r.Order.Target, true)
	return true
}

// recordStart records whether the first answer was late. These results are a series of their own: the time to the first event
// also depends on the length of the prompt, so more of them are late with both versions, and failures would stand out less.
func (r *Rollout) recordStart(now clock.Time, u *baseline, v Result) {
	if u.first.count >= baselineMin {
		r.count(now, startSeries(r.Order.Service), v.Version == r.Order.Target, u.late(v))
	}
	if v.Version != r.Order.Target {
		u.first.add(float64(max(v.First, 1)))
	}
}

// recordPace records whether a stream was slower than usual. A server that is several times as slow under load is hardly
// twice as slow while it gets few requests, so these results are a series of their own with a smaller factor.
func (r *Rollout) recordPace(now clock.Time, u *baseline, v Result) {
	target := v.Version == r.Order.Target
	if u.pace.count >= baselineMin {
		r.count(now, paceSeries(r.Order.Service), target, v.Pace > slowStreamFactor*math.Exp(u.pace.log))
	}
	if !target {
		u.pace.add(v.Pace)
	}
}

// paceSeries returns the name of the series about the time between events of streams.
func paceSeries(service string) string { return service + " paces" }

// failureSeries returns the name of the series about answers that failed, whatever their time.
func failureSeries(service string) string { return service + " failures" }

// startSeries returns the name of the series about first answers.
func startSeries(service string) string { return service + " starts" }

// count adds a result of this VM to a series.
func (r *Rollout) count(now clock.Time, name string, target, bad bool) {
	if r.own == nil {
		r.own = make(map[series]*results)
	}
	k, slice, c := series{name, target}, r.slice(now), count{good: 1}
	if bad {
		c = count{bad: 1}
	}
	seriesOf(r.own, k).add(slice, c)
	r.addResults(k, slice, c)
	if bad {
		r.judge(k)
	}
}

// addResults adds results of this VM or of others to a series.
func (r *Rollout) addResults(k series, slice int, c count) {
	if r.known == nil {
		r.known = make(map[series]*results)
	}
	seriesOf(r.known, k).add(slice, c)
	if k.target && c.bad > 0 && k.name == failureSeries(r.Order.Service) {
		r.failed += c.bad
	}
}

// total returns the results of a series since the order.
func (r *Rollout) total(k series) count { return r.known[k].total() }

func b2f(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// Decide returns the state that the order should have now, and the reason for a change.
func (r *Rollout) Decide(now clock.Time) (State, string) {
	switch {
	case r.Order.State == Done || r.Order.State == RolledBack:
		return r.Order.State, ""
	case r.failsTooOften(now):
		r.verdict = fmt.Sprintf("%d answers failed, and nothing shows that the old version's would have", maxFailed)
		fallthrough
	case r.verdict != "":
		return RolledBack, r.verdict + ": " + r.summary()
	case r.fraction(now) >= finishAt && r.cleared() && !r.suspected():
		return Done, "no rise in failures: " + r.summary()
	}
	return Running, ""
}

// Unfinished returns why an order whose time has come to be finished is not, as text for the log, and "" for any other order.
func (r *Rollout) Unfinished(now clock.Time) string {
	if s, _ := r.Decide(now); s != Running || r.fraction(now) < finishAt {
		return ""
	}
	if r.suspected() {
		return "more failures, but too few for a verdict: " + r.summary()
	}
	return "too few good answers: " + r.summary()
}

// good returns the number of the new version's good answers that are known to this VM.
func (r *Rollout) good() uint64 { return r.total(series{r.Order.Service, true}).good }

// summary returns the results of the whole service as text for the log.
func (r *Rollout) summary() string {
	s := r.Order.Service
	text := func(name string) string {
		n, o := r.total(series{name, true}), r.total(series{name, false})
		return fmt.Sprintf("%v, old version %v", n, o)
	}
	return fmt.Sprintf("bad answers %s; failed answers %s; late first answers %s; slow streams %s; bad answers by time, new and old version: %s",
		text(s), text(failureSeries(s)), text(startSeries(s)), text(paceSeries(s)), r.summaryByTime(s))
}

// summaryByTime returns the results of both versions in each slice of a series in which the new version has any.
func (r *Rollout) summaryByTime(name string) string {
	var out []string
	for i := range maxSlices {
		if n := r.known[series{name, true}].at(i); n != (count{}) {
			out = append(out, fmt.Sprintf("%v and %v", n, r.known[series{name, false}].at(i)))
		}
	}
	return strings.Join(out, ", ")
}

// Counts returns the number of the service's requests that this VM saw since the order, how many of them it sent to the new
// version, and the new version's good answers that are known to this VM.
func (r *Rollout) Counts() (total, exposed, good int) {
	return int(r.requests), int(r.exposed), int(r.good())
}
