package server

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"egretring.example/egretring/timekeeper"
)

const (
	// arrivalTimeout bounds the wait for connections that send no request. http.Server.Shutdown waits as long for them.
	arrivalTimeout = 5 * time.Second
	// arrivalInterval is the time between two checks for such connections.
	arrivalInterval = 5 * time.Millisecond
)

// connKey is the context key of the connection of a request.
type connKey struct{}

// arrivals tracks the accepted connections whose first request has not reached the handler. http.Server drops a request
// that it has read if Shutdown was called in the meantime.
type arrivals struct {
	next     http.Handler
	draining atomic.Bool

	mu      sync.Mutex
	waiting map[net.Conn]struct{}
}

func newArrivals(next http.Handler) *arrivals {
	return &arrivals{next: next, waiting: make(map[net.Conn]struct{})}
}

// connContext is the ConnContext of the http.Server.
func (a *arrivals) connContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// connState is the ConnState hook of the http.Server.
func (a *arrivals) connState(conn net.Conn, state http.ConnState) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch state {
	case http.StateNew:
		a.waiting[conn] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(a.waiting, conn)
	case http.StateActive, http.StateIdle:
	}
}

// ServeHTTP implements http.Handler. While the listener drains, callers are asked to use another connection for their
// next request.
func (a *arrivals) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if conn, ok := r.Context().Value(connKey{}).(net.Conn); ok {
		a.mu.Lock()
		delete(a.waiting, conn)
		a.mu.Unlock()
	}
	if a.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	a.next.ServeHTTP(w, r)
}

// await waits until the first request of each accepted connection has reached the handler.
func (a *arrivals) await(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, arrivalTimeout)
	defer cancel()
	for a.count() > 0 && timekeeper.Sleep(ctx, arrivalInterval) {
		continue
	}
}

func (a *arrivals) count() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.waiting)
}
