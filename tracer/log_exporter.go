package tracer

import (
	"context"
	"log/slog"

	sdktrace "go.opentelemetry.io/otel/sdk/trace"
)

// logExporter writes each span as one log line.
type logExporter struct {
	logger   *slog.Logger
	instance string
}

// ExportSpans implements sdktrace.SpanExporter.
func (e *logExporter) ExportSpans(ctx context.Context, spans []sdktrace.ReadOnlySpan) error {
	for _, span := range spans {
		attributes := []slog.Attr{
			slog.String("Instance", e.instance),
			slog.String("Hop", span.Name()),
			slog.String("Trace", span.SpanContext().TraceID().String()),
			slog.String("Span", span.SpanContext().SpanID().String()),
			slog.String("Parent", span.Parent().SpanID().String()),
			slog.Time("StartedAt", span.StartTime()),
			slog.Time("EndedAt", span.EndTime()),
		}
		for _, attribute := range span.Attributes() {
			attributes = append(attributes, slog.Any(string(attribute.Key), attribute.Value.AsInterface()))
		}
		e.logger.LogAttrs(ctx, slog.LevelInfo, "span ended", attributes...)
	}
	return nil
}

// Shutdown implements sdktrace.SpanExporter.
func (e *logExporter) Shutdown(context.Context) error {
	return nil
}
