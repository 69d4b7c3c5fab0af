package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"shallotrun/core/catalog"
	"shallotrun/core/clock"
)

const (
	// watchEvery is the interval at which the open requests are looked at.
	watchEvery = 100 * time.Millisecond
	// goneEvery is the number of intervals between two looks at a caller's connection.
	goneEvery = 2
	// A server is asked for a report when it sent nothing for this part of the route's longest pause between events,
	// or of the objective while the first event is due.
	pausePart  = 0.5
	pauseLeast = 400 * clock.Millisecond
	firstPart  = 0.6
	firstLeast = 800 * clock.Millisecond
	// A request that waits this many times as long at a server that lives is lost there, if the server says that no
	// request waits in its queue.
	lostFactor = 2
	// A stream that stands still this many times as long is taken up elsewhere even if requests wait at the server.
	stallFactor = 4
)

// watch ends attempts whose caller went away, whose time is over or whose server is silent.
func (g *Gateway) watch(ctx context.Context) {
	t := time.NewTicker(watchEvery)
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
		for _, x := range open {
			x.look(now, n%goneEvery == 0)
		}
	}
}

// look checks one request.
func (x *exchange) look(now clock.Time, caller bool) {
	if caller && x.request.Gone != nil && x.request.Gone() {
		x.fail(causeGone)
		return
	}
	if now >= x.end {
		x.fail(causeEnd)
		return
	}
	x.mu.Lock()
	w := x.waiting
	x.mu.Unlock()
	if w.on && !w.begun && x.route.Kind == catalog.Streaming && !x.overdue.Load() {
		w.late.First = now.Sub(w.since)
		x.overdue.Store(x.g.State.Overdue(x.service, w.late))
	}
	switch {
	case !w.on || !w.again:
	case w.limit != 0 && now >= w.limit:
		x.retry(now, w, causeSlow)
	case x.route.Resumable && x.dead(now, w):
		x.retry(now, w, causeSilent)
	}
}

// retry ends the attempt that is under way if another one can follow. Otherwise it goes on: a late answer is better than
// none.
func (x *exchange) retry(now clock.Time, w waiting, c cause) {
	if !w.again || x.end.Sub(now) <= leastLeft || x.barred() != "" || !w.pool.spend(now) {
		return
	}
	x.mu.Lock()
	x.paid = true
	x.mu.Unlock()
	x.fail(c)
}

// dead reports whether the server of a resumable stream is gone or has lost the request. A server that only works on
// long prompts sends nothing either, so it is asked first.
func (x *exchange) dead(now clock.Time, w waiting) bool {
	limit := max(clock.Span(firstPart*float64(x.route.Objective)), firstLeast)
	if w.begun {
		limit = max(clock.Span(pausePart*float64(x.route.Gap)), pauseLeast)
	}
	waited := now.Sub(w.since)
	if waited < limit {
		return false
	}
	silent, dead, load := w.pool.look(w.server, now, waited, limit)
	switch {
	case silent >= limit && dead:
		return true
	case load != nil && load.Waiting == 0 && waited >= lostFactor*limit:
		return true
	}
	return w.begun && waited >= stallFactor*limit
}

// fail ends the attempt that is under way, and with some causes the request.
func (x *exchange) fail(c cause) {
	x.mu.Lock()
	if x.cause == causeGone || x.cause == causeEnd {
		x.mu.Unlock()
		return
	}
	x.cause = c
	x.waiting.on = false
	if x.cancel != nil {
		x.cancel()
	}
	x.mu.Unlock()
	if c == causeGone || c == causeEnd {
		x.abort.Abort()
	} else {
		x.abort.Break()
	}
}

// spread returns a random span up to s.
func spread(s clock.Span) clock.Span { return clock.Span(rand.Float64() * float64(s)) }

func (c cause) String() string {
	switch c {
	case causeGone:
		return "caller gone"
	case causeEnd:
		return "time over"
	case causeSlow:
		return "slow"
	case causeSilent:
		return "server silent"
	default:
		return ""
	}
}
