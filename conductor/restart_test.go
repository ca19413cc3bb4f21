package conductor_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/conductor"
	"egretring.example/egretring/specifier"
)

// TestAcknowledgementNotSentToRestartedServer guards against an acknowledgement that was meant for an earlier
// incarnation of a server: it numbers the ends of runs from the beginning again, so the new incarnation would discard
// an end that the owner has not received, and the task would run twice.
func TestAcknowledgementNotSentToRestartedServer(t *testing.T) {
	w := newSimulation(t, 4, 1)
	for n := range 5 {
		job := newJob(n, jobOptions{Tasks: 1, MilliCores: 1000, Seconds: 0.1})
		w.at(w.start.Add(time.Second), func() { w.submit(job) })
	}
	last := newJob(9, jobOptions{Tasks: 1, MilliCores: 1000, Seconds: 0.1})
	w.at(w.start.Add(3*time.Second), func() {
		w.submit(last)
		for _, s := range w.servers {
			s.crash(w, time.Millisecond)
			s.unlistedUntil = w.now.Add(4 * time.Second)
		}
	})
	w.runUntil(20 * time.Second)
	require.Empty(t, w.violations)
	require.Equal(t, specifier.Completed, w.state(last.ID))
}

// TestSlowRecoveryDoesNotResign guards against an owner that resigns immediately because its recovery took longer
// than the time for which it may fail to reach most servers: while the store is slow, every successor would resign as
// well.
func TestSlowRecoveryDoesNotResign(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	stateMachine := conductor.New(start, 1)
	server := specifier.Server{ID: "i-1", Service: "s", Address: "i-1", Incarnation: 1}
	recoveredAt := start.Add(3 * time.Second)
	stateMachine.Handle(recoveredAt, conductor.ServersListed{Servers: []specifier.Server{server}})
	resigns := func(now time.Time) bool {
		return slices.ContainsFunc(stateMachine.Plan(now), func(command conductor.Command) bool {
			_, ok := command.(conductor.Resign)
			return ok
		})
	}
	require.False(t, resigns(recoveredAt))
	require.False(t, resigns(recoveredAt.Add(time.Second)))
	require.True(t, resigns(recoveredAt.Add(2*time.Second)))
}

// TestRestartWithEarlierBirthIsSeen guards against a server that is never used again, and runs that never count as ended, after it
// has restarted with a wall clock that was set back.
func TestRestartWithEarlierBirthIsSeen(t *testing.T) {
	w := newSimulation(t, 1, 1)
	job := newJob(0, jobOptions{Tasks: 4, MilliCores: 8000, Seconds: 5})
	w.at(w.start.Add(seconds(5)), func() { w.submit(job) })
	w.at(w.start.Add(seconds(6)), func() { w.servers["i-00"].crash(w, seconds(0.3)) })
	w.at(w.start.Add(seconds(6.301)), func() { w.servers["i-00"].server.Incarnation = w.start.UnixMilli() - 1000 })
	w.runUntil(seconds(60))
	w.requireOneRun(job)
}
