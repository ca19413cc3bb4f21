package conductor_test

import (
	"fmt"
	"testing"
)

// TestVeryLateStartInNextIncarnationHasOneRun guards against a second run of a task whose start was carried out by the next incarnation of its
// server after the owner had seen the restart, while the server is cut off.
func TestVeryLateStartInNextIncarnationHasOneRun(t *testing.T) {
	for _, late := range []float64{6} {
		t.Run(fmt.Sprintf("%g s late", late), func(t *testing.T) {
			w := newBusyCell(t)
			job := newJob(1, jobOptions{Tasks: 1, MilliCores: 60000, Seconds: 20})
			w.at(w.start.Add(seconds(12)), func() { w.submit(job) })
			w.holdStart(job, late)
			// The list shows the restart at 12.6 s, and the server is cut off before it responds.
			w.at(w.start.Add(seconds(12.006)), func() { w.servers["i-03"].crash(w, seconds(0.3)) })
			w.schedule(scriptEvent{At: 12.31, Kind: "Silent", Server: "i-03", For: 25})
			w.runUntil(seconds(80))
			w.requireOneRun(job)
		})
	}
}

// TestKilledOwnersStartBehindCutHasOneRun guards against a second run of a task whose start was carried out by the next incarnation of its
// server, when the server is cut off before the list or a response shows the restart.
func TestKilledOwnersStartBehindCutHasOneRun(t *testing.T) {
	for _, owner := range []string{"CrashOwner"} {
		t.Run("owner "+owner, func(t *testing.T) {
			w := newBusyCell(t)
			w.staleList = true
			job := newJob(1, jobOptions{Tasks: 1, MilliCores: 60000, Seconds: 20})
			w.at(w.start.Add(seconds(12)), func() { w.submit(job) })
			w.holdStart(job, 0.01)
			w.at(w.start.Add(seconds(12.006)), func() { w.servers["i-03"].crash(w, seconds(0.3)) })
			w.schedule(scriptEvent{At: 12.306, Kind: "Silent", Server: "i-03", For: 25})
			if owner != "" {
				w.schedule(scriptEvent{At: 12.4, Kind: owner})
			}
			w.runUntil(seconds(80))
			w.requireOneRun(job)
		})
	}
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
