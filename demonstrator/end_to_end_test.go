package demonstrator_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/demonstrator"
	"egretring.example/egretring/describer"
	"egretring.example/egretring/fakebackend"
	"egretring.example/egretring/generator"
	"egretring.example/egretring/ticketer"
)

// TestRequestIsServedFromEndToEnd guards against a fault anywhere on the path from a caller to a backend server.
func TestRequestIsServedFromEndToEnd(t *testing.T) {
	topology, err := demonstrator.TopologyNamed("tumbonas")
	require.NoError(t, err)
	topology.ListLag = 0
	cell, err := demonstrator.NewCell(demonstrator.CellOptions{
		Topology: topology, Seed: 1, Logs: t.Output(),
		BackendOptions: []fakebackend.Option{fakebackend.WithRunTime("count", generator.RunTime{Median: time.Millisecond})},
	})
	require.NoError(t, err)
	defer cell.Close()
	ticket := ticketer.Ticket{ID: "first", Services: map[describer.ServiceID]*describer.Service{
		topology.Service: {
			ID: topology.Service, SlotsPerBackendServer: 8, ConnectionsPerBackendServer: 64, QueueLimit: 100,
			Kinds: map[describer.KindID]describer.Kind{"count": {Class: describer.Urgent, ExpectedMilliseconds: 1}},
		},
	}}
	require.NoError(t, cell.Apply(t.Context(), ticket))
	for _, entry := range cell.Entries() {
		response, err := http.Get("http://" + entry.CallerAddress + "/" + string(topology.Service) + "/count")
		require.NoError(t, err)
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, response.StatusCode, string(body))
		require.NoError(t, response.Body.Close())
	}
}
