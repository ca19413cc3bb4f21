package forwarder

import "net/http"

// endpoint is an address with its limit of open connections. A change of the limit replaces the pool, because the
// limits of an http.Transport are fixed.
type endpoint struct {
	connections int
	pool        *pool
}

func (f *Forwarder) newEndpoint(connections int) *endpoint {
	return &endpoint{connections: connections, pool: f.newPool(connections)}
}

// resize replaces the pool of an endpoint. The lock of the forwarder must be held.
func (f *Forwarder) resize(e *endpoint, connections int) {
	e.pool.retire()
	e.connections, e.pool = connections, f.newPool(connections)
}

// newPool returns a pool with at most this number of connections. With zero it holds one for each exchange and keeps none
// idle.
func (f *Forwarder) newPool(connections int) *pool {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	p := &pool{transport: &http.Transport{
		DialContext:            f.dialTracked,
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
