package conductor_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/specifier"
)

// newHeldSimulation returns a simulation of 30 servers, half of which are in use until 11 s, and two gangs of 20 tasks that take a
// server each and are on time, submitted at 2 s.
func newHeldSimulation(t *testing.T) (w *simulation, wide []specifier.Job) {
	const servers, tasks = 30, 20
	w = newSimulation(t, 1, servers)
	w.at(w.start.Add(time.Second), func() {
		w.submit(newJob(0, jobOptions{Tasks: servers / 2, MilliCores: 60000, Seconds: 10}))
	})
	for n := range 2 {
		gang := newJob(1+n, jobOptions{Tasks: tasks, MilliCores: 60000, Seconds: 2, Gang: true, Priority: 1})
		gang.Queue.Stretch = 10
		wide = append(wide, gang)
		w.at(w.start.Add(2*time.Second), func() { w.submit(gang) })
	}
	return w, wide
}

// submitLater submits a gang of eight tasks at 3 s that comes after the two wide ones in the order of placement.
func submitLater(w *simulation, length float64) specifier.Job {
	gang := newJob(10, jobOptions{Tasks: 8, MilliCores: 60000, Seconds: length, Gang: true, Priority: 1})
	gang.Queue.Stretch = 30
	w.at(w.start.Add(3*time.Second), func() { w.submit(gang) })
	return gang
}

// TestGangsOnTimeLeaveServersToShorterRuns guards against gangs that are on time and hold all servers, each of them those that others
// need, so that nothing starts on free servers until a long run has ended.
func TestGangsOnTimeLeaveServersToShorterRuns(t *testing.T) {
	w, _ := newHeldSimulation(t)
	short := submitLater(w, 1)
	w.runUntil(5 * time.Second)
	require.Equal(t, specifier.Completed, w.state(short.ID))
	require.Empty(t, w.violations)
}

// TestGangOnTimeStartsBeforeLongerRuns guards against a gang that is on time and waits for runs that were started after it on the
// servers that it needs. The bound is the end of the first runs, its own, and half a second.
func TestGangOnTimeStartsBeforeLongerRuns(t *testing.T) {
	w, wide := newHeldSimulation(t)
	submitLater(w, 25)
	w.runUntil(13*time.Second + 500*time.Millisecond)
	require.Contains(t, []specifier.JobState{w.state(wide[0].ID), w.state(wide[1].ID)}, specifier.Completed)
	require.Empty(t, w.violations)
}

// TestStepWithoutAdviceBlocksNoHold guards against a late gang that waits for the servers of an older one, because they would be held
// for the older one if advice admitted more of them, and all advice calls fail. Smaller jobs take the capacity that becomes free.
func TestStepWithoutAdviceBlocksNoHold(t *testing.T) {
	const servers, tasks, loadSeconds = 30, 20, 30
	w := newSimulation(t, 1, servers)
	for _, advisor := range w.advisors {
		w.muteAdvisors[advisor] = w.start.Add(time.Hour)
	}
	w.at(w.start.Add(time.Second), func() {
		w.submit(newJob(0, jobOptions{Tasks: servers, MilliCores: 40000, Seconds: 9}))
	})
	for n := range 25 * loadSeconds {
		w.at(w.start.Add(9*time.Second+time.Duration(n)*40*time.Millisecond), func() {
			w.submit(newJob(10+n, jobOptions{Tasks: 4, MilliCores: 9000, Seconds: 1, Priority: 1}))
		})
	}
	older := newJob(1, jobOptions{Tasks: tasks, MilliCores: 60000, Seconds: 1, Gang: true, Advice: true, Priority: 1})
	w.at(w.start.Add(2*time.Second), func() { w.submit(older) })
	later := newJob(2, jobOptions{Tasks: tasks, MilliCores: 60000, Seconds: 1, Gang: true, Priority: 1})
	w.at(w.start.Add(3*time.Second), func() { w.submit(later) })
	w.runUntil(15 * time.Second)
	require.Empty(t, w.violations)
	require.Equal(t, specifier.Completed, w.state(later.ID))
}

// TestWaitOfLateGangOutlastsOwner guards against a late gang that never starts because each new owner counts its wait from its own
// election. Smaller jobs that can still meet their objective compete for all servers, so that servers are held for a gang that has
// waited for 30 s. The owner is lost after 20 s.
func TestWaitOfLateGangOutlastsOwner(t *testing.T) {
	const servers, tasks, loadSeconds, jobsPerSecond = 30, 20, 40, 100
	w := newSimulation(t, 1, servers)
	for n := range jobsPerSecond * loadSeconds {
		w.at(w.start.Add(1500*time.Millisecond+time.Duration(n)*time.Second/jobsPerSecond), func() {
			w.submit(newJob(10+n, jobOptions{Tasks: 4, MilliCores: 9000, Seconds: 1, Priority: 1}))
		})
	}
	late := newJob(1, jobOptions{Tasks: tasks, MilliCores: 60000, Seconds: 1, Gang: true, Priority: 1})
	late.Queue.Stretch, late.Queue.TargetLatency = 1, 0
	w.at(w.start.Add(2*time.Second), func() { w.submit(late) })
	w.at(w.start.Add(20*time.Second), w.crashOwner)
	w.runUntil(38 * time.Second)
	require.Empty(t, w.violations)
	require.Equal(t, specifier.Completed, w.state(late.ID))
}

// TestHeldServersRunOthersWhileMuchIsFree guards against a step that waits although it fits twice and most of the cell is free, because
// servers are held for a gang that waits for runs that take longer than estimated.
func TestHeldServersRunOthersWhileMuchIsFree(t *testing.T) {
	const servers, estimate = 10, time.Second
	w := newSimulation(t, 1, servers)
	w.lengthOf = func(task specifier.TaskID, length time.Duration) time.Duration {
		if task.Job == "job0" {
			return time.Minute
		}
		return length
	}
	jobs := []specifier.Job{
		newJob(0, jobOptions{Tasks: 3, MilliCores: 60000, Seconds: estimate.Seconds()}),
		newJob(1, jobOptions{Tasks: 9, MilliCores: 60000, Seconds: 2, Gang: true}),
		newJob(2, jobOptions{Tasks: 3, MilliCores: 60000, Seconds: 2, Gang: true}),
	}
	for i, at := range []float64{1, 2, 8} {
		w.at(w.start.Add(seconds(at)), func() { w.submit(jobs[i]) })
	}
	w.runUntil(8*time.Second + starvedAfter)
	require.Len(t, w.runsOf[specifier.StepID{Job: jobs[2].ID}.Task(0)], 1, "the later gang waits for longer than the users' pages allow")
	w.runUntil(70 * time.Second)
	require.Empty(t, w.violations)
	require.Equal(t, specifier.Completed, w.state(jobs[1].ID))
}
