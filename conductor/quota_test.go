package conductor

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/specifier"
)

func configured(revision int64, teams ...specifier.Team) Configured {
	return Configured{Configuration: specifier.Configuration{Revision: revision, Teams: specifier.NewTeams(teams...)}}
}

func withCores(name string, cores int64) specifier.Team {
	return specifier.Team{Name: name, MaxRunning: specifier.Resources{MilliCores: 1000 * cores}}
}

// TestWavesCountInObjective guards against an objective that ignores that a wide step of a team runs in waves, and against another
// objective of jobs without a team, of gangs and of steps that fit the limit.
func TestWavesCountInObjective(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newPassConductor(now, 2, "a")
	c.Handle(now, configured(1, withCores("t", 20)))
	add := func(id specifier.JobID, team string, gang bool) *job {
		first := specifier.Step{Count: 10, Need: specifier.Resources{MilliCores: 6000}, Estimate: 2 * time.Second, Gang: gang}
		second := specifier.Step{Count: 1, Need: specifier.Resources{MilliCores: 6000}, Estimate: time.Second, After: []int{0}}
		queue := specifier.Queue{Service: "a", Stretch: 2, TargetLatency: time.Second}
		c.Handle(now, JobArrived{Job: specifier.Job{ID: id, Team: team, Queue: queue, AcceptedAt: now, Steps: []specifier.Step{first, second}}})
		c.refreshStale()
		return c.jobs[id]
	}
	waved := add("waved", "t", false)
	for _, j := range []*job{add("gang", "t", true), add("free", "", false), add("unlimited", "u", false)} {
		require.Equal(t, 7*time.Second, objectiveOf(j))
		require.Equal(t, now.Add(4*time.Second), j.waitingSteps[0].latestStart)
	}
	// 60 cores within a limit of 20 are three waves of two seconds.
	require.Equal(t, 15*time.Second, objectiveOf(waved))
	require.Equal(t, now.Add(8*time.Second), waved.waitingSteps[0].latestStart)
	c.Handle(now, configured(2, withCores("t", 30)))
	c.refreshStale()
	require.Equal(t, 11*time.Second, objectiveOf(waved))
	require.Equal(t, now.Add(6*time.Second), waved.waitingSteps[0].latestStart)
	c.Handle(now, configured(3, withCores("t", 60)))
	require.Equal(t, 7*time.Second, objectiveOf(waved))
}

// TestStepAtLimitIsNoBacklog guards against work of a team at its limit that keeps a shard from lending idle servers, makes it borrow
// some, or delays the holds of others.
func TestStepAtLimitIsNoBacklog(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newPassConductor(now, 2, "a")
	c.Handle(now, configured(1, withCores("t", 1)))
	c.accounts.Take("t", specifier.Resources{MilliCores: 500})
	step := specifier.Step{Count: 100, Need: specifier.Resources{MilliCores: 600}, Estimate: 100 * time.Second}
	queue := specifier.Queue{Service: "a", TargetLatency: time.Hour}
	c.Handle(now, JobArrived{Job: specifier.Job{ID: "j", Team: "t", Queue: queue, AcceptedAt: now, Steps: []specifier.Step{step}}})
	c.refreshStale()
	w := c.jobs["j"].waitingSteps[0]
	w.wait.since = now.Add(-10 * time.Second)
	later := now.Add(2 * borrowAfter)
	observe := func() []bool {
		usable := c.usableByHome(now)
		c.stepsThatBorrow(now, usable)
		permitted := c.permittedSteps()
		p := &pass{now: now, permitted: permitted}
		return []bool{p.hasBacklog("a"), c.hasBlockedStep(now, "a", permitted), len(c.stepsThatBorrow(later, usable)) > 0}
	}
	for _, s := range c.sessions {
		s.used = s.server.Capacity
	}
	for _, s := range c.sessions {
		c.shard.others["other"+s.id] = s.server
	}
	full := c.load(now, "a")
	require.Equal(t, 100, full)
	require.Equal(t, []bool{false, false, false}, observe())
	c.accounts.Release("t", specifier.Resources{MilliCores: 500})
	require.Equal(t, []bool{true, true, true}, observe())
	require.Greater(t, c.load(now, "a"), full)
}

