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

// TestFailedListenerEndsDaemon guards against a daemon that lives on without a listener, which its supervisor would
// never restart.
func TestFailedListenerEndsDaemon(t *testing.T) {
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
