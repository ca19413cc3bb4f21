// Package tracer records traces with a span for each hop of a request or a ticket, which is a step of its processing in
// one process.
package tracer

import (
	"context"
	"log/slog"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
)

const (
	scope = "egretring"
	// maxQueuedSpans bounds the memory of spans that wait for export; further spans are dropped.
	maxQueuedSpans = 2048
)

// Tracer starts the spans of one entry instance and propagates the trace context between processes.
type Tracer struct {
	provider   *sdktrace.TracerProvider
	propagator propagation.TextMapPropagator
}

// New returns a tracer that exports spans as log lines. It samples the given ratio of the traces that begin here; for a
// trace that another process began, the decision of that process holds.
func New(logger *slog.Logger, instance string, ratio float64) *Tracer {
	return NewWithExporter(&logExporter{logger: logger, instance: instance}, ratio)
}

// NewWithExporter returns a tracer like New with another exporter.
func NewWithExporter(exporter sdktrace.SpanExporter, ratio float64) *Tracer {
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(ratio))),
		sdktrace.WithBatcher(exporter, sdktrace.WithMaxQueueSize(maxQueuedSpans)),
	)
	return &Tracer{provider: provider, propagator: propagation.TraceContext{}}
}

// Start starts the span of one hop.
func (t *Tracer) Start(ctx context.Context, hop string, attributes ...attribute.KeyValue) (context.Context, trace.Span) {
	return t.provider.Tracer(scope).Start(ctx, hop, trace.WithAttributes(attributes...))
}

// Extract returns a context with the trace context that the headers carry.
func (t *Tracer) Extract(ctx context.Context, carrier propagation.TextMapCarrier) context.Context {
	return t.propagator.Extract(ctx, carrier)
}

// Inject writes the trace context of ctx into the headers.
func (t *Tracer) Inject(ctx context.Context, carrier propagation.TextMapCarrier) {
	t.propagator.Inject(ctx, carrier)
}

// Propagator returns the propagator that reads the trace context from headers and writes it to them.
func (t *Tracer) Propagator() propagation.TextMapPropagator {
	return t.propagator
}

// Shutdown exports the queued spans and stops the tracer.
func (t *Tracer) Shutdown(ctx context.Context) error {
	return t.provider.Shutdown(ctx)
}
