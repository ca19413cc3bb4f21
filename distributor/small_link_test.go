package distributor

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/fakekeeper"
	"egretring.example/egretring/keeper"
	"egretring.example/egretring/tester"
)

// TestManyTicketsOverSmallLinkAreInForce guards against an instance with a small link that never gets the tickets, because
// reading all of them takes longer than a call to the store may take.
func TestManyTicketsOverSmallLinkAreInForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			tickets        = 300
			commentBytes   = 50_000
			bytesPerSecond = 10_000_000 / 8
		)
		store, network := fakekeeper.New(), tester.NewNetwork()
		server := &http.Server{Handler: store.Handler(), ReadHeaderTimeout: time.Minute}
		listener := network.Listen("store:80")
		go func() { _ = server.Serve(listener) }()
		writer := startDistributor(t, store, "writer")
		waitFor(t, 0, writer)
		for i := range tickets {
			ticket := limitTicket(fmt.Sprint(i), int64(i), i, "red")
			ticket.Comment = strings.Repeat("x", commentBytes)
			_, err := writer.Accept(t.Context(), ticket)
			require.NoError(t, err)
		}
		transport := &http.Transport{DialContext: tester.NewLink(network, bytesPerSecond).Dial}
		reader := startDistributor(t, keeper.NewClient("http://store", &http.Client{Transport: transport}), "reader")
		time.Sleep(2 * tickets * commentBytes / bytesPerSecond * time.Second)
		require.Equal(t, int64(tickets), reader.Status().Applied)
		t.Cleanup(func() {
			transport.CloseIdleConnections()
			require.NoError(t, server.Close())
		})
	})
}
