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

// Names of the spans, one for each hop. A request has one caller span. Its children are a queue span and a dispatch span for
// each stage and retry, and a backend span for each attempt.
const (
	spanCaller   = "caller"
	spanQueue    = "queue"
	spanDispatch = "dispatch"
	spanBackend  = "backend"
)

var propagator propagation.TraceContext

// startSpan starts the caller span of a request, as a child of the traceparent that the caller sent, if any.
func (d *Daemon) startSpan(r *request) {
	ctx := context.Background()
	if r.head.Trace != "" {
		ctx = propagator.Extract(ctx, propagation.MapCarrier{"traceparent": r.head.Trace})
	}
	r.ctx, r.span = d.Tracer.Start(ctx, spanCaller, trace.WithSpanKind(trace.SpanKindServer))
	if r.span.IsRecording() {
		r.span.SetAttributes(attribute.String("shallot.request", r.id))
	}
}

// hopSpan starts the span of a hop as a child of the caller span. If that is not recorded, the result has no effect.
func (d *Daemon) hopSpan(r *request, name string) trace.Span {
	if r.span == nil || !r.span.IsRecording() {
		return noop.Span{}
	}
	_, s := d.Tracer.Start(r.ctx, name)
	return s
}

// traceparent returns the traceparent for a backend server: that of the hop's span, or without one that of the caller.
func (r *request) traceparent(s trace.Span) string {
	c := s.SpanContext()
	if !c.IsValid() {
		return r.head.Trace
	}
	m := propagation.MapCarrier{}
	propagator.Inject(trace.ContextWithSpanContext(context.Background(), c), m)
	return m["traceparent"]
}

// setError sets the status of a span to failed.
func setError(s trace.Span, text string) {
	if s.IsRecording() {
		s.SetStatus(codes.Error, text)
	}
}

// setAttempt records on a span the model, version, server and number of an attempt.
func setAttempt(s trace.Span, model, version, server string, attempt int) {
	if s.IsRecording() {
		s.SetAttributes(attribute.String("shallot.model", model), attribute.String("shallot.version", version),
			attribute.String("shallot.server", server), attribute.Int("shallot.attempt", attempt))
	}
}

// recordRefusal records a refusal on the caller span.
func (r *request) recordRefusal(v *work.Refusal) {
	if r.span != nil && r.span.IsRecording() {
		r.span.SetAttributes(attribute.String("shallot.code", v.Code), attribute.String("shallot.ran", string(v.Ran)))
		setError(r.span, v.Code)
	}
}
