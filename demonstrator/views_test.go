package demonstrator_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/demonstrator"
	"egretring.example/egretring/describer"
	"egretring.example/egretring/forwarder"
	"egretring.example/egretring/reporter"
	"egretring.example/egretring/requester"
	"egretring.example/egretring/ticketer"
)

// TestViewsShowTheWholeCell guards against views that lack instances of other zones, because an entry instance receives
// the heartbeats of only some of them, and against a refused request that another instance cannot explain.
func TestViewsShowTheWholeCell(t *testing.T) {
	topology, err := demonstrator.TopologyNamed("hronov")
	require.NoError(t, err)
	topology.ListLag = 0
	cell, err := demonstrator.NewCell(demonstrator.CellOptions{Topology: topology, Seed: 20261204, Logs: t.Output()})
	require.NoError(t, err)
	defer cell.Close()
	ticket := ticketer.Ticket{ID: "first", Services: map[describer.ServiceID]*describer.Service{
		topology.Service: {
			ID: topology.Service, SlotsPerBackendServer: 8, ConnectionsPerBackendServer: 64, QueueLimit: 100,
		},
	}}
	require.NoError(t, cell.Apply(t.Context(), ticket))

	entries := cell.Entries()
	first, last := entries[0].Daemon.Addresses(), entries[len(entries)-1].Daemon.Addresses()
	client := requester.New([]string{"http://" + first.Operators}, http.DefaultClient)
	status, err := client.Status(t.Context())
	require.NoError(t, err)
	require.Len(t, status.Instances, len(entries))
	for _, instance := range status.Instances {
		require.True(t, instance.Live, instance.Instance)
		require.EqualValues(t, 1, instance.AppliedTicket, instance.Instance)
	}
	for _, zone := range status.Zones {
		require.True(t, zone.Reporting, zone.AvailabilityZone)
		require.Equal(t, 16, zone.Servers)
		require.Equal(t, 128, zone.Slots)
	}
	inForce, err := client.InForce(t.Context(), 1)
	require.NoError(t, err)
	require.True(t, inForce.InForce)
	servers, err := client.Servers(t.Context(), reporter.ServerQuery{})
	require.NoError(t, err)
	require.Len(t, servers, 48)

	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet,
		"http://"+last.Callers+"/"+string(topology.Service)+"/label", nil)
	require.NoError(t, err)
	request.Header.Set(forwarder.HeaderRequest, "request-1")
	request.Header.Set(forwarder.HeaderTimeout, "1ns")
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.NotEqual(t, http.StatusOK, response.StatusCode)
	reasons, err := client.Why(t.Context(), "request-1")
	require.NoError(t, err)
	require.Len(t, reasons, 1)
	require.Contains(t, reasons[0].Text, string(entries[len(entries)-1].Instance))
	require.Contains(t, reasons[0].Text, "expected wait")
}
