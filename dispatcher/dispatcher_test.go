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

func newDispatcher(slots int, opts ...dispatcher.Option) *dispatcher.Dispatcher {
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

// TestQueuedRequestEndsAtItsDeadline guards against a queued request that is never answered and a running one
// that is not aborted at its deadline.
func TestQueuedRequestEndsAtItsDeadline(t *testing.T) {
	d := newDispatcher(1)
	require.Equal(t, []dispatcher.Command{dispatcher.StartAttempt{
		ID: 1, Attempt: 1, BackendServer: "b1", Deadline: epoch.Add(time.Second),
	}}, d.Handle(epoch, arrival(1)))
	require.Empty(t, d.Handle(epoch, arrival(2)))
	commands := d.Handle(epoch.Add(time.Second), dispatcher.Ticked{})
	require.Len(t, commands, 2)
	require.Contains(t, commands, dispatcher.AbortAttempt{ID: 1, Attempt: 1})
	require.Contains(t, commands, dispatcher.FailRequest{
		ID: 2, Kind: classifier.DeadlineExceeded, RetryAt: epoch.Add(time.Second),
		ExpectedWait: 100 * time.Millisecond,
	})
}

// TestAnswerClaimsNoMoreThanEvidence guards against an error that claims more than the evidence of the attempt
// proves, such as that a request was not run although it may have run.
func TestAnswerClaimsNoMoreThanEvidence(t *testing.T) {
	const started, late = true, true
	for _, test := range []struct {
		evidence describer.Evidence
		started  bool
		late     bool
		want     classifier.Kind
	}{
		{describer.NotSent, false, false, classifier.NoBackendServer},
		{describer.NotSent, false, late, classifier.DeadlineExceeded},
		{describer.NotSent, started, false, classifier.OutcomeUnknown},
		{describer.Refused, false, false, classifier.NoBackendServer},
		{describer.Refused, false, late, classifier.DeadlineExceeded},
		{describer.Failed, false, false, classifier.BackendFailed},
		{describer.Failed, false, late, classifier.BackendFailed},
		{describer.Truncated, started, false, classifier.BackendTruncated},
		{describer.Truncated, false, late, classifier.BackendTruncated},
		{describer.Broken, false, false, classifier.OutcomeUnknown},
		{describer.Broken, false, late, classifier.OutcomeUnknown},
		{describer.Aborted, false, false, classifier.OutcomeUnknown},
		{describer.Aborted, false, late, classifier.OutcomeUnknown},
	} {
		d := newDispatcher(1, dispatcher.WithAttempts(1))
		d.Handle(epoch, arrival(1))
		now := epoch
		if test.late {
			now = epoch.Add(time.Second)
			d.Handle(now, dispatcher.Ticked{})
		}
		commands := d.Handle(now, dispatcher.AttemptEnded{
			ID: 1, Attempt: 1, Evidence: test.evidence, ResponseStarted: test.started,
		})
		require.Len(t, commands, 1, "%v", test)
		require.Equal(t, test.want, commands[0].(dispatcher.FailRequest).Kind, "%v", test)
	}
}

// TestArrivalWithoutSlots guards against requests that wait until their deadline while no server accepts work, and
// against requests that are refused during a short change of shares.
func TestArrivalWithoutSlots(t *testing.T) {
	d := newDispatcher(1)
	d.Handle(epoch, dispatcher.SharesChanged{})
	require.Empty(t, d.Handle(epoch.Add(100*time.Millisecond), arrival(1)))
	commands := d.Handle(epoch.Add(600*time.Millisecond), arrival(2))
	require.Equal(t, []dispatcher.Command{dispatcher.FailRequest{
		ID: 2, Kind: classifier.NoBackendServer, RetryAt: epoch.Add(1600 * time.Millisecond),
		ExpectedWait: 24 * time.Hour,
	}}, commands)
}

// TestRelayGoesToPeerWithFreeSlots guards against relays to a peer without free slots, or to another zone while a peer
// in the same zone has free slots, and against a request that is relayed twice or lost when the peer refuses it.
func TestRelayGoesToPeerWithFreeSlots(t *testing.T) {
	d := newDispatcher(1)
	d.Handle(epoch, arrival(1))
	d.Handle(epoch, dispatcher.PeersReported{Loads: []dispatcher.PeerLoad{
		{Instance: "far", FreeSlots: 8}, {Instance: "near", SameZone: true, FreeSlots: 2}, {Instance: "full", SameZone: true},
	}})
	relay := func(id int, instance describer.InstanceID) []dispatcher.Command {
		return []dispatcher.Command{dispatcher.RelayToPeer{
			ID: describer.RequestID(id), Instance: instance, Deadline: epoch.Add(time.Second),
		}}
	}
	require.Equal(t, relay(2, "near"), d.Handle(epoch, arrival(2)))
	require.Equal(t, relay(3, "far"), d.Handle(epoch, arrival(3)), "half of the free slots of the near peer are used")
	require.Empty(t, d.Handle(epoch, dispatcher.RelayEnded{ID: 2, Evidence: describer.Answered}))
	require.Equal(t, relay(4, "near"), d.Handle(epoch, arrival(4)), "the near peer has a free slot again")
	require.Empty(t, d.Handle(epoch, dispatcher.RelayEnded{ID: 4, Evidence: describer.Refused}), "the refused request waits on this instance")
	require.Equal(t, relay(5, "far"), d.Handle(epoch, arrival(5)), "the near peer refused")
	started := d.Handle(epoch, dispatcher.AttemptEnded{ID: 1, Attempt: 1, Evidence: describer.Answered})
	require.Equal(t, describer.RequestID(4), started[0].(dispatcher.StartAttempt).ID)
	require.Equal(t, []dispatcher.Command{dispatcher.AbortAttempt{ID: 5, Relay: true}},
		d.Handle(epoch, dispatcher.RequestCancelled{ID: 5}))
	require.Equal(t, []dispatcher.Command{dispatcher.FailRequest{
		ID: 5, Kind: classifier.Cancelled, ExpectedWait: 200 * time.Millisecond,
	}}, d.Handle(epoch, dispatcher.RelayEnded{ID: 5, Evidence: describer.Broken}))
}
