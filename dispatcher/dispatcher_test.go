package dispatcher_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/classifier"
	"egretring.example/egretring/describer"
	"egretring.example/egretring/dispatcher"
	"egretring.example/egretring/tester"
)

func TestMain(m *testing.M) { tester.Main(m) }

var epoch = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func newReady(slots int, opts ...dispatcher.Option) *dispatcher.Dispatcher {
	d := dispatcher.New(opts...)
	d.Handle(epoch, dispatcher.ServicesChanged{Services: []describer.Service{{ID: "tally", QueueLimit: 100}}})
	d.Handle(epoch, dispatcher.BackendServersChanged{Servers: []describer.BackendServer{{ID: "b1", State: describer.Live}}})
	d.Handle(epoch, dispatcher.SharesChanged{Shares: []dispatcher.Share{{BackendServer: "b1", Slots: slots, Connections: slots}}})
	return d
}

func arrival(id int) dispatcher.RequestArrived {
	return dispatcher.RequestArrived{Request: describer.Request{
		ID: describer.RequestID(id), Service: "tally", Kind: "count", Class: describer.Urgent,
		Deadline: epoch.Add(time.Second), Repeatable: true,
	}}
}

// TestQueuedRequestPassesItsDeadline guards against a request that stays in a queue for ever.
func TestQueuedRequestPassesItsDeadline(t *testing.T) {
	d := newReady(1)
	require.Equal(t, []dispatcher.Command{dispatcher.StartAttempt{
		ID: 1, Attempt: 1, BackendServer: "b1", Deadline: epoch.Add(time.Second),
	}}, d.Handle(epoch, arrival(1)))
	require.Empty(t, d.Handle(epoch, arrival(2)))
	commands := d.Handle(epoch.Add(time.Second), dispatcher.Ticked{})
	require.Len(t, commands, 2)
	require.Contains(t, commands, dispatcher.AbortAttempt{ID: 1, Attempt: 1})
	require.Contains(t, commands, dispatcher.AnswerRequest{ID: 2, Kind: classifier.DeadlineExceeded, RetryAt: epoch.Add(time.Second)})
}
