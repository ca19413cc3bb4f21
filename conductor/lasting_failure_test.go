package conductor_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/specifier"
	"egretring.example/egretring/tester"
)

// lastingFailures is how many runs of each task fail of a job with the spec "fails five times" whose tasks last.
const lastingFailures = 5

// restartBound is how long after its last run a task that lasts may have none, as the users' pages state: six seconds, and three more
// that count.
const restartBound = 9 * time.Second

// scheduleLastingFailure makes the first runs of a task that lasts fail, some seconds after their starts.
func (w *simulation) scheduleLastingFailure(r *fakeRun) {
	if r.job.Spec != "fails five times" || len(w.runsOf[r.task]) > lastingFailures {
		return
	}
	delay := time.Duration(3+len(w.runsOf[r.task])%2)*time.Second + time.Duration(r.task.Index)*600*time.Millisecond
	w.after(delay, func() { r.server.end(w, r, specifier.RunFailed) })
}

// longestGap returns the longest time from the end of a run of a task to the start of its next one, or to now if there is none.
func (w *simulation) longestGap(task specifier.TaskID) time.Duration {
	var longest time.Duration
	runs := w.runsOf[task]
	for i, r := range runs {
		until := w.now
		if i+1 < len(runs) {
			until = runs[i+1].begunAt
		}
		if r.ended {
			longest = max(longest, until.Sub(r.endedAt))
		}
	}
	return longest
}

// TestFailuresOfLastingTasksKeepServersInUse guards against tasks that last, or jobs that come later, without a run, because failures
// of such tasks eject sound servers that have others of them.
func TestFailuresOfLastingTasksKeepServersInUse(t *testing.T) {
	for _, c := range tester.ReadCases[struct {
		Name    string
		Servers int
		// Jobs is the number of jobs with tasks that last, and Tasks the number of their tasks.
		Jobs, Tasks int
	}](t, "lasting_failures.hujson") {
		t.Run(c.Name, func(t *testing.T) {
			w := newSimulation(t, 1, c.Servers)
			for n := range c.Jobs {
				job := newJob(n, jobOptions{Tasks: c.Tasks, MilliCores: 5000, MemoryMB: 4000, Seconds: 60, Spec: "fails five times"})
				job.Steps[0].LongRunning = true
				w.at(w.start.Add(time.Second), func() { w.submit(job) })
			}
			later := newJob(9, jobOptions{Tasks: 4, MilliCores: 5000, MemoryMB: 4000, Seconds: 2})
			w.at(w.start.Add(40*time.Second), func() { w.submit(later) })
			w.runUntil(46 * time.Second)
			t.Cleanup(func() {
				if t.Failed() {
					t.Log(strings.Join(w.decisions, "\n"))
				}
			})
			require.Empty(t, w.violations)
			require.Equal(t, specifier.Completed, w.state(later.ID), "the later job")
			for task := range w.runsOf {
				if task.Job != later.ID {
					require.LessOrEqual(t, w.longestGap(task), restartBound, "%s", task)
				}
			}
		})
	}
}

// TestLastingTaskRestartsOnHeldServer guards against a task that lasts and has failed, and has no run while all servers are held for a
// gang that waits for others to end.
func TestLastingTaskRestartsOnHeldServer(t *testing.T) {
	const servers, failsAt = 4, 28 * time.Second
	w := newSimulation(t, 1, servers)
	lasting := newJob(0, jobOptions{Tasks: servers, MilliCores: 8000, Seconds: 60})
	lasting.Steps[0].LongRunning, lasting.Steps[0].MaxPerServer = true, 1
	batch := newJob(1, jobOptions{Tasks: 2 * servers, MilliCores: 20000, Seconds: 60})
	batch.Steps[0].MaxPerServer = 2
	gang := newJob(2, jobOptions{Tasks: servers, MilliCores: 50000, Seconds: 20, Gang: true})
	for i, job := range []specifier.Job{lasting, batch, gang} {
		w.at(w.start.Add(time.Duration(1+i)*time.Second), func() { w.submit(job) })
	}
	task := specifier.StepID{Job: lasting.ID}.Task(0)
	w.at(w.start.Add(failsAt), func() { w.runsOf[task][0].server.end(w, w.runsOf[task][0], specifier.RunFailed) })
	w.runUntil(failsAt + restartBound)
	require.Empty(t, w.violations)
	require.LessOrEqual(t, w.longestGap(task), restartBound)
	require.Len(t, w.runsOf[task], 2)
	w.runUntil(110 * time.Second)
	require.Empty(t, w.violations)
	require.Equal(t, specifier.Completed, w.state(gang.ID), "the gang still gets its servers")
}
