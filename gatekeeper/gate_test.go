package gatekeeper

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/classifier"
	"egretring.example/egretring/meter"
)

// pipes is a listener for connections within the process.
type pipes struct {
	accept  chan net.Conn
	closed  chan struct{}
	closing sync.Once
}

// Accept implements net.Listener.
func (p *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.accept:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (p *pipes) Close() error {
	p.closing.Do(func() { close(p.closed) })
	return nil
}

// Addr implements net.Listener.
func (p *pipes) Addr() net.Addr {
	return &net.TCPAddr{}
}

// guarded is a server behind a gate.
type guarded struct {
	gate     *Gate
	pipes    *pipes
	accepted atomic.Int64
}

// testLimits are the limits of the gate in these tests.
func testLimits() Limits {
	return Limits{
		MemoryBytes: 1 << 20, Connections: 20, HeaderBytes: func() int64 { return 16 << 10 },
		BodySilence: 2 * time.Second, BodyTime: 10 * time.Second,
	}
}

// serve runs a server behind a gate in a bubble with virtual time.
func serve(t *testing.T, limits Limits, test func(t *testing.T, g *guarded)) {
	synctest.Test(t, func(t *testing.T) {
		g := &guarded{pipes: &pipes{accept: make(chan net.Conn), closed: make(chan struct{})}}
		g.gate = New("Callers", limits, slog.New(slog.DiscardHandler), meter.New())
		server := &http.Server{Handler: http.HandlerFunc(g.handle), ReadHeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute}
		accept := g.gate.Guard(server, g.pipes)
		go func() { _ = server.Serve(accept) }()
		defer server.Close()
		test(t, g)
		require.NoError(t, server.Close())
		synctest.Wait()
		bytes, connections := g.gate.ledger.Used()
		require.Zero(t, bytes, "bytes are held without a connection")
		require.Zero(t, connections)
	})
}

// handle accepts a body, except for the path /unread. Like the handler of callers, it answers 400 to a body that cannot be read unless
// the error is Overloaded.
func (g *guarded) handle(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/unread" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err == nil {
		err = ReserveDecoded(r.Context(), body)
	}
	if err != nil {
		status := http.StatusBadRequest
		if classifier.IsErrKind(err, classifier.Overloaded) {
			status = http.StatusServiceUnavailable
		}
		w.WriteHeader(status)
		return
	}
	time.Sleep(time.Millisecond)
	g.accepted.Add(1)
}

func (g *guarded) connect(t *testing.T) net.Conn {
	caller, accepted := net.Pipe()
	g.pipes.accept <- accepted
	t.Cleanup(func() { _ = caller.Close() })
	return caller
}

// exchange sends a request on an open connection and returns the status, or zero if the connection was closed.
func exchange(connection net.Conn, request string) int {
	go func() { _, _ = io.WriteString(connection, request) }()
	return statusOf(connection)
}

