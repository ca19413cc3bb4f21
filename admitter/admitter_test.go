package admitter_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/admitter"
	"egretring.example/egretring/classifier"
	"egretring.example/egretring/describer"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func newAdmitter(opts ...admitter.Option) *admitter.Admitter {
	a := admitter.New(opts...)
	a.SetServices([]describer.Service{
		{ID: "tally", QueueLimit: 10, TeamLimits: map[describer.TeamID]int{"small": 2, "none": 0}},
		{ID: "label"},
	})
	return a
}

func newRequest(class describer.Class) describer.Request {
	return describer.Request{Service: "tally", Team: "big", Class: class, Deadline: start.Add(time.Second)}
}

// TestLimitsApplyToServiceTeamAndClass guards against a limit that is not applied, or applied to the wrong service,
// team or class.
func TestLimitsApplyToServiceTeamAndClass(t *testing.T) {
	for _, test := range []struct {
		name       string
		change     func(*describer.Request)
		inProgress int
		want       classifier.Kind
		retry      bool
	}{
		{"unknown service", func(r *describer.Request) { r.Service = "none" }, 0, classifier.UnknownService, false},
		{"no deadline", func(r *describer.Request) { r.Deadline = time.Time{} }, 0, classifier.BadDeadline, false},
		{"past deadline", func(r *describer.Request) { r.Deadline = start }, 0, classifier.BadDeadline, false},
		{"far deadline", func(r *describer.Request) { r.Deadline = start.AddDate(1, 0, 0) }, 0, classifier.BadDeadline, false},
		{"passed in a relay", func(r *describer.Request) { r.Deadline, r.Relayed = start, true }, 0, classifier.DeadlineExceeded, false},
		{"below team limit", func(r *describer.Request) { r.Team = "small" }, 1, 0, false},
		{"at team limit", func(r *describer.Request) { r.Team = "small" }, 2, classifier.LimitReached, true},
		{"team without right", func(r *describer.Request) { r.Team = "none" }, 0, classifier.LimitReached, true},
		{"team without limit", func(*describer.Request) {}, 4, 0, false},
		{"limit of another service", func(r *describer.Request) { r.Team, r.Service = "small", "label" }, 3, 0, false},
		{"class limit", func(r *describer.Request) { r.Class = describer.Deferrable }, 5, classifier.LimitReached, true},
	} {
		a := newAdmitter(admitter.WithClassLimit(describer.Deferrable, 5))
		request := newRequest(describer.Standard)
		test.change(&request)
		for range test.inProgress {
			a.BeginRequest(request)
		}
		verdict := a.CheckLimits(start, request, 200*time.Millisecond)
		require.Equal(t, test.want == 0, verdict.Admitted, test.name)
		require.Equal(t, test.want, verdict.Kind, test.name)
		require.Equal(t, test.retry, verdict.RetryAt.After(start.Add(199*time.Millisecond)), test.name)
		for range test.inProgress {
			a.EndRequest(request)
		}
		if test.inProgress > 0 {
			require.True(t, a.CheckLimits(start, request, 0).Admitted, test.name)
		}
	}
	require.Equal(t, classifier.NotReady, admitter.New().CheckLimits(start, newRequest(describer.Urgent), 0).Kind)
}

// TestRequestIsAdmittedByExpectedWait guards against a request that is queued although it cannot be answered before its
// deadline, or refused although it can.
func TestRequestIsAdmittedByExpectedWait(t *testing.T) {
	for _, test := range []struct {
		name  string
		load  admitter.Load
		opts  []admitter.Option
		want  classifier.Kind
		retry time.Duration
	}{
		{"empty queue", admitter.Load{Slots: 1, Run: time.Millisecond}, nil, 0, 0},
		{"wait in time", admitter.Load{Work: 8 * time.Second, Slots: 10, Run: 100 * time.Millisecond}, nil, 0, 0},
		{"wait too long", admitter.Load{Work: 30 * time.Second, Slots: 10, Run: 100 * time.Millisecond}, nil, classifier.Overloaded, 2 * time.Second},
		{"run too long", admitter.Load{Slots: 10, Run: 2 * time.Second}, nil, classifier.Overloaded, time.Second},
		{"no slots", admitter.Load{Work: time.Millisecond}, nil, classifier.Overloaded, 30 * time.Second},
		{"sample of the kind", admitter.Load{Slots: 10, Run: 2 * time.Second, OnlyOfKind: true}, nil, 0, 0},
		{"not adaptive", admitter.Load{Work: 30 * time.Second, Slots: 10}, []admitter.Option{admitter.WithoutAdaptation()}, 0, 0},
	} {
		verdict := newAdmitter(test.opts...).CheckQueue(start, newRequest(describer.Standard), test.load)
		require.Equal(t, test.want == 0, verdict.Admitted, test.name)
		require.Equal(t, test.want, verdict.Kind, test.name)
		if !verdict.Admitted {
			require.WithinRange(t, verdict.RetryAt, start.Add(test.retry), start.Add(test.retry*3/2), test.name)
		}
	}
}

