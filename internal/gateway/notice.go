package gateway

import (
	"fmt"

	"shallotrun/core/backend"
	"shallotrun/core/clock"
	"shallotrun/core/limit"
)

// pausedError means that all servers which may get a request take none from this VM for now, or are in evacuated failure domains.
type pausedError struct {
	wait      clock.Span // until a server takes requests, estimated if all are in evacuated domains
	evacuated bool       // all are
}

func (e *pausedError) Error() string {
	if e.evacuated {
		return "the failure domains of the backend servers are evacuated"
	}
	return fmt.Sprintf("the backend servers take no requests from this VM for %d ms", e.wait)
}

// recordNotice records what a server says about itself in the answer to a request that was sent at a time. The request is "" for a load
// report.
func (g *Gateway) recordNotice(sent clock.Time, v backend.Server, n Notice, request string) {
	now := g.Clock.Boot()
	leaves := g.State.RecordLimit(now, sent, v, n.Limit) && n.Limit.Kind == limit.Leaving
	paused := false
	if request != "" || n.Pause > 0 { // the end of a load report is not that of an attempt
		g.pausesMu.Lock()
		paused = g.pauses.Record(now, v, n.Pause)
		g.pausesMu.Unlock()
	}
	if !leaves && !paused {
		return
	}
	g.metrics.notices.Inc()
	g.Log.Info().Str("request", request).Str("server", v.ID).Int64("born", v.Born).Bool("leaving", leaves).Int64("pause_ms", int64(n.Pause)).
		Msg("gateway: a server says in its answer that it takes no more requests from this VM, for a time or for good")
}

// usable returns the servers that have not said that they take no requests from this VM and are in no evacuated domain, those apart that
// come back from a pause or an evacuation and are used if no other one can take a request, and why there are none, nil if that is not known.
func (g *Gateway) usable(all []backend.Server) (out, reserve []backend.Server, none *pausedError) {
	all, away, wait := g.State.WithoutEvacuated(g.State.WithoutLeaving(all))
	g.pausesMu.Lock()
	defer g.pausesMu.Unlock()
	now := g.Clock.Boot()
	for _, v := range away {
		g.pauses.Hold(now, v)
	}
	out, reserve, pause := g.pauses.Usable(now, all)
	switch {
	case pause > 0:
		none = &pausedError{wait: pause}
	case wait > 0:
		none = &pausedError{wait: wait, evacuated: true}
	}
	return out, reserve, none
}

// evacuated reports whether a server is in an evacuated failure domain.
func (g *Gateway) evacuated(v backend.Server) bool {
	_, away, _ := g.State.WithoutEvacuated([]backend.Server{v})
	return len(away) > 0
}

// attemptStarts records that an attempt is made at a server.
func (g *Gateway) attemptStarts(v backend.Server) {
	g.pausesMu.Lock()
	defer g.pausesMu.Unlock()
	g.pauses.Start(g.Clock.Boot(), v)
}
