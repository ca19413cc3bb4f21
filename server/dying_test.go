package server

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/fakekeeper"
	"egretring.example/egretring/fakelister"
	"egretring.example/egretring/lister"
	"egretring.example/egretring/loader"
)

// TestFailedListenerStopsDaemon guards against a daemon that keeps running after one of its listeners has failed, so that
// its supervisor never restarts it.
func TestFailedListenerStopsDaemon(t *testing.T) {
	daemon, err := New(loader.Settings{
		Instance: "a1", AvailabilityZone: "a", Zones: []string{"a"}, ListInterval: 100 * time.Millisecond,
		Listeners: loader.Listeners{Callers: anyPort, Operators: anyPort, Peers: anyPort, Relay: anyPort},
	}, WithStore(fakekeeper.New()), WithList(fakelister.New(lister.Listing{})))
	require.NoError(t, err)
	daemon.Start()
	require.NoError(t, daemon.callers.net.Close())
	<-daemon.Dying()
	require.ErrorContains(t, daemon.Stop(), "serve callers")
}
