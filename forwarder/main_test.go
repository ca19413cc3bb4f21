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

// script plays a server on one connection; it returns when the connection is to be closed.
type script func(t *testing.T, conn net.Conn, reader *bufio.Reader)

// serve plays one script per connection, in order, and returns the address.
func serve(t *testing.T, scripts ...script) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for _, play := range scripts {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			play(t, conn, bufio.NewReader(conn))
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

// answers reads a request and answers with these bytes.
func answers(bytes string) script {
	return func(t *testing.T, conn net.Conn, reader *bufio.Reader) {
		readRequest(t, reader)
		_, _ = io.WriteString(conn, bytes)
	}
}

// resets reads a request, answers with these bytes and resets the connection.
func resets(bytes string) script {
	return func(t *testing.T, conn net.Conn, reader *bufio.Reader) {
		answers(bytes)(t, conn, reader)
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
}

func optionsFor(address string) forwarder.ExchangeOptions {
	return forwarder.ExchangeOptions{
		Server:  describer.BackendServer{ID: "s1", Address: address},
		Request: forwarder.Request{Method: http.MethodPost, Path: "/tally/charge", Body: []byte("body")},
	}
}

// seen is what a caller saw.
type seen struct {
	status int
	body   string
	header http.Header
	err    error
}

// callThrough makes an exchange on behalf of a caller over HTTP, and returns the result and what the caller saw. When
// nothing was written, the caller sees status 599.
func callThrough(t *testing.T, f *forwarder.Forwarder, options forwarder.ExchangeOptions) (forwarder.Result, seen) {
	t.Helper()
	results := make(chan forwarder.Result, 1)
	front := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		options.Writer = w
		result := f.Exchange(r.Context(), options)
		results <- result
		if !result.AnswerBegun {
			w.WriteHeader(599)
		}
	}))
	defer front.Close()
	defer f.CloseIdle()
	request, err := http.NewRequestWithContext(context.Background(), options.Request.Method, front.URL, nil)
	require.NoError(t, err)
	response, err := front.Client().Do(request)
	if err != nil {
		return <-results, seen{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return <-results, seen{status: response.StatusCode, body: string(body), header: response.Header, err: err}
}
