package fakebackend

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// ListeningServer is a backend server that listens on an address.
type ListeningServer struct {
	*Server
	http    *http.Server
	address string
	// serveReturned is closed when the HTTP server has stopped serving.
	serveReturned chan struct{}
}

// Listen serves the backend server on an address such as 127.0.0.1:0 until Close is called.
func (s *Server) Listen(address string) (*ListeningServer, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	running := &ListeningServer{
		Server:        s,
		http:          &http.Server{Handler: s.Handler()},
		address:       listener.Addr().String(),
		serveReturned: make(chan struct{}),
	}
	go func() {
		defer close(running.serveReturned)
		_ = running.http.Serve(countingListener{Listener: listener, server: s})
	}()
	return running, nil
}

// Address returns the address on which the server listens.
func (l *ListeningServer) Address() string {
	return l.address
}

// Close breaks all connections and stops listening.
func (l *ListeningServer) Close() error {
	err := l.http.Close()
	<-l.serveReturned
	return errors.Wrap(err, "close backend server")
}

// countingListener counts the open connections. A connection is counted as closed before its peer can notice the close,
// so that a caller which replaces a closed connection is not counted twice.
type countingListener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.server.mu.Lock()
	defer l.server.mu.Unlock()
	l.server.state.Connected(time.Now())
	return &countedConn{Conn: conn, server: l.server}, nil
}

type countedConn struct {
	net.Conn
	server *Server
	once   sync.Once
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.once.Do(func() {
		c.server.mu.Lock()
		defer c.server.mu.Unlock()
		c.server.state.Disconnected(time.Now())
	})
	return c.Conn.Close()
}
