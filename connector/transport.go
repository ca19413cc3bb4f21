package connector

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"syscall"

	"github.com/pkg/errors"

	"egretring.example/egretring/specifier"
)

// reservation is a reserved connection for one call.
type reservation struct {
	pool   *Pool
	server *server
	id     specifier.ServerID
	// kept is set if the connection stays open after the call.
	kept bool
}

type reservationKey struct{}

// ErrNotReserved is returned for a call without a reservation.
var ErrNotReserved = errors.New("no connection is reserved for the call to the backend server")

// ErrRefused is the cause of a call whose new connection was reset. A server does that while it has as many connections as it accepts.
var ErrRefused = errors.New("the backend server has reset a new connection")

// Transport sends the calls of all pools.
type Transport struct{}

// RoundTrip implements http.RoundTripper.
func (Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	reserved, _ := r.Context().Value(reservationKey{}).(*reservation)
	if reserved == nil {
		return nil, ErrNotReserved
	}
	return reserved.send(r)
}

func (r *reservation) send(request *http.Request) (*http.Response, error) {
	connected, fresh := false, true
	ctx := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { connected, fresh = true, !info.Reused },
	})
	transport := r.pool.single
	if r.kept {
		transport = r.pool.kept
	}
	response, err := transport.RoundTrip(request.WithContext(ctx))
	switch {
	case err == nil:
		r.pool.answered(r)
	case fresh && isReset(err):
		r.pool.refused(r)
		return nil, fmt.Errorf("%w: %w", ErrRefused, err)
	case r.kept && connected && errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		r.pool.abandoned(r)
	}
	return response, err
}

// isReset reports whether the other side has reset the connection. A write after the reset was noticed fails with EPIPE.
func isReset(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
