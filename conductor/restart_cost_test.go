package conductor_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/specifier"
)

// secondStart returns when the second run of a job's only task started.
func (w *simulation) secondStart(job specifier.Job) float64 {
	runs := w.runsOf[specifier.TaskID{StepID: specifier.StepID{Job: job.ID}}]
	require.GreaterOrEqual(w.t, len(runs), 2, strings.Join(w.decisions, "\n"))
	return runs[1].begunAt.Sub(w.start).Seconds()
}

// TestRunOfFormerIncarnationEndsWithIt guards against a task that waits for the longest lease after its run was lost with a former incarnation
// of its server, which had reported the run.
func TestRunOfFormerIncarnationEndsWithIt(t *testing.T) {
	w := newBusyCell(t)
	job := newJob(1, jobOptions{Tasks: 1, MilliCores: 60000, Seconds: 40})
	w.at(w.start.Add(seconds(12)), func() { w.submit(job) })
	w.at(w.start.Add(seconds(18)), func() { w.servers["i-03"].crash(w, seconds(0.3)) })
	// The list shows the restart, and the new incarnation never responds.
	w.schedule(scriptEvent{At: 18.2995, Kind: "Silent", Server: "i-03", For: 25})
	w.runUntil(seconds(100))
	w.requireOneRun(job)
	t.Logf("second run at %.3f s", w.secondStart(job))
	require.Less(t, w.secondStart(job), 18.0+5.2)
}

// TestLongLeaseEndsWithOwnersAndTime guards against servers whose runs are counted with the longest lease long after the restart,
// because each owner finds the records of the one before.
func TestLongLeaseEndsWithOwnersAndTime(t *testing.T) {
	w := newBusyCell(t)
	job := newJob(1, jobOptions{Tasks: 1, MilliCores: 60000, Seconds: 200})
	w.at(w.start.Add(seconds(11)), func() { w.servers["i-03"].crash(w, seconds(0.3)) })
	w.at(w.start.Add(seconds(13)), func() { w.submit(job) })
	w.schedule(scriptEvent{At: 100, Kind: "CrashOwner"})
	w.schedule(scriptEvent{At: 104, Kind: "Silent", Server: "i-03", For: 25})
	w.runUntil(seconds(350))
	w.requireOneRun(job)
	for _, d := range w.decisions {
		if strings.Contains(d, "LeaseExtended") || strings.Contains(d, "LeaseEnded") {
			t.Log(d)
		}
	}
	t.Logf("second run at %.3f s", w.secondStart(job))
	require.Less(t, w.secondStart(job), 104.0+5.2)
}

// TestStartWithTicketIsNotAwaitedForLong guards against a task that waits for as long as calls may be late although its ticket has
// expired, after its start got no response and its server has restarted and never responds.
func TestStartWithTicketIsNotAwaitedForLong(t *testing.T) {
	w := newBusyCell(t)
	job := newJob(1, jobOptions{Tasks: 1, MilliCores: 60000, Seconds: 20, Advice: true})
	w.at(w.start.Add(seconds(12)), func() { w.submit(job) })
	w.interceptStart = func(s *fakeServer, o specifier.StartOrder, _ func()) bool {
		if o.Task.Job != job.ID || w.intercepted {
			return false
		}
		w.intercepted = true
		s.crash(w, seconds(0.3))
		s.silentUntil = w.now.Add(seconds(40))
		return true
	}
	w.runUntil(seconds(80))
	w.requireOneRun(job)
	t.Logf("run at %.3f s", w.startAfterLoss(job))
	require.Less(t, w.startAfterLoss(job), 12.7+13.9)
}

// startAfterLoss returns when the only run of a job began whose first start was lost.
func (w *simulation) startAfterLoss(job specifier.Job) float64 {
	runs := w.runsOf[specifier.TaskID{StepID: specifier.StepID{Job: job.ID}}]
	require.Len(w.t, runs, 1, strings.Join(w.decisions, "\n"))
	return runs[0].begunAt.Sub(w.start).Seconds()
}
