package forwarder

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
)

const (
	// defaultConnections is the number of connections to a backend server in both deployments that egretring is
	// sized for, tumbonas and hronov.
	defaultConnections = 64
	// defaultAbortWait bounds the wait for a backend server that ignores a half-closed connection.
	defaultAbortWait = 5 * time.Second
	// dialTimeout is far above the latency between zones (1 ms) and tolerates one lost SYN packet, which is sent again
	// after 1 s.
	dialTimeout = 1500 * time.Millisecond
	// idleTimeout is below the usual idle timeouts of servers (60 s and more), so that a server rarely closes a
	// connection just when a request is sent on it.
	idleTimeout            = 30 * time.Second
	maxResponseHeaderBytes = 64 << 10
	connectionBufferBytes  = 8 << 10
	dialKeepAliveInterval  = 15 * time.Second
	maxDiscardedErrorBytes = 64 << 10
)

// Forwarder exchanges requests with backend servers and peers. It is safe for concurrent use.
type Forwarder struct {
	connections int
	dial        Dial
	abortWait   time.Duration
	propagator  propagation.TextMapPropagator

	mu        sync.Mutex
	endpoints map[string]*endpoint
}

// New returns a forwarder without connections.
func New(options ...Option) *Forwarder {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: dialKeepAliveInterval}
	f := &Forwarder{
		connections: defaultConnections,
		dial:        dialer.DialContext,
		abortWait:   defaultAbortWait,
		endpoints:   make(map[string]*endpoint),
	}
	for _, option := range options {
		option(f)
	}
	return f
}

// SetConnections changes the maximum number of open connections to an address and closes the idle ones. Exchanges in
// progress keep their connections, which are closed afterwards and count until then. After zero, an exchange that still
// comes opens a connection of its own and closes it.
func (f *Forwarder) SetConnections(address string, connections int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if known := f.endpoints[address]; known == nil {
		f.endpoints[address] = f.newEndpoint(connections)
	} else if known.connections != connections {
		f.resize(known, connections)
	}
}

// CloseIdle closes all connections that no exchange uses.
func (f *Forwarder) CloseIdle() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, known := range f.endpoints {
		known.pool.transport.CloseIdleConnections()
	}
}

// pool returns the current pool of an address.
func (f *Forwarder) pool(address string) *pool {
	f.mu.Lock()
	defer f.mu.Unlock()
	known := f.endpoints[address]
	if known == nil {
		known = f.newEndpoint(f.connections)
		f.endpoints[address] = known
	}
	return known.pool
}

func (f *Forwarder) injectTraceContext(ctx context.Context, header http.Header) {
	propagator := f.propagator
	if propagator == nil {
		propagator = otel.GetTextMapPropagator()
	}
	propagator.Inject(ctx, propagation.HeaderCarrier(header))
}
