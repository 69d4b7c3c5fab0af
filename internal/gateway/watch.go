package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"shallotrun/core/catalog"
	"shallotrun/core/clock"
)

const (
	// watchInterval is the interval at which the open requests are checked.
	watchInterval = 100 * time.Millisecond
	// callerCheckTicks is the number of intervals from one check of a caller's connection to the next.
	callerCheckTicks = 2
	// A load report is requested from a server that has sent nothing for a limit: pauseFraction of the route's longest pause
	// between events, at least minPause, or before the first event firstFraction of the objective, at least minFirst.
	pauseFraction = 0.5
	minPause      = 400 * clock.Millisecond
	firstFraction = 0.6
	minFirst      = 800 * clock.Millisecond
	// A live server is assumed to have lost a request that has waited for lostFactor times the limit, if its load report shows an
	// empty queue.
	lostFactor = 2
	// A stream without an event for stallFactor times the limit is resumed at another server, even if the queue is not empty.
	stallFactor = 4
)

// watchOpen aborts attempts whose caller closed its connection, whose deadline has passed, or whose server is slow or silent.
func (g *Gateway) watchOpen(ctx context.Context) {
	t := time.NewTicker(watchInterval)
	defer t.Stop()
	var open []*exchange
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		open = open[:0]
		g.mu.Lock()
		for x := range g.open {
			open = append(open, x)
		}
		g.mu.Unlock()
		now := g.Clock.Now()
		g.bodyMemory.makeRoom(now)
		for _, x := range open {
			x.check(now, n%callerCheckTicks == 0)
		}
	}
}

// check checks one request, and its caller's connection if caller is set.
func (x *exchange) check(now clock.Time, caller bool) {
	if caller && x.request.CallerGone != nil && x.request.CallerGone() {
		x.abortAttempt(causeCallerGone)
		return
	}
	if x.timeLeft(now) <= 0 {
		x.abortAttempt(causeDeadline)
		return
	}
	x.mu.Lock()
	w := x.wait
	x.mu.Unlock()
	if w.active && !w.hasEvents && x.route.Kind == catalog.Streaming && !x.overdue.Load() {
		w.overdueResult.First = now.Sub(w.since)
		x.overdue.Store(x.g.State.Overdue(now, x.service, w.overdueResult))
	}
	switch {
	case !w.active || !w.canRetry:
	case w.giveUpTime != 0 && now >= w.giveUpTime:
		x.abortForRetry(now, w, causeSlow)
	case x.route.Resumable && x.serverLost(now, w):
		x.abortForRetry(now, w, causeServerSilent)
	}
}

// abortForRetry aborts the current attempt if another one can follow. Otherwise the attempt continues, because a late answer is
// better than none.
func (x *exchange) abortForRetry(now clock.Time, w waitState, c endCause) {
	if !w.canRetry || x.timeLeft(now) <= minTimeLeft || x.keyFault() != "" || !w.pool.hasRoom(x) || !w.pool.takeRetry(now) {
		return
	}
	x.mu.Lock()
	x.retryTaken = true
	x.mu.Unlock()
	x.abortAttempt(c)
}

// serverLost reports whether the server of a resumable stream is gone or has lost the request. A server that is busy with long
// prompts sends nothing either, so its load report is requested first.
func (x *exchange) serverLost(now clock.Time, w waitState) bool {
	limit := max(clock.Span(firstFraction*float64(x.route.Objective)), minFirst)
	if w.hasEvents {
		limit = max(clock.Span(pauseFraction*float64(x.route.Gap)), minPause)
	}
	waited := now.Sub(w.since)
	if waited < limit {
		return false
	}
	silent, unreachable, report := w.pool.checkServer(w.server, now, waited, limit)
	switch {
	case silent >= limit && unreachable:
		return true
	case report != nil && report.Waiting == 0 && waited >= lostFactor*limit:
		return true
	}
	return w.hasEvents && waited >= stallFactor*limit
}

// abortAttempt aborts the current attempt. If the caller is gone or the deadline has passed, it ends the request as well.
func (x *exchange) abortAttempt(c endCause) {
	x.mu.Lock()
	if x.endCause == causeCallerGone || x.endCause == causeDeadline {
		x.mu.Unlock()
		return
	}
	x.endCause = c
	x.wait.active = false
	if x.cancel != nil {
		x.cancel()
	}
	x.mu.Unlock()
	if c == causeCallerGone || c == causeDeadline {
		x.abort.Abort()
	} else {
		x.abort.AbortCurrent()
	}
}

// jitter returns a random span up to s.
func jitter(s clock.Span) clock.Span { return clock.Span(rand.Float64() * float64(s)) }

// String returns the text for log lines.
func (c endCause) String() string {
	switch c {
	case causeCallerGone:
		return "caller gone"
	case causeDeadline:
		return "time over"
	case causeSlow:
		return "slow"
	case causeServerSilent:
		return "server silent"
	default:
		return ""
	}
}