// TestStartBesideExceededResource guards against starts that are reserved and withheld again and again because the team has more than its
// limit of a resource that they do not need.
func TestStartBesideExceededResource(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newPassConductor(now, 1, "a")
	c.Handle(now, configured(1, specifier.Team{Name: "t", MaxRunning: specifier.Resources{MilliCores: 10_000, Accelerators: 1}}))
	c.accounts.Take("t", specifier.Resources{Accelerators: 2})
	step := specifier.Step{Count: 1, Need: specifier.Resources{MilliCores: 600}, Estimate: time.Second}
	queue := specifier.Queue{Service: "a"}
	c.Handle(now, JobArrived{Job: specifier.Job{ID: "j", Team: "t", Queue: queue, AcceptedAt: now, Steps: []specifier.Step{step}}})
	starts := 0
	for range 20 {
		for _, command := range c.Plan(now) {
			switch command := command.(type) {
			case Commit:
				c.Handle(now, CommitEnded{Lane: command.Lane})
			case Start:
				starts++
			}
		}
		now = now.Add(100 * time.Millisecond)
	}
	require.Equal(t, 1, starts)
}

// TestRecordOfCompletedJobNamesStoppedRun guards against a new owner that does not count an earlier run of a task, which was found again and
// is still being stopped when a later run completes the job.
func TestRecordOfCompletedJobNamesStoppedRun(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newPassConductor(now, 2, "a")
	c.Handle(now, configured(1, withCores("t", 20)))
	step := specifier.Step{Count: 1, Need: specifier.Resources{MilliCores: 600}, Estimate: time.Second}
	queue := specifier.Queue{Service: "a"}
	c.Handle(now, JobArrived{Job: specifier.Job{ID: "j", Team: "t", Queue: queue, AcceptedAt: now, Steps: []specifier.Step{step}}})
	c.Plan(now.Add(time.Second))
	task := specifier.StepID{Job: "j"}.Task(0)
	placed, other := c.sessions["i-0000"], c.sessions["i-0001"]
	if placed.allocations[task] == nil {
		placed, other = other, placed
	}
	placed.setState(placed.allocations[task], confirmed)
	c.stopOrphan(now, other, specifier.RunningTask{Task: task, Run: 0})
	c.runEnded(now, placed, specifier.EndedTask{Task: task, Run: 1, Number: 1, Reason: specifier.RunDone})
	require.Equal(t, specifier.Completed, c.jobs["j"].State())
	remaining := c.remainingOf(c.jobs["j"])
	require.NotNil(t, remaining)
	require.Len(t, remaining.Runs, 1)
	require.Equal(t, other.id, remaining.Runs[0].Server)
}

// BenchmarkStepsOfTeams measures a pass over 500 steps that fit no server, with 3,500 runs on 350 servers: without teams, and with teams
// below and at their limits.
func BenchmarkStepsOfTeams(b *testing.B) {
	for name, limit := range map[string]int64{"no teams": 0, "below limits": 1_000_000, "at limits": 1} {
		teams := 20
		if limit == 0 {
			teams = 0
		}
		b.Run(name, func(b *testing.B) {
			now := time.Unix(1000, 0)
			c := newPassConductor(now, 350, "a")
			var list []specifier.Team
			for i := range teams {
				list = append(list, withCores(fmt.Sprint(i), limit))
			}
			c.Handle(now, configured(1, list...))
			for i := range 500 {
				team := ""
				if teams > 0 {
					team = fmt.Sprint(i % teams)
				}
				step := specifier.Step{Count: 20, Need: specifier.Resources{MilliCores: 900}, Estimate: time.Second, Gang: i%3 == 0}
				queue := specifier.Queue{Service: "a", Priority: i % 3, TargetLatency: time.Hour}
				c.Handle(now, JobArrived{Job: specifier.Job{
					ID: specifier.JobID(fmt.Sprint(i)), Team: team, Queue: queue, AcceptedAt: now, Steps: []specifier.Step{step},
				}})
			}
			number := 0
			for _, s := range c.sessions {
				for range 10 {
					number++
					id := specifier.TaskID{StepID: specifier.StepID{Job: "r"}, Index: number}
					a := &allocation{task: id, state: confirmed, need: specifier.Resources{MilliCores: 100, MemoryMB: 1}}
					if teams > 0 {
						a.team, a.counted = fmt.Sprint(number%teams), specifier.Resources{MilliCores: 100}
					}
					s.add(a)
				}
			}
			c.refreshStale()
			c.placeAll(now)
			b.ResetTimer()
			for range b.N {
				now = now.Add(20 * time.Millisecond)
				c.placeAll(now)
				c.commands = c.commands[:0]
			}
		})
	}
}
