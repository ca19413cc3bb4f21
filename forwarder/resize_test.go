package forwarder_test

import (
	"net/http/httptest"
	"net/http/httptrace"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/forwarder"
)

// TestResizeDuringExchangeLeavesNoConnection guards against connections that stay open beyond the limit, because the
// limit changed after an exchange had chosen its pool and before it asked for a connection.
func TestResizeDuringExchangeLeavesNoConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := &pipeServer{}
		f := forwarder.New(forwarder.WithDial(server.dial))
		resized := httptrace.WithClientTrace(t.Context(), &httptrace.ClientTrace{
			GetConn: func(string) { f.SetConnections("10.0.0.1:1", 2) },
		})
		options := optionsFor("10.0.0.1:1")
		options.Writer = httptest.NewRecorder()
		require.Equal(t, describer.Answered, f.Exchange(resized, options).Evidence)
		open, _ := server.connections()
		f.CloseIdle()
		require.Zero(t, open, "connections of the replaced pool that stay open")
	})
}

// TestExchangeAfterZeroKeepsNoConnection guards against an exchange that gives an address without a share the default
// number of connections again.
func TestExchangeAfterZeroKeepsNoConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := &pipeServer{delay: time.Second}
		f := forwarder.New(forwarder.WithDial(server.dial))
		f.SetConnections("10.0.0.1:1", 0)
		var running sync.WaitGroup
		for range 2 {
			running.Go(func() { server.exchange(f, time.Time{}) })
		}
		running.Wait()
		open, highest := server.connections()
		f.CloseIdle()
		require.Zero(t, open)
		require.Equal(t, 2, highest)
	})
}
