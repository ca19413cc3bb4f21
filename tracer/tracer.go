// Package tracer sets up traces with a span for each hop of a request or a ticket.
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
	// maxQueuedSpans bounds the memory of spans that wait for export; more are dropped.
	maxQueuedSpans = 2048
)

// Tracer starts the spans of one entry instance and carries their context between processes.
type Tracer struct {
	provider   *sdktrace.TracerProvider
	propagator propagation.TextMapPropagator
}

// New returns a tracer that records a share of the traces and exports their spans as log lines.
func New(logger *slog.Logger, instance string, ratio float64) *Tracer {
	return NewWithExporter(&logExporter{logger: logger, instance: instance}, ratio)
}

// NewWithExporter returns a tracer with another exporter.
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

// Extract returns a context with the trace that the headers carry.
func (t *Tracer) Extract(ctx context.Context, carrier propagation.TextMapCarrier) context.Context {
	return t.propagator.Extract(ctx, carrier)
}

// Inject writes the trace of the context into the headers.
func (t *Tracer) Inject(ctx context.Context, carrier propagation.TextMapCarrier) {
	t.propagator.Inject(ctx, carrier)
}

// Propagator returns how the trace context is written to headers.
func (t *Tracer) Propagator() propagation.TextMapPropagator {
	return t.propagator
}

// Shutdown exports the spans that wait and ends the tracer.
func (t *Tracer) Shutdown(ctx context.Context) error {
	return t.provider.Shutdown(ctx)
}
