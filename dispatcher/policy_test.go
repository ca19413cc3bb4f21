package dispatcher_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/classifier"
	"egretring.example/egretring/describer"
	"egretring.example/egretring/dispatcher"
)

// driver sends events to a dispatcher at a virtual time.
type driver struct {
	t      *testing.T
	d      *dispatcher.Dispatcher
	now    time.Time
	lastID int
}

func newDriver(t *testing.T, slots int) *driver {
	return &driver{t: t, d: newDispatcher(slots), now: epoch}
}

// arrive sends the arrival of a request and returns its ID and the resulting commands.
func (v *driver) arrive(kind describer.KindID, class describer.Class, timeout time.Duration) (describer.RequestID, []dispatcher.Command) {
	v.lastID++
	event := arrival(v.lastID)
	event.Request.Kind, event.Request.Class, event.Request.Deadline = kind, class, v.now.Add(timeout)
	return event.Request.ID, v.d.Handle(v.now, event)
}

// starts sends the arrival of a request and reports whether it was started immediately.
func (v *driver) starts(kind describer.KindID, class describer.Class) bool {
	_, commands := v.arrive(kind, class, time.Hour)
	if len(commands) == 0 {
		return false
	}
	_, ok := commands[0].(dispatcher.StartAttempt)
	return ok
}

func (v *driver) end(id describer.RequestID) []dispatcher.Command {
	return v.d.Handle(v.now, dispatcher.AttemptEnded{ID: id, Attempt: 1, Evidence: describer.Answered})
}

// learn runs 40 requests of a kind one after another, so that its run times are learned.
func (v *driver) learn(kind describer.KindID, class describer.Class, runs ...time.Duration) {
	for i := range 40 {
		id, commands := v.arrive(kind, class, time.Hour)
		require.Len(v.t, commands, 1)
		v.now = v.now.Add(runs[i%len(runs)])
		v.end(id)
	}
}

func (v *driver) configure(kinds ...describer.KindID) {
	configured := make(map[describer.KindID]describer.Kind)
	for _, kind := range kinds {
		configured[kind] = describer.Kind{ExpectedMilliseconds: 100}
	}
	v.d.Handle(v.now, dispatcher.ServicesChanged{Services: []describer.Service{{ID: "tally", Kinds: configured}}})
}

// TestStragglersLeaveLastSlots guards against stragglers that, together with long work or kinds that often have
// stragglers, fill all slots.
func TestStragglersLeaveLastSlots(t *testing.T) {
	const short, long = 10 * time.Millisecond, time.Second
	v := newDriver(t, 20)
	v.configure("short", "shaky", "long")
	v.learn("long", describer.Standard, long)
	v.learn("shaky", describer.Standard, short, short, short, short, short, short, short, short, short, long)
	v.learn("short", describer.Standard, short)
	for range 15 {
		require.True(t, v.starts("short", describer.Standard))
	}
	v.now = v.now.Add(long)
	v.d.Handle(v.now, dispatcher.Ticked{})
	require.False(t, v.starts("long", describer.Standard), "the overdue attempts count as long")
	require.True(t, v.starts("shaky", describer.Standard))
	require.True(t, v.starts("short", describer.Standard))
	require.True(t, v.starts("short", describer.Standard))
	require.False(t, v.starts("shaky", describer.Standard), "the last slots are for kinds without stragglers")
	require.True(t, v.starts("short", describer.Standard))
}

// TestUrgentReserveIsKeptAndReleased guards against slots that other classes take as soon as Urgent requests have
// released them, and against a reserve that keeps slots idle although no Urgent request arrives and no event occurs.
func TestUrgentReserveIsKeptAndReleased(t *testing.T) {
	v := newDriver(t, 20)
	v.configure("count", "layout")
	v.learn("count", describer.Urgent, 10*time.Millisecond)
	v.learn("layout", describer.Deferrable, 10*time.Millisecond)
	for range 6 {
		require.True(t, v.starts("count", describer.Urgent))
	}
	v.now = v.now.Add(time.Second)
	for id := v.lastID - 5; id <= v.lastID; id++ {
		v.end(describer.RequestID(id))
	}
	for range 20 {
		v.starts("layout", describer.Deferrable)
	}
	require.GreaterOrEqual(t, v.d.Load().FreeSlots, 4)
	require.True(t, v.starts("count", describer.Urgent))
	until := v.now.Add(10 * time.Second)
	for v.now.Before(until) {
		v.now, _ = v.d.NextDeadline()
		v.d.Handle(v.now, dispatcher.Ticked{})
	}
	require.LessOrEqual(t, v.d.Load().FreeSlots, 1)
}

// TestWrongEstimateIsCorrected guards against a kind whose requests are all refused because of a wrong estimate.
func TestWrongEstimateIsCorrected(t *testing.T) {
	v := newDriver(t, 4)
	id, commands := v.arrive("count", describer.Standard, 50*time.Millisecond)
	require.IsType(t, dispatcher.StartAttempt{}, commands[0], "the assumed run time of 100 ms is too long, but only a run can correct it")
	_, commands = v.arrive("count", describer.Standard, 50*time.Millisecond)
	require.Equal(t, classifier.Overloaded, commands[0].(dispatcher.FailRequest).Kind)
	v.now = v.now.Add(10 * time.Millisecond)
	v.end(id)
	v.learn("count", describer.Standard, 10*time.Millisecond)
	for range 4 {
		_, commands = v.arrive("count", describer.Standard, 50*time.Millisecond)
		require.IsType(t, dispatcher.StartAttempt{}, commands[0])
	}
}

// TestRequestThatCannotMeetDeadlineIsNotStarted guards against a slot that is used for a request that cannot end
// before its deadline.
func TestRequestThatCannotMeetDeadlineIsNotStarted(t *testing.T) {
	v := newDriver(t, 1)
	v.learn("count", describer.Standard, 100*time.Millisecond)
	running, _ := v.arrive("count", describer.Standard, time.Hour)
	late, _ := v.arrive("count", describer.Standard, time.Second)
	next, _ := v.arrive("count", describer.Standard, time.Hour)
	v.now = v.now.Add(950 * time.Millisecond)
	commands := v.end(running)
	require.Equal(t, late, commands[0].(dispatcher.FailRequest).ID)
	require.Equal(t, classifier.Overloaded, commands[0].(dispatcher.FailRequest).Kind)
	require.Equal(t, next, commands[1].(dispatcher.StartAttempt).ID)
}

// TestTickReadmitsEjectedServer guards against an ejected server that stays unused while requests wait, because no
// event other than a tick occurs.
func TestTickReadmitsEjectedServer(t *testing.T) {
	d, started := newSaturatedDispatcher(t, 3, 10)
	failed := 0
	for _, start := range started {
		if start.BackendServer == serverID(0) && failed < 5 {
			failed++
			d.Handle(epoch, dispatcher.AttemptEnded{ID: start.ID, Attempt: 1, Evidence: describer.Refused})
		}
	}
	require.Equal(t, 1, d.Load().Ejected)
	for range 1000 {
		now, _ := d.NextDeadline()
		require.True(t, now.Before(epoch.Add(2*time.Second)))
		if len(d.Handle(now, dispatcher.Ticked{})) > 0 {
			return
		}
	}
	require.Fail(t, "no request is started on the ejected server")
}
