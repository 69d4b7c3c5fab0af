package gateway

import (
	"shallotrun/core/canary"
	"shallotrun/core/catalog"
	"shallotrun/core/clock"
	"shallotrun/core/work"
)

// repeatable reports whether a request that may have run may be sent again.
func (x *exchange) repeatable() bool { return x.route.Repeatable() }

// takeRetry reports whether another attempt is allowed, and takes it from the retry budget unless that was done already.
func (x *exchange) takeRetry() bool {
	now := x.g.Clock.Now()
	x.mu.Lock()
	taken := x.retryTaken
	x.retryTaken = false
	x.mu.Unlock()
	switch {
	case x.usedAttempts >= x.route.Attempts || x.attempts >= maxAttempts:
		x.exhausted = "attempts"
	case x.timeLeft(now) <= minTimeLeft:
		x.exhausted = "time"
	case !taken && !x.pool.takeRetry(now):
		x.exhausted = "retry budget"
	default:
		return true
	}
	return false
}

// attemptFailed records a failed attempt. It returns nil if the request is to be sent again, and otherwise the refusal.
func (x *exchange) attemptFailed(f *Fault) *work.Refusal {
	why := x.causeOfEnd()
	x.stopWaiting()
	x.attemptEnded(work.Result{
		Failed: f.Kind != RefusedByServer, Refused: f.Kind == RefusedByServer, Unreachable: f.Kind == NotSent || f.Kind == Moved,
	}, false)
	x.failedServers = append(x.failedServers, x.server.ID)
	broke := x.mayHaveEnded(f, why)
	ended := broke && x.serverEnded()
	x.recordFault(f, why, broke, ended)
	switch {
	case ended:
		x.recordCrash()
	case broke:
		x.checkAfterBreak()
	}
	if f.Kind != OutcomeUnknown {
		x.notRunServers = append(x.notRunServers, x.server.ID)
	}
	switch f.Kind {
	case NotSent, Moved:
	case RefusedByServer:
		x.usedAttempts++
	default:
		x.usedAttempts++
		x.mayHaveRun = true
	}
	switch {
	case why == causeCallerGone:
		return &work.Refusal{Code: codeGone, Status: 504, Ran: work.RunUnknown, Detail: "the caller went away"}
	case why == causeDeadline:
		return x.giveUp(work.CodeDeadline, "no answer came in time")
	case f.Kind == NotSent && x.attempts < maxAttempts:
		return nil
	case f.Kind == OutcomeUnknown && !x.repeatable():
		return x.giveUp(work.CodeBackendFailed, "no answer came from the backend server")
	}
	if ended {
		if refusal := x.checkParts(x.g.Clock.Now()); refusal != nil {
			return refusal
		}
	}
	if x.takeRetry() {
		x.g.metrics.retries.Inc()
		return nil
	}
	if f.Kind == RefusedByServer {
		return x.giveUp(work.CodeOverloaded, "the backend servers refused the request")
	}
	return x.giveUp(work.CodeBackendFailed, "no answer came from the backend servers")
}

// codeGone is the code, in log lines and metrics, of a request whose caller closed its connection.
const codeGone = "caller-gone"

// codeSlow is the code of a stream that ended because its caller read too slowly or not at all.
const codeSlow = "caller-slow"

// retryAfter is the shortest time after which a refused caller may retry. Up to the same time is added at random, so that callers
// that were refused together do not retry together.
const retryAfter = 400 * clock.Millisecond

// giveUp returns the refusal of a request after its last attempt: work.NotRun if no attempt may have run, else work.RunUnknown.
func (x *exchange) giveUp(code, detail string) *work.Refusal {
	if !x.mayHaveRun {
		return refuse(code, 503, retryAfter+jitter(retryAfter), detail)
	}
	status := 502
	if code == work.CodeDeadline {
		status = 504
	}
	return &work.Refusal{Code: code, Status: status, Ran: work.RunUnknown, Detail: detail}
}

// giveUpForLimits returns the refusal of a request that the limits of the servers leave no room for.
func (x *exchange) giveUpForLimits() *work.Refusal {
	retry := x.g.State.RefuseForLimits(x.service, x.workspaceName())
	x.g.metrics.limitRefusals.Inc()
	refusal := x.giveUp(work.CodeLimited, errLimited.Error())
	if refusal.Ran == work.NotRun {
		refusal.Retry = max(retry, retryAfter) + jitter(retryAfter)
	}
	return refusal
}

