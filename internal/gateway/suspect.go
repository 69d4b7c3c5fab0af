package gateway

import (
	"shallotrun/core/backend"
	"shallotrun/core/clock"
	"shallotrun/core/work"
)

// checkServer checks a server at which a request has waited for the given time. It returns the time since any VM received a byte
// from it, limited to the time for which this VM has had requests there; whether the server failed to answer the last request for
// a load report; and the load report if that was requested less than limit ago. It requests a report if the server has been
// silent for limit, or if it answers others but this request has waited so long that the server may have lost it; never from a server in
// an evacuated failure domain.
func (p *pool) checkServer(v backend.Server, now clock.Time, waited, limit clock.Span) (
	silent clock.Span, unreachable bool, report *work.Load,
) {
	others := p.g.State.UsageByOthers(now)
	p.mu.Lock()
	defer p.mu.Unlock()
	u := p.servers[v.ID]
	if u == nil {
		return 0, false, nil
	}
	silent = min(now.Sub(u.busySince), u.sinceLastByte(now))
	if others != nil {
		if o, ok := others.Uses[v.ID]; ok {
			silent = min(silent, o.SinceLastByte+now.Sub(others.At))
		}
	}
	suspicious := silent >= limit || waited >= lostFactor*limit
	if suspicious && waited >= limit && !u.reportPending && now.Sub(u.reportRequested) >= limit && !p.g.evacuated(v) &&
		p.g.State.TakeSlot(v, "") {
		u.reportPending, u.reportRequested = true, now
		go p.fetchReport(v)
	}
	if !u.reportPending && now.Sub(u.reportRequested) < limit {
		report = u.report
	}
	return silent, u.unreachable, report
}

// fetchReport requests the load report of a server. A report also proves that the server is alive.
func (p *pool) fetchReport(v backend.Server) {
	sent := p.g.Clock.Boot()
	r, err := p.g.Backend.Report(v)
	p.g.metrics.reports.Inc()
	p.g.recordNotice(sent, v, r.Notice, "")
	p.mu.Lock()
	defer p.mu.Unlock()
	u := p.servers[v.ID]
	if u == nil {
		return
	}
	u.reportPending, u.unreachable = false, err != nil
	u.report = nil
	if err == nil {
		u.report, u.lastByte = &r.Load, p.g.Clock.Now()
	}
	p.g.Log.Info().Err(err).Str("server", v.ID).Int("running", r.Running).Int("waiting", r.Waiting).
		Msg("gateway: load report of a suspect server")
}
