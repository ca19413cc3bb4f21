package conductor_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/specifier"
)

// teamDay is a day of teams with limits on 60 servers of 64 cores.
type teamDay struct {
	*cellDay
	// urgentOf are the urgent jobs of each team.
	urgentOf map[string][]specifier.Job
}

func newQuotaDay(t *testing.T, limits map[string]int64) *teamDay {
	d := &teamDay{cellDay: newDay(t, 1, 1, 60, 20), urgentOf: make(map[string][]specifier.Job)}
	d.traffic, d.grantOneIn, d.lengthOf = 20*time.Second, 3, lengthOf
	d.configure(limits)
	d.electOwner(d.owners[0])
	return d
}

// batchJob is a job of the batch queue of the first customer of docs/hard-load.md.
func (d *teamDay) batchJob(team string) specifier.Job {
	return d.add(jobOptions{
		Team: team, Tasks: 1 + int(d.around(25, 0.6, 150)), MilliCores: int64(d.around(3500, 0.4, 20000)), Seconds: d.around(2.2, 0.5, 10), Advice: true,
		Priority: 2, Attempts: 2, AdviceCost: specifier.AdviceCost{Fixed: 104 * time.Millisecond, PerServer: 1430 * time.Microsecond},
	}, false)
}

// gangJob is a job of the queue of long gangs of that customer.
func (d *teamDay) gangJob(team string) specifier.Job {
	job := d.add(jobOptions{
		Team: team, Tasks: 1 + int(d.around(16, 0.6, 30)), MilliCores: int64(d.around(9000, 0.3, 16000)), Seconds: d.around(6.2, 0.5, 20), Gang: true,
		Advice: true, Priority: 1, Attempts: 2, AdviceCost: specifier.AdviceCost{Fixed: 559 * time.Millisecond, PerServer: 8060 * time.Microsecond},
	}, false)
	d.gangs = append(d.gangs, job)
	return job
}

func (d *teamDay) urgentJob(team string) specifier.Job {
	job := d.add(jobOptions{
		Team: team, Tasks: 1 + d.random.IntN(5), MilliCores: 5000, Seconds: d.around(0.64, 0.5, 3), Gang: d.random.IntN(10) < 3, Advice: true,
		Attempts: 2, AdviceCost: specifier.AdviceCost{Fixed: 9360 * time.Microsecond, PerServer: 130 * time.Microsecond},
	}, false)
	d.urgentOf[team] = append(d.urgentOf[team], job)
	return job
}

// usedShare plays the day from one time to another and returns the mean share of a team's limit that its tasks took.
func (d *teamDay) usedShare(team string, from, to time.Duration) float64 {
	used, samples := 0.0, 0
	for at := from; at < to; at += 20 * time.Millisecond {
		d.runUntil(at)
		used += float64(d.quota.running[team].MilliCores) / float64(d.quota.limit(team))
		samples++
	}
	return used / float64(samples)
}

// TestLimitIsUsedWhileWorkWaits guards against a team that runs less than its limit permits although more of its work waits and servers
// are free, and against advice calls for work that its limit keeps from starting.
func TestLimitIsUsedWhileWorkWaits(t *testing.T) {
	for name, c := range map[string]struct {
		gangs, batch, urgent float64
		// least is the mean share of the limit that is used, and unused the largest share of the time of advice calls without a start.
		least, unused float64
	}{
		"batch":           {batch: 8, least: 0.95, unused: 0.25},
		"urgent":          {urgent: 80, least: 0.93, unused: 0.33},
		"gangs and batch": {gangs: 1, batch: 5, least: 0.82, unused: 0.38},
		"all":             {gangs: 1, batch: 3, urgent: 15, least: 0.85, unused: 0.38},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newQuotaDay(t, map[string]int64{"a": 300})
			d.arrive(c.gangs, func() specifier.Job { return d.gangJob("a") })
			d.arrive(c.batch, func() specifier.Job { return d.batchJob("a") })
			d.arrive(c.urgent, func() specifier.Job { return d.urgentJob("a") })
			used := d.usedShare("a", 5*time.Second, 18*time.Second)
			unused := d.calls.unused.Seconds() / d.calls.total.Seconds()
			t.Logf("used %.3f of the limit; advice %.2f s, unused %.3f", used, d.calls.total.Seconds(), unused)
			require.Empty(t, d.violations)
			require.Greater(t, used, c.least)
			require.Less(t, unused, c.unused)
		})
	}
}

