package gateway

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"shallotrun/core/work"
)

// Names of the trace spans: one for the request, and a child for each attempt.
const (
	spanRequest = "request"
	spanAttempt = "attempt"
)

var propagator propagation.TraceContext

// traceparent is the header that carries the trace context.
const traceparent = "traceparent"

// startSpan starts the span of a request as part of the caller's trace.
func (x *exchange) startSpan() {
	if x.g.Tracer == nil {
		return
	}
	ctx := propagator.Extract(context.Background(), propagation.MapCarrier{traceparent: x.request.Trace})
	x.ctx, x.span = x.g.Tracer.Start(ctx, spanRequest, trace.WithSpanKind(trace.SpanKindServer))
	x.span.SetAttributes(attribute.String("shallot.request", x.request.ID))
}

// startAttemptSpan starts the span of an attempt and returns the trace context for the server.
func (x *exchange) startAttemptSpan() string {
	if x.span == nil {
		return x.request.Trace
	}
	_, x.attemptSpan = x.g.Tracer.Start(x.ctx, spanAttempt, trace.WithSpanKind(trace.SpanKindClient))
	x.attemptSpan.SetAttributes(attribute.String("shallot.server", x.server.ID), attribute.String("shallot.version", x.server.Version),
		attribute.String("shallot.model", x.model), attribute.Int("shallot.attempt", x.attempts))
	m := propagation.MapCarrier{}
	propagator.Inject(trace.ContextWithSpan(x.ctx, x.attemptSpan), m)
	return m[traceparent]
}

// endAttemptSpan ends the span of the current attempt, if there is one.
func (x *exchange) endAttemptSpan(r work.Result) {
	if x.attemptSpan == nil {
		return
	}
	if r.Failed || r.Refused {
		x.attemptSpan.SetStatus(codes.Error, "failed")
	}
	x.attemptSpan.End()
	x.attemptSpan = nil
}

// endSpan ends the span of the request.
func (x *exchange) endSpan(refusal *work.Refusal) {
	if x.span == nil {
		return
	}
	if refusal != nil {
		x.span.SetAttributes(attribute.String("shallot.code", refusal.Code), attribute.String("shallot.ran", string(refusal.Ran)))
		x.span.SetStatus(codes.Error, refusal.Code)
	}
	x.span.End()
}
