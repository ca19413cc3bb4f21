package conductor_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/specifier"
	"egretring.example/egretring/tester"
)

const (
	// maxCrashes is the number of crashes under a task after which it must not start maxStartsAfterCrashes times more.
	maxCrashes            = 3
	maxStartsAfterCrashes = 3
	// crashTime is how long a server is down after a crash.
	crashTime = 3300 * time.Millisecond
)

// crashDelays are the specs of jobs whose first task crashes its server, with the time after the start.
var crashDelays = map[string]time.Duration{"crashes": 10 * time.Millisecond, "crashes late": 1500 * time.Millisecond}

// scheduleCrash crashes the server of a run that is still there after a delay.
func (w *simulation) scheduleCrash(r *fakeRun, delay time.Duration) {
	incarnation := r.server.server.Incarnation
	w.after(delay, func() {
		if !r.ended && r.server.server.Incarnation == incarnation && r.server.downUntil.IsZero() {
			w.crashes[r.task]++
			r.server.crash(w, crashTime)
		}
	})
}

// cutDelays are the specs of jobs whose first task has its server cut off, with the time after the start.
var cutDelays = map[string]time.Duration{"cut off": 300 * time.Millisecond, "cut off late": 2 * time.Second}

// cutTime is how long a server is cut off: its lease lapses and its entry in the list expires meanwhile.
const cutTime = 5500 * time.Millisecond

// scheduleCut cuts the server of a run off after a delay. The server works on.
func (w *simulation) scheduleCut(r *fakeRun, delay time.Duration) {
	w.after(delay, func() {
		r.server.silentUntil = w.now.Add(cutTime)
		if !w.listsCutServers {
			w.after(cutTime-2400*time.Millisecond, func() { r.server.unlistedUntil = r.server.silentUntil })
		}
	})
}

// TestUnreachableServersAreNoCrashes guards against jobs that are given up, or tasks that wait, because their servers were cut
// off several times soon after a start: nothing has crashed.
func TestUnreachableServersAreNoCrashes(t *testing.T) {
	for _, s := range tester.ReadCases[struct {
		script
		LongRunning bool
		// CutFor is for how many seconds the servers are cut off.
		CutFor float64
		// MinCuts is the least number of runs that are lost by then.
		MinCuts int
		// Listed keeps the servers in the list while they are cut off.
		Listed bool
	}](t, "cuts.hujson") {
		t.Run(s.Name, func(t *testing.T) {
			w := newSimulation(t, 1, s.Servers)
			w.cutUntil, w.listsCutServers = w.start.Add(seconds(s.CutFor)), s.Listed
			for i, submission := range s.Jobs {
				job := newJob(i, submission.Job)
				job.Steps[0].LongRunning = s.LongRunning
				w.at(w.start.Add(seconds(submission.At)), func() { w.submit(job) })
			}
			for _, event := range s.Events {
				w.schedule(event)
			}
			w.runUntil(seconds(s.Until))
			t.Cleanup(func() {
				if t.Failed() {
					t.Log(strings.Join(w.decisions, "\n"))
				}
			})
			require.Empty(t, w.violations, s.Guards)
			require.Greater(t, w.starts, s.MinCuts, "the case has to lose runs")
			for i, want := range s.Want {
				require.Equal(t, want, stateNames[w.state(w.submitted[i].ID)], "job %d: %s", i, s.Guards)
			}
			if s.LongRunning {
				running := 0
				for _, server := range w.servers {
					running += len(server.runs)
				}
				require.Equal(t, s.Jobs[0].Job.Tasks, running, s.Guards)
			}
		})
	}
}

// TestCrashingTaskIsGivenUp guards against the failure that the Guards field of each case names: a task that crashes server
// after server, or jobs that are given up although they crash none.
func TestCrashingTaskIsGivenUp(t *testing.T) {
	for _, s := range tester.ReadCases[struct {
		script
		// MaxCrashes bounds the crashes that each task causes.
		MaxCrashes int
		// MinRunning is the number of runs that there must be at the end.
		MinRunning int
		// LongRunning makes the first job last until it is cancelled.
		LongRunning bool
		// Renames makes servers come back under a new ID after a crash.
		Renames bool
		// EntryLife is for how many seconds a server stays listed after a crash.
		EntryLife float64
	}](t, "crashes.hujson") {
		t.Run(s.Name, func(t *testing.T) {
			w := newSimulation(t, 1, s.Servers)
			w.renamesServers, w.entryLife = s.Renames, seconds(s.EntryLife)
			for i, submission := range s.Jobs {
				job := newJob(i, submission.Job)
				job.Steps[0].LongRunning = i == 0 && s.LongRunning
				w.at(w.start.Add(seconds(submission.At)), func() { w.submit(job) })
			}
			for _, event := range s.Events {
				w.schedule(event)
			}
			w.runUntil(seconds(s.Until))
			require.Empty(t, w.violations, s.Guards)
			for i, want := range s.Want {
				require.Equal(t, want, stateNames[w.state(w.submitted[i].ID)], "job %d: %s", i, s.Guards)
			}
			running := 0
			for _, server := range w.servers {
				running += len(server.runs)
			}
			require.GreaterOrEqual(t, running, s.MinRunning, s.Guards)
			for task, crashes := range w.crashes {
				require.LessOrEqual(t, crashes, s.MaxCrashes, "%s: %s", task, s.Guards)
			}
		})
	}
}

// TestCrashingTasksSpareTheirNeighbours guards against jobs that are given up, or do not complete, because others crash the
// servers that they share. The seed of each case is its number.
func TestCrashingTasksSpareTheirNeighbours(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			w := newSimulation(t, seed, 12)
			crashing := make(map[specifier.JobID]bool)
			for i := range 300 {
				job := newJob(i, jobOptions{
					Tasks: 1 + w.random.IntN(4), MilliCores: int64(1000 + w.random.IntN(8000)), Seconds: 0.3 + 3*w.random.Float64(),
					Priority: w.random.IntN(3), Attempts: 3, Gang: w.random.IntN(10) == 0,
				})
				if w.random.IntN(25) == 0 {
					job.Spec = "crashes"
					crashing[job.ID] = true
				}
				w.at(w.start.Add(seconds(1+20*w.random.Float64())), func() { w.submit(job) })
			}
			if seed%2 == 1 {
				for range 3 {
					w.schedule(scriptEvent{At: 2 + 20*w.random.Float64(), Kind: "LoseOwner"})
				}
			}
			w.runUntil(seconds(90))
			t.Cleanup(func() {
				if t.Failed() {
					t.Log(strings.Join(w.decisions, "\n"))
				}
			})
			require.Empty(t, w.violations)
			for _, job := range w.submitted {
				want := specifier.Completed
				if crashing[job.ID] {
					want = specifier.Failed
				}
				require.Equal(t, stateNames[want], stateNames[w.state(job.ID)], "job %s", job.ID)
			}
		})
	}
}
