package otlp

import (
	"context"
	"io"
	"time"

	"github.com/samber/oops"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/sdk/resource"
	"go.opentelemetry.io/otel/sdk/trace"
)

// Export sets the destination and the sampling of spans. Either URL or Writer must be set.
type Export struct {
	URL    string    // of an OTLP receiver, such as http://127.0.0.1:4318/v1/traces
	Writer io.Writer // for JSON
	Name   string    // of this VM
	Domain string    // failure domain of this VM
	Sample int       // of 1,000 requests without a sampling decision in the caller's traceparent, how many are traced
}

const (
	queueSpans    = 2048 // most spans that wait for export; further ones are dropped
	exportTimeout = 5 * time.Second
)

// Provider starts the export. Its user must shut the provider down, which exports the spans that still wait.
func (e *Export) Provider(ctx context.Context) (*trace.TracerProvider, error) {
	x, err := e.exporter(ctx)
	if err != nil {
		return nil, err
	}
	return trace.NewTracerProvider(
		trace.WithBatcher(x, trace.WithMaxQueueSize(queueSpans), trace.WithExportTimeout(exportTimeout)),
		trace.WithSampler(trace.ParentBased(trace.TraceIDRatioBased(float64(e.Sample)/1000))),
		trace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "shallotd"),
			attribute.String("service.instance.id", e.Name),
			attribute.String("shallot.domain", e.Domain),
		)),
	), nil
}

func (e *Export) exporter(ctx context.Context) (trace.SpanExporter, error) {
	if e.URL == "" {
		x, err := stdouttrace.New(stdouttrace.WithWriter(e.Writer))
		return x, oops.Wrapf(err, "trace export")
	}
	x, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(e.URL), otlptracehttp.WithTimeout(exportTimeout))
	return x, oops.Wrapf(err, "trace export to %s", e.URL)
}
