package forwarder_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"egretring.example/egretring/forwarder"
)

// recordHead returns a script that sends the request line and header to a channel and responds.
func recordHead(heads chan<- string) connScript {
	return func(t *testing.T, conn net.Conn, reader *bufio.Reader) {
		var head strings.Builder
		for {
			line, err := reader.ReadString('\n')
			if err != nil || line == "\r\n" {
				break
			}
			head.WriteString(line)
		}
		heads <- head.String()
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: X-Hop\r\nX-Hop: 1\r\n"+
			"Keep-Alive: 5\r\nEgretring-Leaving: true\r\nEgretring-Kind: QueueFull\r\nEgretring-Request: r1\r\nX-Own: 1\r\n\r\n")
	}
}

// TestRequestHeader guards against hop-by-hop headers or internal headers of egretring that reach a backend server, a
// missing deadline or trace context, and a changed path.
func TestRequestHeader(t *testing.T) {
	heads := make(chan string, 1)
	options := optionsFor(serve(t, recordHead(heads)))
	options.Request.Path = "/tally/charge/a%2Fb?x=1&y"
	options.Request.Body = nil
	options.Deadline = time.Date(2126, 12, 4, 7, 0, 0, 5, time.FixedZone("", 3600))
	options.Request.Header = http.Header{
		"Connection":                   {"close, X-Listed"},
		"X-Listed":                     {"1"},
		"Te":                           {"trailers"},
		"Upgrade":                      {"websocket"},
		"Expect":                       {"100-continue"},
		"Transfer-Encoding":            {"chunked"},
		"content-length":               {"77"},
		"Traceparent":                  {"forged"},
		"X-Kept":                       {"1", "2"},
		forwarder.HeaderTimeout:        {"1s"},
		forwarder.HeaderRelayed:        {"forged"},
		forwarder.HeaderRequest:        {"r1"},
		"egretring-deadline":           {"forged"},
		"Egretring-Attempt":            {"1"},
		forwarder.HeaderIdempotencyKey: {"k1"},
	}
	span := trace.NewSpanContext(trace.SpanContextConfig{
		TraceID: trace.TraceID{1}, SpanID: trace.SpanID{2}, TraceFlags: trace.FlagsSampled,
	})
	ctx := trace.ContextWithSpanContext(context.Background(), span)
	f := forwarder.New(forwarder.WithPropagator(propagation.TraceContext{}))
	defer f.CloseIdle()
	result := exchangeDiscarding(ctx, f, options)
	require.NoError(t, result.Err)
	require.True(t, result.Leaving)
	lines := strings.Split(strings.TrimSpace(<-heads), "\r\n")
	require.Equal(t, "POST /tally/charge/a%2Fb?x=1&y HTTP/1.1", lines[0])
	require.ElementsMatch(t, []string{
		"Host: " + options.Server.Address,
		"content-length: 0",
		"Egretring-Attempt: 1",
		"Egretring-Deadline: 2126-12-04T06:00:00.000000005Z",
		"Egretring-Request: r1",
		"Idempotency-Key: k1",
		"Traceparent: 00-01000000000000000000000000000000-0200000000000000-01",
		"X-Kept: 1",
		"X-Kept: 2",
	}, lines[1:])
}

// TestResponseHeader guards against hop-by-hop headers, or headers with which a backend server poses as egretring, that
// reach the caller.
func TestResponseHeader(t *testing.T) {
	heads := make(chan string, 1)
	_, caller := exchangeForCaller(t, forwarder.New(), optionsFor(serve(t, recordHead(heads))))
	require.NoError(t, caller.err)
	caller.header.Del("Date")
	require.Equal(t, http.Header{"Content-Length": {"0"}, "X-Own": {"1"}, "Egretring-Request": {"r1"}}, caller.header)
}

// FuzzResponse guards against response bytes of a server that crash the forwarder, or that prove "not run" without the
// header that states it.
func FuzzResponse(f *testing.F) {
	f.Add("HTTP/1.1 503 Busy\r\nEgretring-Not-Run: true\r\nContent-Length: 0\r\n\r\n")
	f.Add("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nxy")
	f.Add("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n")
	f.Fuzz(func(t *testing.T, response string) {
		dial := func(context.Context, string, string) (net.Conn, error) {
			near, far := net.Pipe()
			go func() {
				defer far.Close()
				if _, err := http.ReadRequest(bufio.NewReader(far)); err == nil {
					_, _ = io.WriteString(far, response)
				}
			}()
			return near, nil
		}
		options := optionsFor("10.0.0.1:1")
		options.Request.Method = http.MethodGet
		options.Request.Body = nil
		proxy := forwarder.New(forwarder.WithDial(dial))
		defer proxy.CloseIdle()
		result := exchangeDiscarding(context.Background(), proxy, options)
		if result.Evidence.ProvesNotRun() {
			require.Contains(t, strings.ToLower(response), "egretring-not-run:")
			require.Equal(t, http.StatusServiceUnavailable, result.Status)
		}
	})
}

// FuzzPath guards against a path from a caller that changes the server or adds lines to the request.
func FuzzPath(f *testing.F) {
	f.Add("/tally/charge?x=1")
	f.Add("//other/x")
	f.Add("http://other/x")
	f.Add("/a\r\nHost: other")
	f.Fuzz(func(t *testing.T, path string) {
		hosts := make(chan string, 1)
		dial := func(_ context.Context, _, address string) (net.Conn, error) {
			require.Equal(t, "10.0.0.1:1", address)
			near, far := net.Pipe()
			go func() {
				defer far.Close()
				request, err := http.ReadRequest(bufio.NewReader(far))
				if err != nil {
					hosts <- err.Error()
					return
				}
				hosts <- request.Host
			}()
			return near, nil
		}
		options := optionsFor("10.0.0.1:1")
		options.Request.Path = path
		options.Request.Body = nil
		result := exchangeDiscarding(context.Background(), forwarder.New(forwarder.WithDial(dial)), options)
		if !result.Evidence.ProvesNotRun() {
			require.Equal(t, "10.0.0.1:1", <-hosts)
		}
	})
}
