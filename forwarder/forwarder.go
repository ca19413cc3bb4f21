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

	mu    sync.Mutex
	pools map[string]*pool
}

// pool holds the connections to one address.
type pool struct {
	connections int
	transport   *http.Transport
}

// New returns a forwarder without connections.
func New(options ...Option) *Forwarder {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: dialKeepAliveInterval}
	f := &Forwarder{
		connections: defaultConnections,
		dial:        dialer.DialContext,
		abortWait:   defaultAbortWait,
		pools:       make(map[string]*pool),
	}
	for _, option := range options {
		option(f)
	}
	return f
}

// SetConnections changes the maximum number of open connections to an address; zero closes the idle ones and removes
// the pool. Exchanges in progress keep their connections, which are closed afterwards.
func (f *Forwarder) SetConnections(address string, connections int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	existing := f.pools[address]
	if existing != nil && existing.connections == connections {
		return
	}
	delete(f.pools, address)
	if existing != nil {
		existing.transport.CloseIdleConnections()
	}
	if connections > 0 {
		f.pools[address] = f.newPool(connections)
	}
}

// CloseIdle closes all connections that no exchange uses.
func (f *Forwarder) CloseIdle() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, existing := range f.pools {
		existing.transport.CloseIdleConnections()
	}
}

func (f *Forwarder) transport(address string) *http.Transport {
	f.mu.Lock()
	defer f.mu.Unlock()
	known := f.pools[address]
	if known == nil {
		known = f.newPool(f.connections)
		f.pools[address] = known
	}
	return known.transport
}

func (f *Forwarder) newPool(connections int) *pool {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &pool{
		connections: connections,
		transport: &http.Transport{
			DialContext:            f.dialTracked,
			Protocols:              protocols,
			DisableCompression:     true,
			MaxConnsPerHost:        connections,
			MaxIdleConnsPerHost:    connections,
			IdleConnTimeout:        idleTimeout,
			MaxResponseHeaderBytes: maxResponseHeaderBytes,
			ReadBufferSize:         connectionBufferBytes,
			WriteBufferSize:        connectionBufferBytes,
		},
	}
}

func (f *Forwarder) dialTracked(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := f.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return newTrackedConn(conn), nil
}

func (f *Forwarder) injectTraceContext(ctx context.Context, header http.Header) {
	propagator := f.propagator
	if propagator == nil {
		propagator = otel.GetTextMapPropagator()
	}
	propagator.Inject(ctx, propagation.HeaderCarrier(header))
}
