package forwarder_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/forwarder"
)

// callHTTP10 makes an exchange on behalf of an HTTP/1.0 caller, and returns the result and the error with which the
// response to the caller ends.
func callHTTP10(t *testing.T, options forwarder.ExchangeOptions) (forwarder.Result, error) {
	t.Helper()
	results := make(chan forwarder.Result, 1)
	f := forwarder.New()
	defer f.CloseIdle()
	front := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		options.Writer = w
		results <- f.Exchange(r.Context(), options)
	}))
	defer front.Close()
	conn, err := net.Dial("tcp", front.Listener.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "GET / HTTP/1.0\r\n\r\n")
	require.NoError(t, err)
	_, err = io.ReadAll(conn)
	return <-results, err
}

// faultyConn is a connection on which each write fails and reports some bytes as written.
type faultyConn struct {
	net.Conn
	written int
}

func (c faultyConn) Write([]byte) (int, error) {
	return c.written, errors.New("write fails")
}

func dialFaulty(written int) forwarder.Dial {
	return func(context.Context, string, string) (net.Conn, error) {
		near, _ := net.Pipe()
		return faultyConn{Conn: near, written: written}, nil
	}
}

func dialRefused(context.Context, string, string) (net.Conn, error) {
	return nil, errors.New("connection refused")
}

// TestNotSentOnlyBeforeFirstByte guards against the evidence NotSent when a byte was written, and against Broken when
// none was.
func TestNotSentOnlyBeforeFirstByte(t *testing.T) {
	cases := []struct {
		name     string
		dial     forwarder.Dial
		change   func(*forwarder.ExchangeOptions)
		evidence describer.Evidence
	}{
		{"connection refused", dialRefused, nil, describer.NotSent},
		{"write fails at once", dialFaulty(0), nil, describer.NotSent},
		{"write fails after a byte", dialFaulty(1), nil, describer.Broken},
		{"invalid path", nil, func(o *forwarder.ExchangeOptions) { o.Request.Path = "no slash" }, describer.NotSent},
		{"invalid method", nil, func(o *forwarder.ExchangeOptions) { o.Request.Method = "A B" }, describer.NotSent},
		{"invalid header", nil, func(o *forwarder.ExchangeOptions) {
			o.Request.Header = http.Header{"A": {"b\r\nc"}}
		}, describer.NotSent},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			options := optionsFor("127.0.0.1:1")
			options.Writer = httptest.NewRecorder()
			if c.change != nil {
				c.change(&options)
			}
			dial := c.dial
			if dial == nil {
				dial = dialRefused
			}
			f := forwarder.New(forwarder.WithDial(dial))
			result := f.Exchange(context.Background(), options)
			require.Equal(t, c.evidence.String(), result.Evidence.String())
			require.Error(t, result.Err)
			require.Equal(t, c.evidence == describer.Broken, result.MayStillRun, "net.Pipe cannot be half closed")
		})
	}
}
