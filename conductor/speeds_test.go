package conductor_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/specifier"
)

// TestEqualServersArePlacedAsBefore guards against speeds that take effect in a cell whose servers are alike: each run must start at the same
// time and on the same server as without speeds.
func TestEqualServersArePlacedAsBefore(t *testing.T) {
	runs := func(equal bool) []string {
		d := newUnevenDay(t, 3, unevenOptions{Load: 0.85, SameSpeed: true, EqualServers: equal})
		d.runUntil(14 * time.Second)
		require.Empty(t, d.violations)
		var placed []string
		for _, r := range d.runs {
			placed = append(placed, r.begunAt.String()+" "+r.task.String()+" "+string(r.server.server.ID))
		}
		return placed
	}
	before, now := runs(true), runs(false)
	require.Greater(t, len(before), 3000)
	require.Equal(t, before, now)
}

// TestUrgentJobsRunOnFastServers guards against urgent jobs that are late on slow servers while fast ones could take them, and against other
// jobs that are late because fast servers are kept for urgent ones. The baseline is the placement by free capacity only.
func TestUrgentJobsRunOnFastServers(t *testing.T) {
	before := newUnevenDay(t, 1, unevenOptions{Load: 0.85, EqualServers: true}).play()
	now := newUnevenDay(t, 1, unevenOptions{Load: 0.85}).play()
	t.Logf("before: %+v", before)
	t.Logf("now: %+v", now)
	require.Less(t, before.InTime[0], 0.92)
	require.Greater(t, now.InTime[0], 0.97)
	require.Greater(t, now.InTime[2], before.InTime[2]-0.02)
	require.Zero(t, now.Violations)
}

// TestReservedServersTakeOnlyUrgentRuns guards against a reserve that other steps take whatever their order: the longer they run, the less of
// it would be left in a burst. Some fast servers must have no other run after a time in which those that ran before have ended.
func TestReservedServersTakeOnlyUrgentRuns(t *testing.T) {
	d := newUnevenDay(t, 2, unevenOptions{Load: 1})
	d.runUntil(22 * time.Second)
	kept := 0
	for _, s := range d.servers {
		if s.speed <= 1 {
			continue
		}
		others := 0
		for _, r := range d.runs {
			if r.server == s && r.job.Queue.Priority > 0 && d.now.Sub(r.begunAt) < 5*time.Second {
				others++
			}
		}
		if others == 0 {
			kept++
		}
	}
	require.GreaterOrEqual(t, kept, 8, "fast servers on which no other step has started for five seconds")
	require.Empty(t, d.violations)
}

// TestWideStepUsesReservedServers guards against a gang that never starts because it needs the servers that are kept for urgent steps.
func TestWideStepUsesReservedServers(t *testing.T) {
	d := newUnevenDay(t, 4, unevenOptions{Load: 0.3})
	job := d.add(jobOptions{Tasks: unevenServers / 2, MilliCores: 15000, Seconds: 1, Gang: true, Priority: 1, Attempts: 2}, false)
	d.shardOfJob[job.ID] = 0
	d.lengths[specifier.StepID{Job: job.ID}] = time.Second
	d.at(d.start.Add(15*time.Second), func() { d.submit(job) })
	d.runUntil(75 * time.Second)
	require.Equal(t, specifier.Completed, d.state(job.ID))
	require.Empty(t, d.violations)
}
