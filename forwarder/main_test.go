package forwarder_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/forwarder"
	"egretring.example/egretring/tester"
)

func TestMain(m *testing.M) {
	tester.Main(m)
}

// connScript acts as the server on one connection, which is closed when the script returns.
type connScript func(t *testing.T, conn net.Conn, reader *bufio.Reader)

// serve runs one script per accepted connection, in order, and returns the address of the listener.
func serve(t *testing.T, scripts ...connScript) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for _, script := range scripts {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			script(t, conn, bufio.NewReader(conn))
			conn.Close()
		}
	}()
	t.Cleanup(func() {
		listener.Close()
		<-ended
	})
	return listener.Addr().String()
}

func readRequest(t *testing.T, reader *bufio.Reader) *http.Request {
	t.Helper()
	request, err := http.ReadRequest(reader)
	if err != nil {
		return nil
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return nil
	}
	request.ContentLength = int64(len(body))
	return request
}

// respond returns a script that reads a request and sends these bytes.
func respond(bytes string) connScript {
	return func(t *testing.T, conn net.Conn, reader *bufio.Reader) {
		readRequest(t, reader)
		_, _ = io.WriteString(conn, bytes)
	}
}

// respondAndReset returns a script that reads a request, sends these bytes and resets the connection.
func respondAndReset(bytes string) connScript {
	return func(t *testing.T, conn net.Conn, reader *bufio.Reader) {
		respond(bytes)(t, conn, reader)
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
}

func optionsFor(address string) forwarder.ExchangeOptions {
	return forwarder.ExchangeOptions{
		Server:  describer.BackendServer{ID: "s1", Address: address},
		Request: forwarder.Request{Method: http.MethodPost, Path: "/tally/charge", Body: []byte("body")},
	}
}

// callerResponse is the response that a caller received, or its error.
type callerResponse struct {
	status int
	body   string
	header http.Header
	err    error
}

// exchangeForCaller makes an exchange on behalf of a caller over HTTP, and returns the result and the response that the
// caller received. When the exchange wrote nothing, the caller receives status 599.
func exchangeForCaller(t *testing.T, f *forwarder.Forwarder, options forwarder.ExchangeOptions) (forwarder.Result, callerResponse) {
	t.Helper()
	results := make(chan forwarder.Result, 1)
	front := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		options.Writer = w
		result := f.Exchange(r.Context(), options)
		results <- result
		if !result.ResponseStarted {
			w.WriteHeader(599)
		}
	}))
	defer front.Close()
	defer f.CloseIdle()
	request, err := http.NewRequestWithContext(context.Background(), options.Request.Method, front.URL, nil)
	require.NoError(t, err)
	response, err := front.Client().Do(request)
	if err != nil {
		return <-results, callerResponse{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return <-results, callerResponse{status: response.StatusCode, body: string(body), header: response.Header, err: err}
}
