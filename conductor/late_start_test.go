package conductor_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/specifier"
)

// lateStart is a case in which the next incarnation of a server carries out a start that got no response.
type lateStart struct {
	// late is how many seconds after the restart that happens, and cutAt when the server is cut off. It restarts at 12.306 s.
	late, cutAt float64
	// staleList is that of the simulation.
	staleList bool
	// owner is the event that ends the owner, if any, and ownerAt its time.
	owner   string
	ownerAt float64
}

// requireOneRun plays the case, and checks that the task has one run at a time.
func (c lateStart) requireOneRun(t *testing.T) {
	t.Helper()
	w := newBusyCell(t)
	w.staleList = c.staleList
	job := newJob(1, jobOptions{Tasks: 1, MilliCores: 60000, Seconds: 20})
	w.at(w.start.Add(seconds(12)), func() { w.submit(job) })
	w.holdStart(job, c.late)
	w.at(w.start.Add(seconds(12.006)), func() { w.servers["i-03"].crash(w, seconds(0.3)) })
	if c.owner != "" {
		w.schedule(scriptEvent{At: c.ownerAt, Kind: c.owner})
	}
	w.schedule(scriptEvent{At: c.cutAt, Kind: "Silent", Server: "i-03", For: 25})
	w.runUntil(seconds(80))
	w.requireOneRun(job)
}

// holdStart makes the first start order of a job get no response, and be carried out at a time after the next restart of its server.
func (w *simulation) holdStart(job specifier.Job, late float64) {
	w.interceptStart = func(s *fakeServer, o specifier.StartOrder, apply func()) bool {
		if o.Task.Job != job.ID || w.intercepted {
			return false
		}
		w.intercepted = true
		var poll func()
		poll = func() {
			if !s.downUntil.IsZero() || s.server.Incarnation == w.start.UnixMilli() {
				w.after(time.Millisecond, poll)
				return
			}
			w.after(seconds(late), apply)
		}
		poll()
		return true
	}
}

// TestLateStartInNextIncarnationHasOneRun guards against a second run of a task whose start was carried out by the next incarnation
// of its server after the owner had seen the restart in the list, while the server is cut off.
func TestLateStartInNextIncarnationHasOneRun(t *testing.T) {
	for _, late := range []float64{0.2, 1, 3} {
		t.Run(fmt.Sprintf("%g s late", late), lateStart{late: late, cutAt: 12.31}.requireOneRun)
	}
}

// TestVeryLateStartInNextIncarnationHasOneRun guards against the same for a start that is later than lateStartTime.
func TestVeryLateStartInNextIncarnationHasOneRun(t *testing.T) {
	lateStart{late: 6, cutAt: 12.31}.requireOneRun(t)
}

// TestRestartBehindCutHasOneRun guards against a second run of a task whose start was carried out by the next incarnation of its
// server, when the server is cut off before the list or a response shows the restart.
func TestRestartBehindCutHasOneRun(t *testing.T) {
	for _, owner := range []string{"", "LoseOwner"} {
		t.Run("owner "+owner, lateStart{late: 0.01, cutAt: 12.306, staleList: true, owner: owner, ownerAt: 12.4}.requireOneRun)
	}
}

// TestKilledOwnersStartBehindCutHasOneRun guards against the same after the owner was killed, so that a successor has only the record.
func TestKilledOwnersStartBehindCutHasOneRun(t *testing.T) {
	lateStart{late: 0.01, cutAt: 12.306, staleList: true, owner: "CrashOwner", ownerAt: 12.4}.requireOneRun(t)
}

// TestDoubtfulStartInRecordHasOneRun guards against the same when the owner is killed after it has found that the start got no response.
func TestDoubtfulStartInRecordHasOneRun(t *testing.T) {
	lateStart{late: 0.01, cutAt: 12.306, staleList: true, owner: "CrashOwner", ownerAt: 13}.requireOneRun(t)
}

// TestOutlivedStartInRecordHasOneRun guards against a second run of a task whose start was carried out by the next incarnation of
// its server, when a successor finds the former incarnation in the record and the server is not listed.
func TestOutlivedStartInRecordHasOneRun(t *testing.T) {
	for _, owner := range []string{"CrashOwner", "LoseOwner"} {
		t.Run(owner, lateStart{late: 0.01, cutAt: 13.4, staleList: true, owner: owner, ownerAt: 13.4}.requireOneRun)
	}
}

// TestLateStartAfterResponseHasOneRun guards against a second run of a task whose start got no response and was not carried out by the
// incarnation of the server that responded next, but by the one after that.
func TestLateStartAfterResponseHasOneRun(t *testing.T) {
	for _, c := range []struct{ gang, killed bool }{{}, {gang: true}, {killed: true}} {
		t.Run(fmt.Sprintf("%+v", c), func(t *testing.T) {
			w := newSimulation(t, 1, 4)
			job := newJob(1, jobOptions{Tasks: 1, MilliCores: 60000, Seconds: 20, Gang: c.gang})
			w.at(w.start.Add(seconds(12)), func() { w.submit(job) })
			var first *fakeServer
			w.interceptStart = func(s *fakeServer, o specifier.StartOrder, apply func()) bool {
				if w.intercepted {
					return false
				}
				w.intercepted, first = true, s
				w.at(w.start.Add(seconds(16)), func() { s.crash(w, seconds(0.3)) })
				w.at(w.start.Add(seconds(16.301)), apply)
				return true
			}
			if c.killed {
				// The successor places the other job first, so that it would prefer the server of that job.
				w.schedule(scriptEvent{At: 12.3, Kind: "CrashOwner"})
				w.schedule(scriptEvent{At: 13.5, Kind: "Silent", Server: "i-00", For: 0.6})
				w.at(w.start.Add(seconds(13.9)), func() { w.submit(newJob(2, jobOptions{Tasks: 1, MilliCores: 1000, Seconds: 20})) })
			}
			w.runUntil(seconds(80))
			w.requireOneRun(job)
			runs := w.runsOf[specifier.TaskID{StepID: specifier.StepID{Job: job.ID}}]
			require.Same(t, first, runs[0].server)
			if !c.killed {
				require.Less(t, runs[0].begunAt.Sub(w.start), seconds(12.8), "the start is not to be held up")
			}
		})
	}
}

// TestUnansweredStartWithTicketIsNotResent guards against a task with advice, which may be urgent, that waits for another answer of a
// server whose start got no response.
func TestUnansweredStartWithTicketIsNotResent(t *testing.T) {
	w := newSimulation(t, 1, 4)
	job := newJob(1, jobOptions{Tasks: 1, MilliCores: 60000, Seconds: 20, Advice: true})
	w.at(w.start.Add(seconds(12)), func() { w.submit(job) })
	w.interceptStart = func(*fakeServer, specifier.StartOrder, func()) bool {
		first := !w.intercepted
		w.intercepted = true
		return first
	}
	w.runUntil(seconds(80))
	w.requireOneRun(job)
	for _, d := range w.decisions {
		require.NotContains(t, d, "StartResent")
	}
	require.Less(t, w.startAfterLoss(job), 12.8)
}
