package gateway

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"shallotrun/core/work"
)

// Names of the spans: one for the request, and a child for each attempt.
const (
	spanRequest = "request"
	spanAttempt = "attempt"
)

var propagator propagation.TraceContext

// traceparent is the header that carries a trace.
const traceparent = "traceparent"

// trace starts the span of a request. The caller's trace is continued.
func (x *exchange) trace() {
	if x.g.Tracer == nil {
		return
	}
	ctx := propagator.Extract(context.Background(), propagation.MapCarrier{traceparent: x.request.Trace})
	x.ctx, x.span = x.g.Tracer.Start(ctx, spanRequest, trace.WithSpanKind(trace.SpanKindServer))
	x.span.SetAttributes(attribute.String("shallot.request", x.request.ID))
}

// traceAttempt starts the span of an attempt, and returns the trace that the server is to continue.
func (x *exchange) traceAttempt() string {
	if x.span == nil {
		return x.request.Trace
	}
	_, x.hop = x.g.Tracer.Start(x.ctx, spanAttempt, trace.WithSpanKind(trace.SpanKindClient))
	x.hop.SetAttributes(attribute.String("shallot.server", x.server.ID), attribute.String("shallot.version", x.server.Version),
		attribute.String("shallot.model", x.model), attribute.Int("shallot.attempt", x.tries))
	m := propagation.MapCarrier{}
	propagator.Inject(trace.ContextWithSpan(x.ctx, x.hop), m)
	return m[traceparent]
}

// endAttempt ends the span of the attempt under way, if any.
func (x *exchange) endAttempt(r work.Result) {
	if x.hop == nil {
		return
	}
	if r.Failed || r.Refused {
		x.hop.SetStatus(codes.Error, "failed")
	}
	x.hop.End()
	x.hop = nil
}

// endTrace ends the span of the request.
func (x *exchange) endTrace(refusal *work.Refusal) {
	if x.span == nil {
		return
	}
	if refusal != nil {
		x.span.SetAttributes(attribute.String("shallot.code", refusal.Code), attribute.String("shallot.ran", string(refusal.Ran)))
		x.span.SetStatus(codes.Error, refusal.Code)
	}
	x.span.End()
}
