package forwarder_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/forwarder"
	"egretring.example/egretring/timekeeper"
)

// pipeServer is an in-memory server that responds to each request after a delay.
type pipeServer struct {
	delay    time.Duration
	dialTime time.Duration
	dials    atomic.Int64
	served   sync.WaitGroup

	mu      sync.Mutex
	open    int
	highest int
}

func (p *pipeServer) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	if !timekeeper.Sleep(ctx, p.dialTime) {
		return nil, ctx.Err()
	}
	p.dials.Add(1)
	near, far := net.Pipe()
	p.count(1)
	p.served.Go(func() { p.serve(far) })
	return &countedPipe{Conn: near, closed: func() { p.count(-1) }}, nil
}

// countedPipe is the client's end of a connection. It ends when the client closes it, which the server notices later.
type countedPipe struct {
	net.Conn
	once   sync.Once
	closed func()
}

func (p *countedPipe) Close() error {
	p.once.Do(p.closed)
	return p.Conn.Close()
}

func (p *pipeServer) count(connections int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open += connections
	p.highest = max(p.highest, p.open)
}

// connections returns the open connections and their highest number so far.
func (p *pipeServer) connections() (open, highest int) {
	synctest.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open, p.highest
}

func (p *pipeServer) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		time.Sleep(p.delay)
		if _, err := io.WriteString(conn, completeResponse); err != nil {
			return
		}
	}
}

func (p *pipeServer) exchange(f *forwarder.Forwarder, deadline time.Time) forwarder.Result {
	options := optionsFor("10.0.0.1:1")
	options.Deadline = deadline
	options.Writer = httptest.NewRecorder()
	return f.Exchange(context.Background(), options)
}

// TestExchangeEndsAtDeadline guards against an exchange that continues after its deadline, or that reports the deadline
// as a fault of the server.
func TestExchangeEndsAtDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := &pipeServer{delay: time.Hour}
		f := forwarder.New(forwarder.WithDial(server.dial))
		start := time.Now()
		result := server.exchange(f, start.Add(3*time.Second))
		require.Equal(t, describer.Aborted.String(), result.Evidence.String())
		require.ErrorIs(t, result.Err, context.DeadlineExceeded)
		require.Equal(t, 3*time.Second, time.Since(start))
		server.served.Wait()
	})
}

// TestRequestNotSentAfterDeadline guards against a request that is sent after its deadline.
func TestRequestNotSentAfterDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := &pipeServer{}
		result := server.exchange(forwarder.New(forwarder.WithDial(server.dial)), time.Now())
		require.Equal(t, describer.NotSent.String(), result.Evidence.String())
		require.Zero(t, server.dials.Load())
	})
}

// TestConnectionsAreBounded guards against more connections to a server than allowed, and against evidence that
// claims that a request was sent although it only waited for a connection.
func TestConnectionsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := &pipeServer{delay: 2 * time.Second}
		f := forwarder.New(forwarder.WithDial(server.dial), forwarder.WithConnections(1))
		results := make(chan forwarder.Result, 1)
		go func() { results <- server.exchange(f, time.Time{}) }()
		synctest.Wait()
		waiting := server.exchange(f, time.Now().Add(time.Second))
		require.Equal(t, describer.NotSent.String(), waiting.Evidence.String())
		require.Equal(t, describer.Answered.String(), (<-results).Evidence.String())
		require.EqualValues(t, 1, server.dials.Load())

		require.Equal(t, describer.Answered, server.exchange(f, time.Time{}).Evidence)
		require.EqualValues(t, 1, server.dials.Load(), "the connection was not reused")
		f.SetConnections("10.0.0.1:1", 2)
		require.Equal(t, describer.Answered, server.exchange(f, time.Time{}).Evidence)
		require.EqualValues(t, 2, server.dials.Load(), "the old connection was not closed")
		f.SetConnections("10.0.0.1:1", 0)
	})
}
