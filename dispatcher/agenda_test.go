package dispatcher

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/describer"
)

// TestAgendaForgetsEndedRequests guards against memory that grows with the requests that ended before their deadline.
func TestAgendaForgetsEndedRequests(t *testing.T) {
	d := New()
	start := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	d.Handle(start, ServicesChanged{Services: []describer.Service{{ID: "tally"}}})
	d.Handle(start, BackendServersChanged{Servers: []describer.BackendServer{{ID: "b1", State: describer.Live}}})
	d.Handle(start, SharesChanged{Shares: []Share{{BackendServer: "b1", Slots: 1, Connections: 1}}})
	for id := range describer.RequestID(10_000) {
		d.Handle(start, RequestArrived{Request: describer.Request{ID: id, Service: "tally", Deadline: start.Add(time.Hour)}})
		d.Handle(start, AttemptEnded{ID: id, Attempt: 1, Evidence: describer.Answered})
	}
	require.Less(t, len(d.agenda.entries), 100)
	require.Empty(t, d.requests)
	require.Empty(t, d.samples)
}
