package server

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"gopkg.in/tomb.v2"
)

// gatedListener accepts nothing before its gate is opened, as on a busy machine.
type gatedListener struct {
	net.Listener
	gate chan struct{}
}

func (l *gatedListener) Accept() (net.Conn, error) {
	<-l.gate
	return l.Listener.Accept()
}

// gatedCallers starts a listener behind a gate and returns it with a connection on which a request has been sent.
func gatedCallers(t *testing.T) (*listener, *gatedListener, net.Conn) {
	t.Helper()
	l, err := listen("callers", anyPort, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("done"))
	}), nil)
	require.NoError(t, err)
	gated := &gatedListener{Listener: l.net, gate: make(chan struct{})}
	l.net = gated
	var running tomb.Tomb
	l.start(&running)
	conn, err := net.Dial("tcp", l.address())
	require.NoError(t, err)
	_, err = fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: entry\r\n\r\n")
	require.NoError(t, err)
	t.Cleanup(func() {
		require.NoError(t, running.Wait())
		require.NoError(t, conn.Close())
	})
	return l, gated, conn
}

// TestDrainServesBacklog guards against a graceful stop that resets connections which are accepted late.
func TestDrainServesBacklog(t *testing.T) {
	for _, late := range []time.Duration{0, 3 * backlogQuiet} {
		t.Run(late.String(), func(t *testing.T) {
			l, gated, conn := gatedCallers(t)
			drained := make(chan error, 1)
			go func() { drained <- l.drain(t.Context()) }()
			until(l.arrivals.draining.Load)
			time.Sleep(late)
			close(gated.gate)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err)
			require.NoError(t, response.Body.Close())
			require.Equal(t, http.StatusOK, response.StatusCode)
			require.True(t, response.Close, "callers are asked to use another connection")
			require.NoError(t, <-drained)
			_, err = net.Dial("tcp", l.address())
			require.Error(t, err)
		})
	}
}

// TestDrainServesAcceptedConnections guards against a stop that drops a request on an accepted connection.
func TestDrainServesAcceptedConnections(t *testing.T) {
	l, gated, first := gatedCallers(t)
	second, err := net.Dial("tcp", l.address())
	require.NoError(t, err)
	defer second.Close()
	close(gated.gate)
	_, err = http.ReadResponse(bufio.NewReader(first), nil)
	require.NoError(t, err)
	drained := make(chan error, 1)
	go func() { drained <- l.drain(t.Context()) }()
	until(func() bool {
		conn, err := net.Dial("tcp", l.address())
		if err == nil {
			_ = conn.Close()
		}
		return err != nil
	})
	_, err = fmt.Fprint(second, "GET / HTTP/1.1\r\nHost: entry\r\n\r\n")
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(second), nil)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.NoError(t, <-drained)
}

// TestEndOfDrainDropsBacklog guards against a stop that goes on accepting after its context has ended.
func TestEndOfDrainDropsBacklog(t *testing.T) {
	l, gated, conn := gatedCallers(t)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	drained := make(chan error, 1)
	go func() { drained <- l.drain(ctx) }()
	_, err := conn.Read(make([]byte, 1))
	close(gated.gate)
	require.Error(t, err)
	<-drained
}
