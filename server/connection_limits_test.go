package server

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/dispatcher"
	"egretring.example/egretring/forwarder"
	"egretring.example/egretring/registrar"
	"egretring.example/egretring/router"
)

// respondOnPipe returns a dial function whose connections respond to each request, and the number of open ones.
func respondOnPipe() (forwarder.Dial, *atomic.Int64) {
	open := new(atomic.Int64)
	return func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		open.Add(1)
		go func() {
			defer open.Add(-1)
			defer far.Close()
			reader := bufio.NewReader(far)
			for {
				if _, err := http.ReadRequest(reader); err != nil {
					return
				}
				if _, err := io.WriteString(far, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"); err != nil {
					return
				}
			}
		}()
		return near, nil
	}, open
}

// TestServerWithoutShareKeepsNoConnection guards against idle connections beyond the share of an instance.
func TestServerWithoutShareKeepsNoConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dial, open := respondOnPipe()
		backend := describer.BackendServer{ID: "s1", Address: "10.0.0.1:1", State: describer.Live}
		d := &Daemon{directory: router.NewDirectory(), exchanger: forwarder.New(forwarder.WithDial(dial))}
		d.directory.SetServers([]describer.BackendServer{backend})
		defer d.exchanger.CloseIdle()
		m := &membership{daemon: d}
		m.limitConnections(registrar.Shares{Changed: dispatcher.SharesChanged{
			Shares: []dispatcher.Share{{BackendServer: "s1", Slots: 1, Connections: 8}},
		}})
		result := d.exchanger.Exchange(t.Context(), forwarder.ExchangeOptions{
			Server: backend, Request: forwarder.Request{Method: http.MethodGet, Path: "/tally/count"},
			Writer: httptest.NewRecorder(),
		})
		require.Equal(t, describer.Answered.String(), result.Evidence.String())
		synctest.Wait()
		require.EqualValues(t, 1, open.Load())
		m.limitConnections(registrar.Shares{})
		synctest.Wait()
		left := open.Load()
		d.exchanger.CloseIdle()
		require.Zero(t, left, "connections to a backend server without a share")
	})
}