// giveUpForPause returns the refusal of a request whose servers all take none from this VM for now, with the time after which one does.
func (x *exchange) giveUpForPause(paused *pausedError) *work.Refusal {
	refusal := x.giveUp(work.CodeNoServer, paused.Error())
	if refusal.Ran == work.NotRun {
		refusal.Retry = paused.wait + jitter(retryAfter)
	}
	return refusal
}

// startWaiting tells the watching goroutine that the exchange waits for bytes of a backend server from now on. At giveUpTime the
// attempt is aborted for another one, 0 for never.
func (x *exchange) startWaiting(giveUpTime clock.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.wait = waitState{
		active: true, canRetry: x.usedAttempts+1 < x.route.Attempts && x.attempts < maxAttempts, hasEvents: x.events > 0,
		since: x.g.Clock.Now(), giveUpTime: giveUpTime, pool: x.pool, server: x.server,
		overdueResult: canary.Result{Route: x.route.Name, Model: x.model, Version: x.server.Version},
	}
	if x.endCause == causeSlow || x.endCause == causeServerSilent {
		x.endCause = causeNone // it was that of an earlier attempt
	}
}

// stopWaiting tells the watching goroutine that the exchange no longer waits for a backend server.
func (x *exchange) stopWaiting() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.wait.active = false
}

// causeOfEnd returns why the attempt was aborted, causeNone if it was not.
func (x *exchange) causeOfEnd() endCause {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.endCause
}

// firstAnswer records the first event of a stream, or the arrival of another answer. Later calls in the same attempt only stop
// the wait.
func (x *exchange) firstAnswer() {
	x.stopWaiting()
	if x.firstArrived {
		return
	}
	now := x.g.Clock.Now()
	x.firstArrived, x.timeToFirst = true, max(now.Sub(x.attemptStart), 1)
	x.g.metrics.firstSeconds.Observe(x.timeToFirst.Std().Seconds())
	x.pool.firstAnswer(x.server.ID, x.pendingTokens)
	x.pool.byteReceived(x.server.ID, now)
	if x.route.Kind == catalog.Streaming && x.causeOfEnd() == causeNone && !x.overdue.Load() {
		v := x.canaryResult(false)
		v.Partial = true
		x.g.State.Report(now, x.service, v)
	}
	if len(x.models) > 0 {
		x.pool.addPrefillTime(x.model, x.uncachedTokens(), x.timeToFirst, defaultPrefillTime*x.prefillWeight())
	}
	if len(x.models) > 0 && x.route.Objective > 0 {
		x.pool.addLateness(float64(x.timeToFirst) / float64(x.route.Objective))
	}
}

// attemptEnded records the end of an attempt. bad means that the server answered with an error.
func (x *exchange) attemptEnded(r work.Result, bad bool) {
	now := x.g.Clock.Now()
	r.Server, r.First, r.Total, r.Tokens = x.server.ID, x.timeToFirst, now.Sub(x.attemptStart), x.events
	x.pool.attemptEnded(x.server.ID, x.firstArrived, x.pendingTokens, x.tokensHeld, r)
	x.learnEnd(now, r)
	if x.events > minIntervalEvents {
		x.pool.addEventInterval(x.server.ID, x.model, x.eventInterval(now))
	}
	x.endAttemptSpan(r)
	if r.Refused || r.Failed && !bad {
		return
	}
	if x.reported && !bad {
		return
	}
	x.reportResult(bad)
}

// reportResult reports the attempt to the rollout order of its service, if there is one.
func (x *exchange) reportResult(bad bool) {
	x.reported = true
	now := x.g.Clock.Now()
	v := x.canaryResult(bad)
	if x.events > minIntervalEvents {
		v.Pace = x.eventInterval(now)
	}
	x.g.State.Report(now, x.service, v)
}

// eventInterval returns the mean time between the events of the attempt, in milliseconds.
func (x *exchange) eventInterval(now clock.Time) float64 {
	return float64(now.Sub(x.attemptStart)-x.timeToFirst) / float64(x.events-1)
}

// canaryResult returns the result of the attempt so far, without the time between events.
func (x *exchange) canaryResult(bad bool) canary.Result {
	return canary.Result{Route: x.route.Name, Model: x.model, Version: x.server.Version, Failed: bad, First: x.timeToFirst}
}

// intervalReportEvents is the number of events after which the time between them is reported. The end of the stream would be too
// late: a stream of a slow version can last longer than the canary part of a rollout order.
const intervalReportEvents = 6

// minIntervalEvents is the number of events that a stream must exceed for the time between them to be used.
const minIntervalEvents = 3
