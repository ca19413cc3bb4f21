package assessor_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/assessor"
)

var start = time.Unix(1_700_000_000, 0)

// TestFailingServerIsEjected guards against a server that fails all runs and still gets new ones, against a server that
// is ejected because a single job fails, and against an ejected server that never gets another run.
func TestFailingServerIsEjected(t *testing.T) {
	var h assessor.Health
	require.False(t, h.RecordFailure(start, "a"))
	require.False(t, h.RecordFailure(start, "a"), "a single job may fail because of a fault of its own")
	require.True(t, h.AllowsRun(start, 5))
	require.True(t, h.RecordFailure(start, "b"))
	require.False(t, h.AllowsRun(start, 0))
	trial := start.Add(2 * time.Second)
	require.True(t, h.AllowsRun(trial, 0))
	require.False(t, h.AllowsRun(trial, 1), "a trial is one run at a time")
	require.False(t, h.RecordFailure(trial, "c"))
	require.False(t, h.AllowsRun(trial.Add(3*time.Second), 0), "the ejection time grows with each failed trial")
	require.True(t, h.AllowsRun(trial.Add(4*time.Second), 0))
	h.RecordSuccess()
	require.True(t, h.AllowsRun(trial, 5))
}

// TestPausedServerGetsRunsAgain guards against a server that gets no runs beside those that it has, because no connection to it
// could be opened once, and against one that gets a run in each moment in which none can.
func TestPausedServerGetsRunsAgain(t *testing.T) {
	var h assessor.Health
	h.Pause(start)
	h.Pause(start.Add(time.Second))
	require.False(t, h.AllowsRun(start.Add(time.Second), 0))
	again := start.Add(2 * time.Second)
	require.True(t, h.AllowsRun(again, 5))
	h.Pause(again)
	require.False(t, h.AllowsRun(again.Add(3*time.Second), 0), "the pause grows while no connection can be opened")
	require.True(t, h.AllowsRun(again.Add(4*time.Second), 5))
	h.RecordConnection()
	h.Pause(again.Add(4 * time.Second))
	require.True(t, h.AllowsRun(again.Add(6*time.Second), 5))
}
