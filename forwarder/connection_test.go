package forwarder_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/forwarder"
)

// exchangeDiscarding makes an exchange and discards its response.
func exchangeDiscarding(ctx context.Context, f *forwarder.Forwarder, options forwarder.ExchangeOptions) forwarder.Result {
	options.Writer = httptest.NewRecorder()
	return f.Exchange(ctx, options)
}

// TestTransportDoesNotRetry guards against http.Transport sending a request a second time, which it does for a request
// without a body and for one with an Idempotency-Key when a reused connection breaks.
func TestTransportDoesNotRetry(t *testing.T) {
	cases := []struct {
		name   string
		method string
		body   string
		end    func(net.Conn)
	}{
		{"GET closed", http.MethodGet, "", func(net.Conn) {}},
		{"GET reset", http.MethodGet, "", func(conn net.Conn) { _ = conn.(*net.TCPConn).SetLinger(0) }},
		{"POST with key closed", http.MethodPost, "body", func(net.Conn) {}},
		{"empty POST with key closed", http.MethodPost, "", func(net.Conn) {}},
		{"empty POST with key reset", http.MethodPost, "", func(conn net.Conn) { _ = conn.(*net.TCPConn).SetLinger(0) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var requests atomic.Int64
			first := func(t *testing.T, conn net.Conn, reader *bufio.Reader) {
				readRequest(t, reader)
				_, _ = io.WriteString(conn, completeResponse)
				readRequest(t, reader)
				requests.Add(2)
				c.end(conn)
			}
			second := func(t *testing.T, conn net.Conn, reader *bufio.Reader) {
				if readRequest(t, reader) != nil {
					requests.Add(1)
				}
				_, _ = io.WriteString(conn, completeResponse)
			}
			f := forwarder.New()
			defer f.CloseIdle()
			options := optionsFor(serve(t, first, second))
			options.Request.Method = c.method
			options.Request.Body = []byte(c.body)
			options.Request.Header = http.Header{forwarder.HeaderIdempotencyKey: {"k1"}}
			require.Equal(t, describer.Answered, exchangeDiscarding(context.Background(), f, options).Evidence)
			result := exchangeDiscarding(context.Background(), f, options)
			require.Equal(t, describer.Broken.String(), result.Evidence.String())
			require.EqualValues(t, 2, requests.Load())
		})
	}
}

// TestLateResponseOnReusedConnection guards against a caller that receives the response to an earlier request.
func TestLateResponseOnReusedConnection(t *testing.T) {
	script := func(t *testing.T, conn net.Conn, reader *bufio.Reader) {
		readRequest(t, reader)
		_, _ = io.WriteString(conn, completeResponse)
		readRequest(t, reader)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nEgretring-Request: r1\r\nContent-Length: 4\r\n\r\nlate")
	}
	f := forwarder.New()
	defer f.CloseIdle()
	options := optionsFor(serve(t, script))
	options.Request.Header = http.Header{forwarder.HeaderRequest: {"r1"}}
	require.Equal(t, describer.Answered, exchangeDiscarding(context.Background(), f, options).Evidence)
	options.Request.Header = http.Header{forwarder.HeaderRequest: {"r2"}}
	result := exchangeDiscarding(context.Background(), f, options)
	require.Equal(t, describer.Broken.String(), result.Evidence.String())
	require.False(t, result.ResponseStarted)
}

// TestCancelReachesServer guards against a cancelled request that the server keeps running because it is not notified,
// and against an exchange that ends, and so frees its slot, before the server has ended the request.
func TestCancelReachesServer(t *testing.T) {
	received := make(chan struct{})
	var ended atomic.Bool
	waitForEOF := func(t *testing.T, _ net.Conn, reader *bufio.Reader) {
		readRequest(t, reader)
		close(received)
		_, err := reader.ReadByte()
		ended.Store(err == io.EOF)
	}
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-received
		cancel()
	}()
	options := optionsFor(serve(t, waitForEOF))
	notified := false
	options.OnEnded = func(result forwarder.Result) {
		notified = result.Evidence == describer.Aborted
	}
	result := exchangeDiscarding(ctx, forwarder.New(), options)
	require.Equal(t, describer.Aborted.String(), result.Evidence.String())
	require.True(t, notified)
	require.True(t, ended.Load(), "the exchange ended before the server did")
	require.False(t, result.MayStillRun)
}

// TestCancelIgnoredByServer guards against a slot that is considered free while the server still runs the request.
func TestCancelIgnoredByServer(t *testing.T) {
	received, release := make(chan struct{}), make(chan struct{})
	ignoreCancel := func(t *testing.T, _ net.Conn, reader *bufio.Reader) {
		readRequest(t, reader)
		close(received)
		<-release
	}
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-received
		cancel()
	}()
	options := optionsFor(serve(t, ignoreCancel))
	result := exchangeDiscarding(ctx, forwarder.New(forwarder.WithAbortWait(0)), options)
	close(release)
	require.Equal(t, describer.Aborted.String(), result.Evidence.String())
	require.True(t, result.MayStillRun)
}

// TestCallerDisconnects guards against a server that keeps sending a response after the caller has disconnected.
func TestCallerDisconnects(t *testing.T) {
	ended := make(chan struct{})
	endless := func(t *testing.T, conn net.Conn, reader *bufio.Reader) {
		readRequest(t, reader)
		_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		for err == nil {
			_, err = io.WriteString(conn, "5\r\nhello\r\n")
		}
		close(ended)
	}
	options := optionsFor(serve(t, endless))
	results := make(chan forwarder.Result, 1)
	front := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		options.Writer = w
		// The caller's context is not used, so that only the failing write ends the exchange.
		results <- forwarder.New().Exchange(context.Background(), options)
	}))
	defer front.Close()
	response, err := http.Get(front.URL)
	require.NoError(t, err)
	_, err = io.ReadFull(response.Body, make([]byte, 100))
	require.NoError(t, err)
	response.Body.Close()
	result := <-results
	require.Equal(t, describer.Aborted.String(), result.Evidence.String())
	require.True(t, result.ResponseStarted)
	require.True(t, result.MayStillRun)
	<-ended
}

// TestSlowCallerAtDeadline guards against an exchange that waits for a slow caller beyond the end of its context.
func TestSlowCallerAtDeadline(t *testing.T) {
	endless := func(t *testing.T, conn net.Conn, reader *bufio.Reader) {
		readRequest(t, reader)
		_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 999999999\r\n\r\n")
		for err == nil {
			_, err = io.WriteString(conn, longBody)
		}
	}
	options := optionsFor(serve(t, endless))
	results := make(chan forwarder.Result, 1)
	ctx, cancel := context.WithCancel(context.Background())
	front := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		options.Writer = w
		results <- forwarder.New().Exchange(ctx, options)
	}))
	defer front.Close()
	response, err := http.Get(front.URL)
	require.NoError(t, err)
	defer response.Body.Close()
	cancel()
	result := <-results
	require.Equal(t, describer.Aborted.String(), result.Evidence.String())
	_, err = io.Copy(io.Discard, response.Body)
	require.Error(t, err)
}
