package logger

import (
	"context"
	"log/slog"
	"sync/atomic"
)

// lineKey is the key of a line's number.
const lineKey = "Line"

// numberingHandler numbers the lines of a process from 1, so that gaps show lines that were lost on the way.
type numberingHandler struct {
	slog.Handler
	last *atomic.Int64
}

// Handle implements slog.Handler.
func (h numberingHandler) Handle(ctx context.Context, record slog.Record) error {
	record = record.Clone()
	record.AddAttrs(slog.Int64(lineKey, h.last.Add(1)))
	return h.Handler.Handle(ctx, record)
}

// WithAttrs implements slog.Handler.
func (h numberingHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return numberingHandler{Handler: h.Handler.WithAttrs(attrs), last: h.last}
}

// WithGroup implements slog.Handler.
func (h numberingHandler) WithGroup(name string) slog.Handler {
	return numberingHandler{Handler: h.Handler.WithGroup(name), last: h.last}
}
