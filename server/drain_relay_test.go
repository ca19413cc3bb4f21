package server

import (
	"context"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/forwarder"
)

// TestDrainLogsRelayedRequests guards against a drain that cuts off relayed requests and names none in its log.
func TestDrainLogsRelayedRequests(t *testing.T) {
	s := newLoadedDaemon(t)
	request, err := http.NewRequest(http.MethodGet, "http://"+s.daemon.Addresses().Relay+"/tally/count", nil)
	require.NoError(t, err)
	request.Header.Set(forwarder.HeaderRelayed, "a2")
	relayed := make(chan error, 1)
	go func() {
		response, err := http.DefaultClient.Do(request)
		if err == nil {
			err = response.Body.Close()
		}
		relayed <- err
	}()
	until(func() bool { return s.daemon.membership.load().Queued[describer.Urgent] == requestsInFlight-8+1 })
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.ErrorIs(t, s.daemon.Drain(ctx), context.Canceled)
	<-relayed
	s.results()
	require.Contains(t, s.logs.String(), `"Relayed":{"/tally/count":1}`)
}
