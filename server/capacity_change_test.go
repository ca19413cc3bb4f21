package server

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/ticketer"
)

// TestCapacityChangesWithoutRestart guards against a change of the capacity that takes effect only after a restart.
func TestCapacityChangesWithoutRestart(t *testing.T) {
	s := newLoadedDaemon(t)
	close(s.release)
	require.Equal(t, map[int]int{http.StatusOK: requestsInFlight}, s.results())
	for base, slots := range []int{4, 8, 2} {
		service := &describer.Service{
			ID: "tally", SlotsPerBackendServer: slots, ConnectionsPerBackendServer: 64, QueueLimit: 100,
		}
		_, err := s.daemon.ApplyTicket(t.Context(), ticketer.Ticket{
			ID: string(rune('a' + base)), Base: int64(base + 1),
			Services: map[describer.ServiceID]*describer.Service{"tally": service},
		})
		require.NoError(t, err)
		until(func() bool {
			shares := s.daemon.membership.registrar.Load().Shares().Changed.Shares
			return len(shares) == 1 && shares[0].Slots == slots && shares[0].Connections == 64-slots
		})
	}
	require.NoError(t, s.daemon.Stop())
}
