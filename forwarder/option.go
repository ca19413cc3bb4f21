package forwarder

import (
	"context"
	"net"
	"time"

	"go.opentelemetry.io/otel/propagation"
)

// Dial opens a connection to an address.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Option configures a Forwarder.
type Option func(*Forwarder)

// WithConnections sets the maximum number of open connections to one address, unless SetConnections overrides it.
func WithConnections(connections int) Option {
	return func(f *Forwarder) { f.connections = connections }
}

// WithDial replaces the function that opens connections.
func WithDial(dial Dial) Option {
	return func(f *Forwarder) { f.dial = dial }
}

// WithAbortWait sets how long an exchange waits for the backend server to close an aborted connection.
func WithAbortWait(wait time.Duration) Option {
	return func(f *Forwarder) { f.abortWait = wait }
}

// WithPropagator sets how the trace context is written to the headers; without it the global propagator is used.
func WithPropagator(propagator propagation.TextMapPropagator) Option {
	return func(f *Forwarder) { f.propagator = propagator }
}
