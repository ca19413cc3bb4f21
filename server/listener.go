package server

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"gopkg.in/tomb.v2"
)

// readHeaderTimeout bounds how long a connection may take to send the header of a request.
const readHeaderTimeout = 10 * time.Second

// listener is one HTTP listener of the daemon.
type listener struct {
	name     string
	backlog  *backlogListener
	net      net.Listener
	arrivals *arrivals
	http     *http.Server
}

// listen binds an address. The listener serves requests only after start.
func listen(name, address string, handler http.Handler, config *tls.Config) (*listener, error) {
	bound, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for %s", name)
	}
	backlog := newBacklogListener(bound.(*net.TCPListener))
	arriving := newArrivals(handler)
	l := &listener{
		name: name, backlog: backlog, net: backlog, arrivals: arriving,
		http: &http.Server{
			Handler: arriving, ReadHeaderTimeout: readHeaderTimeout,
			ConnContext: arriving.connContext, ConnState: arriving.connState,
		},
	}
	if config != nil {
		l.net = tls.NewListener(backlog, config)
	}
	return l, nil
}

// start serves requests in a goroutine of the tomb until the listener is drained or closed.
func (l *listener) start(t *tomb.Tomb) {
	t.Go(func() error {
		err := l.http.Serve(l.net)
		if !errors.Is(err, http.ErrServerClosed) && !l.backlog.draining.Load() {
			return errors.Wrapf(err, "serve %s", l.name)
		}
		return nil
	})
}

// drain stops accepting connections and waits for the requests in flight. Requests on connections that the operating
// system has established already are in flight as well.
func (l *listener) drain(ctx context.Context) error {
	l.arrivals.draining.Store(true)
	l.backlog.drain(ctx)
	l.arrivals.await(ctx)
	return errors.Wrapf(l.http.Shutdown(ctx), "drain listener for %s", l.name)
}

// close closes the listener and all its connections immediately.
func (l *listener) close() {
	_ = l.http.Close()
	_ = l.net.Close()
}

// address returns the bound address.
func (l *listener) address() string {
	return l.net.Addr().String()
}