// TestTeamAtLimitDelaysNoOther guards against servers, advisors or places in the order that the waiting work of a team at its limit
// takes from another team. Both teams run on a cell with enough capacity for both limits.
func TestTeamAtLimitDelaysNoOther(t *testing.T) {
	play := func(flood float64) (late float64, gangWait time.Duration) {
		d := newQuotaDay(t, map[string]int64{"a": 300, "b": 3000})
		d.arrive(15, func() specifier.Job { return d.urgentJob("b") })
		d.arrive(1, func() specifier.Job { return d.gangJob("b") })
		d.arrive(flood, func() specifier.Job { return d.gangJob("a") })
		d.arrive(5*flood, func() specifier.Job { return d.batchJob("a") })
		d.arrive(20*flood, func() specifier.Job { return d.urgentJob("a") })
		d.runUntil(25 * time.Second)
		require.Empty(t, d.violations)
		for _, job := range d.urgentOf["b"] {
			if d.waitOf(job) > 300*time.Millisecond {
				late += 1 / float64(len(d.urgentOf["b"]))
			}
		}
		count := 0
		for _, job := range d.gangs {
			if job.Team == "b" {
				gangWait += d.waitOf(job)
				count++
			}
		}
		return late, gangWait / time.Duration(max(count, 1))
	}
	late, gangWait := play(0)
	floodLate, floodWait := play(4)
	t.Logf("alone: %.3f of urgent jobs late, gangs wait %s; beside a team at its limit: %.3f, %s", late, gangWait, floodLate, floodWait)
	require.Less(t, floodLate, late+0.02)
	require.Less(t, floodWait, gangWait+250*time.Millisecond)
}

// TestGangOfTeamStartsBesideSmallTasks guards against a gang that starves because small tasks of its team take each part of the limit
// that becomes free, and against urgent tasks that are held back for a gang that can still meet its objective.
func TestGangOfTeamStartsBesideSmallTasks(t *testing.T) {
	for _, priority := range []int{0, 1, 2} {
		t.Run(fmt.Sprintf("priority %d", priority), func(t *testing.T) {
			t.Parallel()
			w := newSimulation(t, 1, 4)
			w.configure(map[string]int64{"a": 60})
			for i := range 400 {
				small := newJob(i, jobOptions{Team: "a", MilliCores: 6000, Seconds: 1, Priority: priority})
				w.at(w.start.Add(seconds(1+0.05*float64(i))), func() { w.submit(small) })
			}
			gang := newJob(1000, jobOptions{Team: "a", Tasks: 8, MilliCores: 6000, Seconds: 5, Gang: true, Priority: 1, Advice: true})
			w.at(w.start.Add(seconds(4)), func() { w.submit(gang) })
			w.runUntil(seconds(20))
			require.Empty(t, w.violations)
			runs := w.runsOf[specifier.StepID{Job: gang.ID}.Task(0)]
			require.NotEmpty(t, runs)
			wait := runs[0].begunAt.Sub(w.start.Add(seconds(4)))
			// The objective is twice 5.1 s and one second, so that the gang is late after 6.2 s.
			if priority == 0 {
				require.Greater(t, wait, 6*time.Second)
				require.Less(t, wait, 8500*time.Millisecond)
			} else {
				require.Less(t, wait, 2500*time.Millisecond)
			}
		})
	}
}

// TestServersAreReleasedAtLimit guards against servers that stay held for a gang whose team has reached its limit. The gang waits for the
// end of long runs of other jobs, servers are held for it, and the limit is lowered; a job without a team needs the free servers.
func TestServersAreReleasedAtLimit(t *testing.T) {
	w := newSimulation(t, 1, 4)
	w.configure(map[string]int64{"a": 240})
	w.at(w.start.Add(seconds(1)), func() { w.submit(newJob(1, jobOptions{MilliCores: 60000, Seconds: 60})) })
	gang := newJob(2, jobOptions{Team: "a", Tasks: 4, MilliCores: 60000, Seconds: 3, Gang: true, Priority: 1})
	w.at(w.start.Add(seconds(2)), func() { w.submit(gang) })
	other := newJob(3, jobOptions{Tasks: 3, MilliCores: 60000, Seconds: 70, Priority: 1})
	w.at(w.start.Add(seconds(7)), func() { w.submit(other) })
	w.at(w.start.Add(seconds(7.2)), func() { w.configure(map[string]int64{"a": 100}) })
	w.runUntil(seconds(7.15))
	require.Empty(t, w.runsOf[specifier.StepID{Job: other.ID}.Task(0)])
	w.runUntil(seconds(7.5))
	for i := range 3 {
		require.Len(t, w.runsOf[specifier.StepID{Job: other.ID}.Task(i)], 1)
	}
	w.runUntil(seconds(12))
	w.configure(map[string]int64{"a": 240})
	w.runUntil(seconds(100))
	require.Empty(t, w.violations)
	require.Equal(t, specifier.Completed, w.state(gang.ID))
}
