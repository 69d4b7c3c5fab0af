package entry

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"shallotrun/core/work"
)

// Names of the spans, one for each hop. A request has one caller span; its children are a queue and a dispatch
// span for each stage and retry, and a backend span for each attempt.
const (
	spanCaller   = "caller"
	spanQueue    = "queue"
	spanDispatch = "dispatch"
	spanBackend  = "backend"
)

var propagator propagation.TraceContext

// trace starts the caller's span of a request. A traceparent of the caller is continued.
func (d *Daemon) trace(r *request) {
	ctx := context.Background()
	if r.head.Trace != "" {
		ctx = propagator.Extract(ctx, propagation.MapCarrier{"traceparent": r.head.Trace})
	}
	r.ctx, r.span = d.Tracer.Start(ctx, spanCaller, trace.WithSpanKind(trace.SpanKindServer))
	if r.span.IsRecording() {
		r.span.SetAttributes(attribute.String("shallot.request", r.id))
	}
}

// step starts the span of a hop.
func (d *Daemon) step(r *request, name string) trace.Span {
	if r.span == nil || !r.span.IsRecording() {
		return noop.Span{}
	}
	_, s := d.Tracer.Start(r.ctx, name)
	return s
}

// parent returns the traceparent for a backend server: the hop's span, or what the caller sent.
func (r *request) parent(s trace.Span) string {
	c := s.SpanContext()
	if !c.IsValid() {
		return r.head.Trace
	}
	m := propagation.MapCarrier{}
	propagator.Inject(trace.ContextWithSpanContext(context.Background(), c), m)
	return m["traceparent"]
}

// fault marks a span as failed.
func fault(s trace.Span, text string) {
	if s.IsRecording() {
		s.SetStatus(codes.Error, text)
	}
}

// describe records what serves a request.
func describe(s trace.Span, model, version, server string, attempt int) {
	if s.IsRecording() {
		s.SetAttributes(attribute.String("shallot.model", model), attribute.String("shallot.version", version),
			attribute.String("shallot.server", server), attribute.Int("shallot.attempt", attempt))
	}
}

// refused records a refusal on the caller's span.
func (r *request) refused(v *work.Refusal) {
	if r.span != nil && r.span.IsRecording() {
		r.span.SetAttributes(attribute.String("shallot.code", v.Code), attribute.String("shallot.ran", string(v.Ran)))
		fault(r.span, v.Code)
	}
}
