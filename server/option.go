package server

import (
	"context"
	"log/slog"
	"net"

	sdktrace "go.opentelemetry.io/otel/sdk/trace"

	"egretring.example/egretring/keeper"
	"egretring.example/egretring/lister"
)

// Option configures a Daemon.
type Option func(*Daemon)

// WithStore replaces the client of the configuration store.
func WithStore(store keeper.Store) Option {
	return func(d *Daemon) { d.store = store }
}

// WithList replaces the client of the instance list.
func WithList(list lister.List) Option {
	return func(d *Daemon) { d.list = list }
}

// WithLogger sets the logger.
func WithLogger(logger *slog.Logger) Option {
	return func(d *Daemon) { d.logger = logger }
}

// WithSpanExporter replaces the export of spans as log lines.
func WithSpanExporter(exporter sdktrace.SpanExporter) Option {
	return func(d *Daemon) { d.exporter = exporter }
}

// WithDial replaces the function that opens connections to the platform, peers and backend servers.
func WithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(d *Daemon) { d.dial = dial }
}

// WithSeed sets the seed of the random choices.
func WithSeed(seed uint64) Option {
	return func(d *Daemon) { d.seed = seed }
}
