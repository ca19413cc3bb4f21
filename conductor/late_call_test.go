package conductor_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/conductor"
	"egretring.example/egretring/specifier"
)

// TestRunPlacedBeforeRestartHasOneRun guards against a second run of a task that was placed before a restart of its server and
// started after it, because the store was slow: the record names the former incarnation.
func TestRunPlacedBeforeRestartHasOneRun(t *testing.T) {
	w := newBusyCell(t)
	w.staleList = true
	job := newJob(1, jobOptions{Tasks: 1, MilliCores: 60000, Seconds: 30})
	w.interceptRenewal = func(s *fakeServer, c conductor.Renew) bool {
		if w.intercepted || s.server.ID != "i-03" || w.now.Before(w.start.Add(seconds(12))) || c.LeaseEnd == 0 {
			return false
		}
		w.intercepted = true
		w.submit(job)
		w.storeDownUntil = w.now.Add(seconds(1.2))
		w.after(time.Millisecond, func() { s.crash(w, seconds(0.2)) })
		w.after(seconds(0.25), func() { s.hold(w, c) })
		w.after(seconds(1.4), func() { s.silentUntil = w.now.Add(seconds(25)) })
		w.after(seconds(1.6), w.crashOwner)
		return true
	}
	w.runUntil(seconds(120))
	w.requireOneRun(job)
	require.Len(t, w.runsOf[specifier.TaskID{StepID: specifier.StepID{Job: job.ID}}], 2, "the case has to lose a run")
}

// TestStartAnsweredByNextIncarnationHasOneRun guards against a second run of a task whose start the next incarnation of its server has
// answered, when the server is cut off before anything else shows the restart.
func TestStartAnsweredByNextIncarnationHasOneRun(t *testing.T) {
	w := newBusyCell(t)
	w.staleList = true
	job := newJob(1, jobOptions{Tasks: 1, MilliCores: 60000, Seconds: 20})
	w.at(w.start.Add(seconds(12)), func() { w.submit(job) })
	w.at(w.start.Add(seconds(12.001)), func() { w.servers["i-03"].crash(w, seconds(0.002)) })
	w.schedule(scriptEvent{At: 12.1, Kind: "Silent", Server: "i-03", For: 25})
	w.runUntil(seconds(80))
	w.requireOneRun(job)
	require.Len(t, w.runsOf[specifier.TaskID{StepID: specifier.StepID{Job: job.ID}}], 2, "the case has to lose a run")
}

// TestRelistedServerRefusesEarlierRenewals guards against a second run of a task whose server was unlisted after a restart: a renewal
// from before has the same fencing token as the new session's calls, and extends the lease.
func TestRelistedServerRefusesEarlierRenewals(t *testing.T) {
	w := newSimulation(t, 1, 2)
	w.staleList = true
	job := newJob(1, jobOptions{Tasks: 1, MilliCores: 60000, Seconds: 40})
	crashAt := w.start.Add(seconds(30))
	w.interceptRenewal = func(s *fakeServer, c conductor.Renew) bool {
		if w.intercepted || s.server.ID != "i-00" || w.now.Before(crashAt) || c.LeaseEnd == 0 {
			return false
		}
		w.intercepted = true
		s.crash(w, seconds(0.3))
		s.unlistedUntil = w.now.Add(seconds(6))
		w.after(seconds(9), func() { s.hold(w, c) })
		return true
	}
	w.at(w.start.Add(seconds(37.5)), func() { w.submit(job) })
	w.schedule(scriptEvent{At: 40.5, Kind: "Silent", Server: "i-00", For: 25})
	w.runUntil(seconds(120))
	w.requireOneRun(job)
	require.True(t, w.intercepted)
}
