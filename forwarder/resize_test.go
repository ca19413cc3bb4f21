package forwarder_test

import (
	"context"
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

// TestResizeDuringExchangeLeavesNoConnection guards against connections kept by a pool replaced during an exchange.
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

// TestResizeCountsConnectionsInUse guards against a limit that leaves out the connections in use at its change.
func TestResizeCountsConnectionsInUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := &pipeServer{delay: 4 * time.Second, dialTime: time.Second}
		f := forwarder.New(forwarder.WithDial(server.dial), forwarder.WithConnections(3))
		var running sync.WaitGroup
		running.Go(func() { server.exchange(f, time.Time{}) })
		time.Sleep(2 * time.Second)
		f.SetConnections("10.0.0.1:1", 2)
		// The dial of an exchange that ends early goes on, and http.Transport keeps its connection as a spare one.
		server.exchange(f, time.Now().Add(time.Second/2))
		require.Equal(t, describer.Answered.String(), server.exchange(f, time.Time{}).Evidence.String())
		running.Wait()
		_, highest := server.connections()
		f.CloseIdle()
		require.Equal(t, 2, highest)
	})
}

// TestExchangesInProgressKeepTheirConnections guards against an exchange that owns a slot and waits for others.
func TestExchangesInProgressKeepTheirConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := &pipeServer{delay: time.Second, dialTime: time.Second}
		f := forwarder.New(forwarder.WithDial(server.dial))
		var running sync.WaitGroup
		for range 3 {
			running.Go(func() { server.exchange(f, time.Time{}) })
		}
		synctest.Wait()
		started := time.Now()
		f.SetConnections("10.0.0.1:1", 0)
		running.Wait()
		require.Equal(t, 2*time.Second, time.Since(started))
		open, highest := server.connections()
		require.Zero(t, open)
		require.Equal(t, 3, highest)
	})
}

// TestExchangeAfterZeroKeepsNoConnection guards against the default limit for an address without a share.
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

// TestCancelledExchangesReturnTheirConnections guards against closed connections that count towards the limit.
func TestCancelledExchangesReturnTheirConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := &pipeServer{delay: time.Second}
		f := forwarder.New(forwarder.WithDial(server.dial), forwarder.WithConnections(2))
		for range 5 {
			ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
			options := optionsFor("10.0.0.1:1")
			options.Writer = httptest.NewRecorder()
			require.Equal(t, describer.Aborted.String(), f.Exchange(ctx, options).Evidence.String())
			cancel()
		}
		require.Equal(t, describer.Answered.String(), server.exchange(f, time.Now().Add(time.Minute)).Evidence.String())
		f.CloseIdle()
		server.served.Wait()
	})
}
