package entry

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"strings"

	"github.com/valyala/fasthttp"
	"go.opentelemetry.io/otel/trace"

	"shallotrun/core/clock"
	"shallotrun/core/route"
	"shallotrun/core/work"
	"shallotrun/io/caller"
)

// request holds the fields that a request of any kind has after the checks of admit.
type request struct {
	id        string
	head      caller.Headers
	table     *route.Table
	workspace *route.Workspace
	rank      work.Rank
	arrived   clock.Time
	deadline  clock.Time // 0 for none
	ctx       context.Context
	span      trace.Span // nil before the caller is known
}

// serve is the handler of the HTTP server for callers.
func (d *Daemon) serve(ctx *fasthttp.RequestCtx) {
	r := &request{id: rand.Text(), arrived: d.Clock.Now()}
	refusal := d.admit(ctx, r)
	if refusal == nil {
		d.openRequests.Add(1)
		d.metrics.openRequests.Inc()
		d.startSpan(r)
		refusal = d.dispatch(ctx, r)
	}
	if refusal != nil {
		d.metrics.refusals.WithLabelValues(refusal.Code).Inc()
		r.recordRefusal(refusal)
		caller.Problem(ctx, refusal, r.id)
	}
	if !ctx.Response.IsBodyStream() && r.span != nil {
		d.finishRequest(r)
	}
}

// dispatch passes a request to the handler of its path. If the answer is a body stream, its Close calls finishRequest.
func (d *Daemon) dispatch(ctx *fasthttp.RequestCtx, r *request) *work.Refusal {
	path := string(ctx.Path())
	switch {
	case path == "/v1/chat/completions" && ctx.IsPost():
		return d.chat(ctx, r)
	case path == "/v1/models" && ctx.IsGet():
		return d.models(ctx, r)
	case strings.HasPrefix(path, servicePrefix):
		return d.service(ctx, r)
	}
	return refuse(work.CodeBadRequest, 404, "there is no "+string(ctx.Method())+" on this path")
}

// finishRequest ends the span of a request and removes the request from the number of open ones.
func (d *Daemon) finishRequest(r *request) {
	r.span.End()
	d.openRequests.Add(-1)
	d.metrics.openRequests.Dec()
}

// admit makes the checks that every request has to pass, and sets the fields of r that they give.
func (d *Daemon) admit(ctx *fasthttp.RequestCtx, r *request) *work.Refusal {
	if d.stopping.Load() {
		ctx.SetConnectionClose()
		return retryLater(refuse(work.CodeStopping, 503, "this entry VM is shutting down"))
	}
	var refusal *work.Refusal
	if r.head, refusal = caller.ReadHeaders(&ctx.Request.Header); refusal != nil {
		return refusal
	}
	if r.table = d.table(); r.table == nil {
		return retryLater(refuse(work.CodeNoDocument, 503, "this entry VM has no configuration yet"))
	}
	if r.workspace = r.table.WorkspaceByKey(r.head.APIKey); r.workspace == nil {
		return refuse(work.CodeKeyUnknown, 401, "the API key is not known")
	}
	if int(d.openRequests.Load()) >= d.MaxRequests {
		return retryLater(refuse(work.CodeOverloaded, 503, "this entry VM has too many open requests"))
	}
	if r.head.Deadline > 0 {
		r.deadline = r.arrived.Add(r.head.Deadline)
	}
	return nil
}

// setRank sets the rank: the one that the caller asked for, else def, else normal. A default is limited to the most urgent
// rank that the workspace may use; if the caller asked for a more urgent one, the request is refused.
func (r *request) setRank(def string) *work.Refusal {
	if r.head.Rank == "" {
		v, err := work.ParseRank(def)
		if err != nil {
			v = work.Normal
		}
		r.rank = max(v, r.workspace.MostUrgent)
		return nil
	}
	v, err := work.ParseRank(r.head.Rank)
	if err != nil {
		return refuse(work.CodeBadRequest, 400, err.Error())
	}
	if v < r.workspace.MostUrgent {
		return refuse(work.CodeRankNotAllowed, 403, "the workspace may not use rank "+v.String())
	}
	r.rank = v
	return nil
}

// timeLeft returns the time until the deadline, at least 1 ms, or def if there is no deadline.
func (r *request) timeLeft(now clock.Time, def clock.Span) clock.Span {
	if r.deadline == 0 {
		return def
	}
	return max(r.deadline.Sub(now), 1)
}

// models lists the names that the workspace may use.
func (d *Daemon) models(ctx *fasthttp.RequestCtx, r *request) *work.Refusal {
	type model struct {
		ID     string `json:"id"`
		Object string `json:"object"`
	}
	out := struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{Object: "list", Data: []model{}}
	for _, n := range r.table.Names(r.workspace) {
		out.Data = append(out.Data, model{n, "model"})
	}
	b, err := json.Marshal(out)
	if err != nil {
		return refuse(work.CodeBackendFailed, 500, "the list could not be written")
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(b)
	return nil
}

// retryLater sets a retry delay of one second on a refusal.
func retryLater(r *work.Refusal) *work.Refusal {
	r.Retry = clock.Second
	return r
}
