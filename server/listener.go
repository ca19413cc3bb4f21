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
	name string
	net  net.Listener
	http *http.Server
}

// listen binds an address. The listener serves requests only after start.
func listen(name, address string, handler http.Handler, config *tls.Config) (*listener, error) {
	bound, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for %s", name)
	}
	if config != nil {
		bound = tls.NewListener(bound, config)
	}
	return &listener{
		name: name,
		net:  bound,
		http: &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout},
	}, nil
}

// start serves requests in a goroutine of the tomb until the listener is drained or closed.
func (l *listener) start(t *tomb.Tomb) {
	t.Go(func() error {
		if err := l.http.Serve(l.net); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrapf(err, "serve %s", l.name)
		}
		return nil
	})
}

// drain stops accepting connections and waits for the requests in flight.
func (l *listener) drain(ctx context.Context) error {
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
