package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"shallotrun/core/clock"
)

const (
	// watchEvery is the interval at which the open requests are looked at.
	watchEvery = 100 * time.Millisecond
	// goneEvery is the number of intervals between two looks at a caller's connection.
	goneEvery = 2
	// A stream without an event for silentPart of the route's longest pause is taken up elsewhere while that still
	// can hide the pause, if the server sends nothing else either.
	silentPart  = 0.5
	silentLeast = 400 * clock.Millisecond
	// A server that sends nothing at all for startPart of the route's objective while a request waits for its first
	// event is taken for dead.
	startPart  = 0.4
	startLeast = 800 * clock.Millisecond
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
	switch {
	case !w.on:
	case w.limit != 0 && now >= w.limit:
		x.fail(causeSlow)
	case x.route.Resumable && x.dead(now, w):
		x.fail(causeSilent)
	}
}

// dead reports whether the server of a resumable stream seems to be gone.
func (x *exchange) dead(now clock.Time, w waiting) bool {
	limit := max(clock.Span(startPart*float64(x.route.Objective)), startLeast)
	if w.begun {
		limit = max(clock.Span(silentPart*float64(x.route.Gap)), silentLeast)
	}
	return now.Sub(w.since) >= limit && w.pool.silent(w.name, now) >= limit
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
