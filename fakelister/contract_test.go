package fakelister_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/fakelister"
	"egretring.example/egretring/lister"
	"egretring.example/egretring/tester"
)

func TestMain(m *testing.M) {
	tester.Main(m)
}

var listing = lister.Listing{
	BackendServers: []describer.BackendServer{
		{
			ID: "s1", AvailabilityZone: "sklad", Rack: "r1", Address: "127.0.0.1:1", State: describer.Live,
			Capacity: describer.Resources{MilliCores: 64_000, MemoryBytes: 128 << 30, Accelerators: 8},
		},
		{ID: "s2", AvailabilityZone: "sklad", Rack: "r2", Address: "127.0.0.1:2", State: describer.Live},
	},
	Instances: []describer.Instance{
		{ID: "e1", AvailabilityZone: "sklad", Incarnation: 7, PeerAddress: "127.0.0.1:3", OperatorAddress: "127.0.0.1:4"},
	},
}

// handlerTransport is a transport that calls a handler without a socket, so that it can be used in virtual time.
type handlerTransport struct {
	handler http.Handler
}

// RoundTrip implements http.RoundTripper.
func (h handlerTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	recorder := httptest.NewRecorder()
	h.handler.ServeHTTP(recorder, request)
	return recorder.Result(), request.Context().Err()
}

// TestListAgreesInMemoryAndOverHTTP guards against a list that behaves differently in memory and over HTTP, that loses
// fields, or that shows a change before its lag.
func TestListAgreesInMemoryAndOverHTTP(t *testing.T) {
	for _, transport := range []string{"memory", "HTTP"} {
		t.Run(transport, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fake := fakelister.New(listing, fakelister.WithLag(5*time.Second))
				var list lister.List = fake
				if transport == "HTTP" {
					list = lister.NewClient("http://list", &http.Client{Transport: handlerTransport{fake.Handler()}})
				}
				requireListing(t, list, describer.Live)
				fake.SetServerState("s2", describer.Leaving)
				time.Sleep(5*time.Second - time.Nanosecond)
				requireListing(t, list, describer.Live)
				time.Sleep(time.Nanosecond)
				requireListing(t, list, describer.Leaving)
				fake.SetDown(true)
				_, err := list.BackendServers(context.Background())
				require.Error(t, err)
				_, err = list.Instances(context.Background())
				require.Error(t, err)
				fake.SetDown(false)
				requireListing(t, list, describer.Leaving)
			})
		})
	}
}

func requireListing(t *testing.T, list lister.List, state describer.ServerState) {
	t.Helper()
	servers, err := list.BackendServers(context.Background())
	require.NoError(t, err)
	require.Equal(t, listing.BackendServers[0], servers[0])
	require.Equal(t, listing.BackendServers[1].WithState(state), servers[1])
	instances, err := list.Instances(context.Background())
	require.NoError(t, err)
	require.Equal(t, listing.Instances, instances)
}

// TestClientReadsListOverSocket guards against a client that does not reach the list through a socket.
func TestClientReadsListOverSocket(t *testing.T) {
	server := httptest.NewServer(fakelister.New(listing).Handler())
	defer server.Close()
	requireListing(t, lister.NewClient(server.URL, server.Client()), describer.Live)
}

// TestConcurrentStateChangesAreKept guards against a state change of one server that overwrites a concurrent change of
// another.
func TestConcurrentStateChangesAreKept(t *testing.T) {
	for range 200 {
		fake := fakelister.New(listing)
		var changes sync.WaitGroup
		for _, id := range []describer.BackendServerID{"s1", "s2"} {
			changes.Go(func() { fake.SetServerState(id, describer.Gone) })
		}
		changes.Wait()
		servers, err := fake.BackendServers(context.Background())
		require.NoError(t, err)
		for _, server := range servers {
			require.Equal(t, describer.Gone, server.State)
		}
	}
}
