package forwarder

import (
	"context"
	"net"
	"net/http"
)

// endpoint is an address with its limit of open connections. A change of the limit replaces the pool, because the
// limits of an http.Transport are fixed.
type endpoint struct {
	connections int
	budget      *connectionBudget
	pool        *pool
}

func (f *Forwarder) newEndpoint(connections int) *endpoint {
	e := &endpoint{connections: connections, budget: newConnectionBudget(connections)}
	e.pool = f.newPool(connections, e.budget)
	return e
}

// resize replaces the pool of an endpoint. The lock of the forwarder must be held.
func (f *Forwarder) resize(e *endpoint, connections int) {
	replaced := e.pool
	e.connections = connections
	e.pool = f.newPool(connections, e.budget)
	replaced.retire()
	e.budget.setLimit(connections)
}

// newPool returns a pool with at most this number of connections. With zero it holds one for each exchange and keeps none
// idle.
func (f *Forwarder) newPool(connections int, budget *connectionBudget) *pool {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	p := &pool{budget: budget, transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			return f.dialTracked(ctx, network, address, budget)
		},
		Protocols:              protocols,
		DisableCompression:     true,
		MaxConnsPerHost:        connections,
		MaxIdleConnsPerHost:    connections,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		ReadBufferSize:         connectionBufferBytes,
		WriteBufferSize:        connectionBufferBytes,
	}}
	p.retired.Store(connections == 0)
	return p
}

func (f *Forwarder) dialTracked(
	ctx context.Context, network, address string, budget *connectionBudget,
) (net.Conn, error) {
	if err := budget.acquire(ctx); err != nil {
		return nil, err
	}
	conn, err := f.dial(ctx, network, address)
	if err != nil {
		budget.release()
		return nil, err
	}
	return newTrackedConn(conn, budget.release), nil
}
