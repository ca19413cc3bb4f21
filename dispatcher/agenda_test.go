package dispatcher

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/describer"
)

// TestScheduleDropsEndedRequests guards against wake-ups of ended requests that stay in the schedule until the
// deadline, so that memory grows with the number of requests that ended before it.
func TestScheduleDropsEndedRequests(t *testing.T) {
	d := New()
	start := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	d.Handle(start, ServicesChanged{Services: []describer.Service{{ID: "tally"}}})
	d.Handle(start, BackendServersChanged{Servers: []describer.BackendServer{{ID: "b1", State: describer.Live}}})
	d.Handle(start, SharesChanged{Shares: []Share{{BackendServer: "b1", Slots: 1, Connections: 1}}})
	arrive := func(id describer.RequestID, timeout time.Duration) {
		d.Handle(start, RequestArrived{Request: describer.Request{ID: id, Service: "tally", Deadline: start.Add(timeout)}})
	}
	arrive(0, time.Minute)
	for id := range describer.RequestID(10_000) {
		arrive(id+1, time.Hour)
		d.Handle(start, RequestCancelled{ID: id + 1})
	}
	require.Less(t, len(d.schedule.wakeups), 100)
	require.Len(t, d.requests, 1)
	d.Handle(start, AttemptEnded{ID: 0, Attempt: 1, Evidence: describer.Answered})
	require.Empty(t, d.requests)
	require.Empty(t, d.inProgress)
}