// TestQueueIsBoundedByClass guards against a queue without bound, and against less urgent work that fills the queue so
// that urgent work is refused.
func TestQueueIsBoundedByClass(t *testing.T) {
	a := newAdmitter(admitter.WithQueueBound(20))
	fill := func(request describer.Request) int {
		count := 0
		for a.CheckQueue(start, request, admitter.Load{}).Admitted {
			a.Enqueue(request)
			count++
		}
		require.Equal(t, classifier.QueueFull, a.CheckQueue(start, request, admitter.Load{}).Kind)
		return count
	}
	deferrable := newRequest(describer.Deferrable)
	require.Equal(t, 10, fill(deferrable), "the limit of the service")
	deferrable.Service = "label"
	require.Equal(t, 2, fill(deferrable), "six tenths of the bound")
	require.Equal(t, 4, fill(newRequest(describer.Standard)), "eight tenths of the bound")
	require.Equal(t, 4, fill(newRequest(describer.Urgent)), "the whole bound")
	a.Dequeue(newRequest(describer.Urgent))
	require.Equal(t, 1, fill(newRequest(describer.Urgent)))
	long := newAdmitter()
	for range 8 {
		long.Enqueue(newRequest(describer.Standard))
	}
	require.False(t, long.CheckQueue(start, newRequest(describer.Standard), admitter.Load{Long: true}).Admitted)
	require.True(t, long.CheckQueue(start, newRequest(describer.Standard), admitter.Load{}).Admitted)
}

// TestExpectedWaitFollowsObservedWaits guards against an expected wait that stays wrong although actual waits are
// observed.
func TestExpectedWaitFollowsObservedWaits(t *testing.T) {
	a := newAdmitter()
	load := admitter.Load{Work: 4 * time.Second, Slots: 10}
	request := newRequest(describer.Standard)
	expected := func() time.Duration { return a.CheckQueue(start, request, load).Wait }
	for range 200 {
		a.ObserveWait(describer.Standard, expected(), 480*time.Millisecond)
	}
	require.InEpsilon(t, 480*time.Millisecond, expected(), 0.05)
	for range 200 {
		a.ObserveWait(describer.Standard, expected(), time.Hour)
	}
	require.Equal(t, 500*time.Millisecond, expected(), "the correction is bounded")
}

// TestQueueUnderPressureIsShared guards against one team that fills a queue whose expected wait is long, so that the
// requests of other teams are refused.
func TestQueueUnderPressureIsShared(t *testing.T) {
	a := newAdmitter()
	load := admitter.Load{Work: 8 * time.Second, Slots: 10}
	greedy := newRequest(describer.Standard)
	for range 5 {
		a.Enqueue(greedy)
	}
	require.True(t, a.CheckQueue(start, greedy, load).Admitted, "alone it may fill the queue")
	for i := range 3 {
		modest := greedy
		modest.Team = describer.TeamID(fmt.Sprint("modest", i))
		a.Enqueue(modest)
		require.True(t, a.CheckQueue(start, modest, load).Admitted)
	}
	require.Equal(t, classifier.Overloaded, a.CheckQueue(start, greedy, load).Kind)
	require.True(t, a.CheckQueue(start, greedy, admitter.Load{Work: time.Second, Slots: 10}).Admitted, "the queue is not under pressure")
}
