package conductor_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/specifier"
)

// TestAdviceKeepsUpUnderLoad guards against a backlog of steps that wait for advice although servers have free
// capacity: calls that name all servers take twice as long as calls that name enough of them. The bound is a third of
// the calls' time for all servers, the run, and half a second for placing and starting.
func TestAdviceKeepsUpUnderLoad(t *testing.T) {
	const servers, jobs, perSecond = 100, 60, 8
	const bound = 2 * time.Second
	w := newSimulation(t, 2, servers)
	w.grantOneIn = 3
	advice := specifier.AdviceCost{Needed: true, Fixed: 130 * time.Millisecond, PerServer: 1820 * time.Microsecond}
	for n := range jobs {
		job := newJob(n, jobOptions{Tasks: 8, MilliCores: 4000, Seconds: 1, Advice: true})
		job.Queue.Advice = advice
		submittedAt := w.start.Add(time.Second + time.Duration(n)*time.Second/perSecond)
		w.at(submittedAt, func() { w.submit(job) })
		w.at(submittedAt.Add(bound), func() {
			require.Equal(t, specifier.Completed, w.state(job.ID), "job %d of %d", n, jobs)
		})
	}
	w.runUntil(time.Second + jobs*time.Second/perSecond + 2*bound)
	require.Empty(t, w.violations)
}

// TestUnplaceableGangsDoNotOccupyAdvisors guards against gangs that have missed their objective and fit nowhere, but
// occupy the advisors with calls whose tickets expire unused while other jobs could start. The bound is the call, the
// run and half a second.
func TestUnplaceableGangsDoNotOccupyAdvisors(t *testing.T) {
	const servers, gangs = 30, 20
	const bound = 400*time.Millisecond + time.Second + 500*time.Millisecond
	w := newSimulation(t, 3, servers)
	// More than half of the cores of each server are in use, so that no task of a gang fits.
	filling := newJob(0, jobOptions{Tasks: servers, MilliCores: 40000, Seconds: 60})
	w.at(w.start.Add(time.Second), func() { w.submit(filling) })
	for n := range gangs {
		gang := newJob(1+n, jobOptions{Tasks: 20, MilliCores: 30000, Seconds: 1, Gang: true, Advice: true})
		gang.Queue.Advice = specifier.AdviceCost{Needed: true, Fixed: 1200 * time.Millisecond, PerServer: 8 * time.Millisecond}
		w.at(w.start.Add(2*time.Second), func() { w.submit(gang) })
	}
	for n := range 10 {
		job := newJob(1+gangs+n, jobOptions{Tasks: 2, MilliCores: 2000, Seconds: 1, Advice: true})
		job.Queue.Advice = specifier.AdviceCost{Needed: true, Fixed: 300 * time.Millisecond, PerServer: time.Millisecond}
		submittedAt := w.start.Add(time.Duration(20+n) * time.Second)
		w.at(submittedAt, func() { w.submit(job) })
		w.at(submittedAt.Add(bound), func() {
			require.Equal(t, specifier.Completed, w.state(job.ID), "job %d", n)
		})
	}
	w.runUntil(35 * time.Second)
	require.Empty(t, w.violations)
}
