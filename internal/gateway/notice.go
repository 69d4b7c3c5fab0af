package gateway

import (
	"fmt"

	"shallotrun/core/backend"
	"shallotrun/core/clock"
	"shallotrun/core/limit"
)

// pausedError means that all servers which may get a request take none from this VM for now.
type pausedError struct{ wait clock.Span }

func (e *pausedError) Error() string {
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

// usable returns the servers that have not said that they take no requests from this VM, those apart that come back from a pause and are
// used if no other one can take a request, and if there are none the time until one does, 0 for never.
func (g *Gateway) usable(all []backend.Server) (out, reserve []backend.Server, wait clock.Span) {
	all = g.State.WithoutLeaving(all)
	g.pausesMu.Lock()
	defer g.pausesMu.Unlock()
	return g.pauses.Usable(g.Clock.Boot(), all)
}

// attemptStarts records that an attempt is made at a server.
func (g *Gateway) attemptStarts(v backend.Server) {
	g.pausesMu.Lock()
	defer g.pausesMu.Unlock()
	g.pauses.Start(g.Clock.Boot(), v)
}
