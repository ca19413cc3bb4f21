package assessor_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/assessor"
)

var (
	start = time.Unix(1_700_000_000, 0)
	none  assessor.Trials
)

// TestFailingServerIsEjected guards against a server that fails all runs and still gets new ones, against a server that
// is ejected because a single job fails, and against an ejected server that never gets another run.
func TestFailingServerIsEjected(t *testing.T) {
	var h assessor.Health
	require.False(t, h.RecordFailure(start, "a"))
	require.False(t, h.RecordFailure(start, "a"), "a single job may fail because of a fault of its own")
	require.True(t, h.AllowsRun(start, none))
	require.True(t, h.RecordFailure(start, "b"))
	require.False(t, h.AllowsRun(start, none))
	trial := start.Add(2 * time.Second)
	require.True(t, h.AllowsRun(trial, none))
	require.False(t, h.AllowsRun(trial, assessor.Trials{Open: 1}), "a trial is one run at a time")
	require.True(t, h.AllowsRun(trial, assessor.Trials{Lasted: 1}), "a trial may take long")
	require.False(t, h.AllowsRun(trial, assessor.Trials{Lasted: 1, Open: 2}), "a failing server gets few trials")
	require.False(t, h.RecordFailure(trial, "c"))
	require.False(t, h.AllowsRun(trial.Add(3*time.Second), none), "the ejection time grows with each failed trial")
	require.Equal(t, trial.Add(4*time.Second), h.TrialsBegin())
	require.True(t, h.AllowsRun(trial.Add(4*time.Second), none))
	h.RecordSuccess()
	require.True(t, h.AllowsRun(trial, assessor.Trials{Open: 5}))
}

// TestPausedServerGetsRunsAgain guards against a server that gets no runs beside those that it has, because no connection to it
// could be opened once, and against one that gets a run in each moment in which none can.
func TestPausedServerGetsRunsAgain(t *testing.T) {
	var h assessor.Health
	h.Pause(start)
	h.Pause(start.Add(time.Second))
	require.False(t, h.AllowsRun(start.Add(time.Second), none))
	again := start.Add(2 * time.Second)
	require.True(t, h.AllowsRun(again, assessor.Trials{Open: 5}))
	h.Pause(again)
	require.False(t, h.AllowsRun(again.Add(3*time.Second), none), "the pause grows while no connection can be opened")
	require.True(t, h.AllowsRun(again.Add(4*time.Second), assessor.Trials{Open: 5}))
	h.RecordConnection()
	h.Pause(again.Add(4 * time.Second))
	require.True(t, h.AllowsRun(again.Add(6*time.Second), assessor.Trials{Open: 5}))
}
