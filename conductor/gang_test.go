package conductor_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/conductor"
	"egretring.example/egretring/specifier"
)

// TestWideGangStartsWithOneAdviceCall guards against a gang that needs more servers than an advice call of the minimum
// size admits, and starts late or never because the tickets of its first call have expired before those of the last one
// arrive. The bound is the time of one call for all its servers, the run, and a second and a half.
func TestWideGangStartsWithOneAdviceCall(t *testing.T) {
	const servers, oneIn = 88, 3
	w := newSimulation(t, 1, servers)
	w.grantOneIn = oneIn
	job := newJob(0, jobOptions{Tasks: 50, MilliCores: 30000, Seconds: 1, Gang: true, Advice: true})
	job.Queue.Advice = specifier.AdviceCost{Needed: true, Fixed: 800 * time.Millisecond, PerServer: 8 * time.Millisecond}
	w.at(w.start.Add(time.Second), func() { w.submit(job) })
	w.runUntil(5 * time.Second)
	require.Empty(t, w.violations)
	require.Equal(t, specifier.Completed, w.state(job.ID))
}

// TestLateGangRunsBesideSmallerJobs guards against a gang that has missed its objective and never runs, because smaller
// jobs take its capacity or its tickets have expired whenever all of its tasks would fit.
func TestLateGangRunsBesideSmallerJobs(t *testing.T) {
	runLateJobBesideSmallerOnes(t, 50, jobOptions{Tasks: 32, MilliCores: 30000, Seconds: 1, Gang: true, Advice: true})
}

// TestLateLargeTaskRunsBesideSmallerJobs guards against a task that needs nearly a whole server and never runs, because
// smaller jobs keep a part of each admitted server.
func TestLateLargeTaskRunsBesideSmallerJobs(t *testing.T) {
	runLateJobBesideSmallerOnes(t, 85, jobOptions{Tasks: 1, MilliCores: 63000, Seconds: 1, Advice: true})
}

// runLateJobBesideSmallerOnes submits a job that misses its objective because all servers are in use, and then smaller jobs
// until the end, perSecond of which take 36 of the 3,840 cores each for a second.
func runLateJobBesideSmallerOnes(t *testing.T, perSecond int, options jobOptions) {
	const servers, loadSeconds = 60, 45
	w := newSimulation(t, 4, servers)
	w.deliver(w.owner().epoch, conductor.AdvisorsChanged{Advisors: []string{"a", "b", "c", "d", "e", "f", "g", "h"}})
	w.grantOneIn, w.grantsDiffer = 3, true
	filling := newJob(1, jobOptions{Tasks: servers, MilliCores: 40000, Seconds: 9})
	w.at(w.start.Add(time.Second), func() { w.submit(filling) })
	for n := range perSecond * loadSeconds {
		job := newJob(2+n, jobOptions{Tasks: 4, MilliCores: 9000, Seconds: 1, Advice: true})
		job.Queue.Advice = specifier.AdviceCost{Needed: true, Fixed: 14 * time.Millisecond, PerServer: 208 * time.Microsecond}
		w.at(w.start.Add(9*time.Second+time.Duration(n)*time.Second/time.Duration(perSecond)), func() { w.submit(job) })
	}
	late := newJob(0, options)
	late.Queue.Advice = specifier.AdviceCost{Needed: true, Fixed: 559 * time.Millisecond, PerServer: 8 * time.Millisecond}
	w.at(w.start.Add(3*time.Second), func() { w.submit(late) })
	w.runUntil(loadSeconds * time.Second)
	require.Empty(t, w.violations)
	require.Equal(t, specifier.Completed, w.state(late.ID))
}

// TestGangWiderThanAnAdviceCallRuns guards against a gang that never runs, because it needs tickets of more servers than
// one call may name and those of successive calls are not valid at the same time.
func TestGangWiderThanAnAdviceCallRuns(t *testing.T) {
	const servers, oneIn = 600, 3
	w := newSimulation(t, 5, servers)
	w.deliver(w.owner().epoch, conductor.AdvisorsChanged{Advisors: []string{"a", "b", "c", "d", "e", "f", "g", "h"}})
	w.grantOneIn = oneIn
	gang := newJob(0, jobOptions{Tasks: 190, MilliCores: 40000, Seconds: 1, Gang: true, Advice: true})
	gang.Queue.Advice = specifier.AdviceCost{Needed: true, Fixed: 559 * time.Millisecond, PerServer: 15 * time.Millisecond}
	w.at(w.start.Add(time.Second), func() { w.submit(gang) })
	w.runUntil(30 * time.Second)
	require.Empty(t, w.violations)
	require.Equal(t, specifier.Completed, w.state(gang.ID))
}

// TestHoldsOfUnplaceableGangsLetOthersStart guards against gangs that cannot start beside a service and hold, in turns, the
// servers that other jobs could use.
func TestHoldsOfUnplaceableGangsLetOthersStart(t *testing.T) {
	w := newSimulation(t, 1, 4)
	full := specifier.Resources{MilliCores: 64000}
	queue := specifier.Queue{Name: "q", Service: "s", MaxAttempts: 3, Stretch: 2, TargetLatency: time.Second}
	submit := func(id specifier.JobID, step specifier.Step) {
		w.submit(specifier.Job{ID: id, Queue: queue, Steps: []specifier.Step{step}})
	}
	w.runUntil(time.Second)
	submit("service", specifier.Step{Count: 2, Need: full, LongRunning: true, Estimate: time.Second})
	w.runUntil(2 * time.Second)
	submit("a", specifier.Step{Count: 3, Gang: true, Need: full, Estimate: time.Second})
	submit("b", specifier.Step{Count: 3, Gang: true, Need: full, Estimate: time.Second})
	w.runUntil(12 * time.Second)
	for i := range 5 {
		submit(specifier.JobID(fmt.Sprintf("c%d", i)), specifier.Step{Count: 1, Need: full, Estimate: time.Second})
	}
	w.runUntil(120 * time.Second)
	for i := range 5 {
		require.Equal(t, specifier.Completed, w.state(specifier.JobID(fmt.Sprintf("c%d", i))))
	}
}

// TestCompletedGangNeedsNoStops guards against an order for each member of a gang that has ended: they end together, and the
// reports of their servers arrive one after the other.
func TestCompletedGangNeedsNoStops(t *testing.T) {
	w := newSimulation(t, 5, 20)
	for n := range 10 {
		job := newJob(n, jobOptions{Tasks: 8, MilliCores: 30000, Seconds: 0.5, Gang: true})
		w.at(w.start.Add(time.Duration(1+n)*time.Second), func() { w.submit(job) })
	}
	w.runUntil(15 * time.Second)
	require.Empty(t, w.violations)
	require.Equal(t, 80, w.starts)
	require.Zero(t, w.stops)
	for _, job := range w.submitted {
		require.Equal(t, specifier.Completed, w.state(job.ID))
	}
}
