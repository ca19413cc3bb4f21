package forwarder_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/forwarder"
)

// countingListener counts the open connections of a server. One counts as closed before its peer can notice that.
type countingListener struct {
	net.Listener
	mu            sync.Mutex
	open, highest int
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	l.add(1)
	return &countedConn{Conn: conn, listener: l}, err
}

func (l *countingListener) add(change int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open += change
	l.highest = max(l.highest, l.open)
}

type countedConn struct {
	net.Conn
	listener *countingListener
	once     sync.Once
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.once.Do(func() { c.listener.add(-1) })
	return c.Conn.Close()
}

// TestClosedConnectionCountsUntilServerClosesIt guards against connections above the limit of a backend server, which counts a
// connection until it notices that the other side has closed it.
func TestClosedConnectionCountsUntilServerClosesIt(t *testing.T) {
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(forwarder.HeaderRequest, r.Header.Get(forwarder.HeaderRequest))
	}))
	counting := &countingListener{Listener: server.Listener}
	server.Listener = counting
	server.Start()
	defer server.Close()
	f := forwarder.New(forwarder.WithConnections(1))
	options := optionsFor(counting.Addr().String())
	for range 500 {
		require.Equal(t, describer.Answered.String(), exchangeDiscarding(context.Background(), f, options).Evidence.String())
		f.CloseIdle()
	}
	counting.mu.Lock()
	defer counting.mu.Unlock()
	require.Equal(t, 1, counting.highest)
}