func statusOf(connection net.Conn) int {
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

func post(path, headers, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\n%s\r\n%s", path, headers, body)
}

func withLength(body string) string {
	return post("/", fmt.Sprintf("Content-Length: %d\r\n", len(body)), body)
}

// TestLegalRequestsAreServed guards against limits that callers within the limits of the configuration meet, and against counters that
// are carried over from one request of a connection to the next.
func TestLegalRequestsAreServed(t *testing.T) {
	serve(t, testLimits(), func(t *testing.T, g *guarded) {
		connection := g.connect(t)
		large := "X-Large: " + strings.Repeat("h", 16<<10-100) + "\r\n"
		var chunks strings.Builder
		for range 20_000 {
			chunks.WriteString("1\r\nx\r\n")
		}
		for range 5 {
			require.Equal(t, http.StatusOK, exchange(connection, post("/", large, "")))
			require.Equal(t, http.StatusOK, exchange(connection, withLength(strings.Repeat("x", 100<<10))))
			require.Equal(t, http.StatusOK, exchange(connection, post("/", "Transfer-Encoding: chunked\r\n", chunks.String()+"0\r\n\r\n")))
			require.Equal(t, http.StatusNotFound, exchange(connection, post("/unread", "Content-Length: 65536\r\n", strings.Repeat("x", 64<<10))))
			time.Sleep(15 * time.Second)
		}
	})
}

// TestCallersOutsideLimitsAreRefused guards against headers, empty lines, chunks and silence without a limit.
func TestCallersOutsideLimitsAreRefused(t *testing.T) {
	extension := "1;" + strings.Repeat("e", 2000) + "\r\nx\r\n"
	for name, c := range map[string]struct {
		request string
		status  int
	}{
		"OversizedHeader":  {post("/", "X-Large: "+strings.Repeat("h", 64<<10)+"\r\n", ""), http.StatusRequestHeaderFieldsTooLarge},
		"HeaderWithoutEnd": {"GET / HTTP/1.1\r\n" + strings.Repeat("X: h\r\n", 20<<10), http.StatusRequestHeaderFieldsTooLarge},
		"EmptyLines":       {strings.Repeat("\r\n", 1<<20), http.StatusBadRequest},
		"ChunkExtensions":  {post("/", "Transfer-Encoding: chunked\r\n", strings.Repeat(extension, 1000)), http.StatusBadRequest},
		"SilentBody":       {post("/", "Content-Length: 1000\r\n", "x"), http.StatusBadRequest},
		"SilentUnreadBody": {post("/unread", "Content-Length: 1000\r\n", "x"), http.StatusNotFound},
		"SilentHeader":     {"GET / HT", http.StatusBadRequest},
	} {
		t.Run(name, func(t *testing.T) {
			serve(t, testLimits(), func(t *testing.T, g *guarded) {
				require.Equal(t, c.status, exchange(g.connect(t), c.request))
				require.Zero(t, g.accepted.Load())
			})
		})
	}
}

// TestSlowBodyIsEnded guards against a body that is never silent for long and never ends.
func TestSlowBodyIsEnded(t *testing.T) {
	serve(t, testLimits(), func(t *testing.T, g *guarded) {
		connection := g.connect(t)
		startedAt := time.Now()
		var sending sync.WaitGroup
		sending.Go(func() {
			_, err := io.WriteString(connection, post("/", "Content-Length: 1000\r\n", ""))
			for err == nil {
				time.Sleep(time.Second)
				_, err = io.WriteString(connection, "x")
			}
		})
		require.Equal(t, http.StatusBadRequest, statusOf(connection))
		require.LessOrEqual(t, time.Since(startedAt), 11*time.Second)
		sending.Wait()
	})
}

// TestStalledBodiesGiveWay guards against stalled bodies that keep their memory while others need it, and against a stalled caller that
// is told anything but that its job was not accepted.
func TestStalledBodiesGiveWay(t *testing.T) {
	limits := testLimits()
	limits.BodySilence, limits.BodyTime = time.Hour, time.Hour
	serve(t, limits, func(t *testing.T, g *guarded) {
		stalled := make([]net.Conn, 5)
		for n := range stalled {
			stalled[n] = g.connect(t)
			_, err := io.WriteString(stalled[n], post("/", "Content-Length: 70000\r\n", strings.Repeat("x", 65<<10)))
			require.NoError(t, err)
			synctest.Wait()
		}
		require.Equal(t, http.StatusOK, exchange(g.connect(t), withLength(strings.Repeat("x", 100<<10))))
		require.Equal(t, http.StatusServiceUnavailable, statusOf(stalled[0]), "the first has stalled for longest")
		_, err := io.WriteString(stalled[4], strings.Repeat("x", 70_000-65<<10))
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, statusOf(stalled[4]), "the last one still has its body")
		require.EqualValues(t, 2, g.accepted.Load())
	})
}

// TestConnectionsAreBounded guards against silent connections that keep ordinary callers out.
func TestConnectionsAreBounded(t *testing.T) {
	serve(t, testLimits(), func(t *testing.T, g *guarded) {
		for range 100 {
			g.connect(t)
		}
		synctest.Wait()
		_, connections := g.gate.ledger.Used()
		require.Equal(t, testLimits().Connections, connections)
		require.Equal(t, http.StatusOK, exchange(g.connect(t), withLength("x")))
	})
}

// TestLogLinesAreLimited guards against a flood of callers that becomes a flood of log lines, or hides how many were refused.
func TestLogLinesAreLimited(t *testing.T) {
	r := newReporter("Callers", slog.New(slog.DiscardHandler), meter.New())
	now := time.Unix(1000, 0)
	require.Equal(t, 1, r.countFor(causeMemory, now))
	require.Zero(t, r.countFor(causeMemory, now.Add(time.Millisecond)))
	require.Equal(t, 1, r.countFor(causeHeader, now.Add(time.Millisecond)))
	require.Equal(t, 2, r.countFor(causeMemory, now.Add(reportInterval)))
}
