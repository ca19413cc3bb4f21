package fakelister_test

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/fakelister"
	"egretring.example/egretring/lister"
	"egretring.example/egretring/tester"
)

// TestLongListOverSmallLinkArrives guards against an instance with a small link that never reads the list of a large cell,
// because the whole response takes longer than a call may take.
func TestLongListOverSmallLinkArrives(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const servers, bytesPerSecond = 30_000, 10_000_000 / 8
		var long lister.Listing
		for i := range servers {
			long.BackendServers = append(long.BackendServers, describer.BackendServer{
				ID: describer.BackendServerID(fmt.Sprintf("backend-server-%06d", i)), Address: fmt.Sprintf("10.0.%d.%d:8080", i/250, i%250),
			})
		}
		network := tester.NewNetwork()
		server := &http.Server{Handler: fakelister.New(long).Handler(), ReadHeaderTimeout: time.Minute}
		listener := network.Listen("list:80")
		go func() { _ = server.Serve(listener) }()
		transport := &http.Transport{DialContext: tester.NewLink(network, bytesPerSecond).Dial}
		list := lister.NewClient("http://list", &http.Client{Transport: transport})
		startedAt := time.Now()
		found, err := list.BackendServers(t.Context())
		require.NoError(t, err)
		require.Len(t, found, servers)
		require.Greater(t, time.Since(startedAt), 2*time.Second, "the list is too short for this test")
		transport.CloseIdleConnections()
		require.NoError(t, server.Close())
	})
}
