package planner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/planner"
	"egretring.example/egretring/tester"
)

func TestMain(m *testing.M) { tester.Main(m) }

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func cores(count int64) describer.Resources {
	return describer.Resources{MilliCores: count * 1000, MemoryBytes: count << 30}
}

// cell runs a planner and keeps the assignments and reports that result from its commands.
type cell struct {
	now        time.Time
	planner    *planner.Planner
	zoneOf     map[describer.TaskID]describer.AvailabilityZoneID
	impossible map[describer.JobID]planner.Reason
	commands   []planner.Command
	jobs       map[describer.JobID]describer.Job
}

func newCell(zones ...string) *cell {
	c := &cell{
		now: start, planner: planner.New(), zoneOf: make(map[describer.TaskID]describer.AvailabilityZoneID),
		impossible: make(map[describer.JobID]planner.Reason), jobs: make(map[describer.JobID]describer.Job),
	}
	var list []planner.Zone
	for _, id := range zones {
		list = append(list, planner.Zone{
			ID: describer.AvailabilityZoneID(id), ServerGroups: []planner.ServerGroup{{Capacity: cores(8), Count: 10}},
		})
	}
	c.handle(planner.ZonesChanged{Zones: list})
	return c
}

func (c *cell) handle(event planner.Event) {
	for _, command := range c.planner.Handle(c.now, event) {
		c.commands = append(c.commands, command)
		switch command := command.(type) {
		case planner.AssignTasks:
			for i := command.First; i < command.First+command.Count; i++ {
				id := describer.TaskID{Job: command.Job.ID, Index: i}
				if _, twice := c.zoneOf[id]; twice {
					panic(fmt.Sprintf("task %v is assigned twice", id))
				}
				c.zoneOf[id] = command.Zone
			}
		case planner.WithdrawTasks:
			for i := command.First; i < command.First+command.Count; i++ {
				delete(c.zoneOf, describer.TaskID{Job: command.Job, Index: i})
			}
		case planner.ReportImpossible:
			c.impossible[command.Job] = command.Reason
		case planner.ReportPossible:
			delete(c.impossible, command.Job)
		}
	}
}

func (c *cell) wait(duration time.Duration) {
	for until := c.now.Add(duration); c.now.Before(until); {
		c.now = c.now.Add(100 * time.Millisecond)
		c.handle(planner.Ticked{})
	}
}

func (c *cell) submit(id, team string, policy describer.JobPolicy, tasks int, each describer.Resources, zones ...describer.AvailabilityZoneID) {
	j := describer.Job{
		ID: describer.JobID(id), Team: describer.TeamID(team), Class: describer.Standard, Policy: policy,
		Tasks: tasks, PerTask: each, AvailabilityZones: zones,
	}
	c.jobs[j.ID] = j
	c.handle(planner.JobSubmitted{Job: j})
	c.wait(200 * time.Millisecond)
}

func (c *cell) tasksIn(job string, zone describer.AvailabilityZoneID) int {
	count := 0
	for id, assigned := range c.zoneOf {
		if string(id.Job) == job && assigned == zone {
			count++
		}
	}
	return count
}

func (c *cell) assigned(job string) int {
	count := 0
	for id := range c.zoneOf {
		if string(id.Job) == job {
			count++
		}
	}
	return count
}

// TestImpossibleJobIsReported guards against a job that can never run and is not reported with its reason or blocks
// other jobs.
func TestImpossibleJobIsReported(t *testing.T) {
	cases := []struct {
		name   string
		team   string
		policy describer.JobPolicy
		tasks  int
		each   describer.Resources
		zones  []describer.AvailabilityZoneID
		reason planner.Reason
	}{
		{"possible", "rich", describer.BatchJob, 5, cores(8), nil, ""},
		{"no server large enough", "rich", describer.BatchJob, 1, cores(9), nil, planner.NoServerLargeEnough},
		{"no accelerator", "rich", describer.BatchJob, 1, describer.Resources{Accelerators: 1}, nil, planner.NoServerLargeEnough},
		{"quota below one task", "poor", describer.BatchJob, 1, cores(3), nil, planner.QuotaTooSmall},
		{"quota below the gang", "poor", describer.GangJob, 3, cores(1), nil, planner.QuotaTooSmall},
		{"borrower above its quota", "borrower", describer.GangJob, 3, cores(1), nil, ""},
		{"no quota", "stranger", describer.BatchJob, 1, cores(1), nil, planner.QuotaTooSmall},
		{"gang larger than any zone", "rich", describer.GangJob, 11, cores(8), nil, planner.GangTooLarge},
		{"largest gang", "rich", describer.GangJob, 10, cores(8), nil, ""},
		{"unknown zone", "rich", describer.BatchJob, 1, cores(1), []describer.AvailabilityZoneID{"x"}, planner.UnknownZone},
		{"one zone known", "rich", describer.BatchJob, 1, cores(1), []describer.AvailabilityZoneID{"x", "a"}, ""},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			c := newCell("a", "b")
			c.handle(planner.QuotasChanged{Quotas: []describer.Quota{
				{Team: "rich", Limit: cores(200)},
				{Team: "poor", Limit: cores(2)},
				{Team: "borrower", Limit: cores(1), MayBorrow: true},
			}})
			c.submit("case", test.team, test.policy, test.tasks, test.each, test.zones...)
			c.submit("next", "rich", describer.BatchJob, 1, cores(1))
			require.Equal(t, test.reason, c.impossible["case"])
			require.Equal(t, 1, c.assigned("next"))
			want := test.tasks
			if test.reason != "" {
				want = 0
			}
			require.Equal(t, want, c.assigned("case"))
		})
	}
}

// TestReportedJobBecomesPossible guards against a job that stays reported as impossible after the reason no longer
// holds.
func TestReportedJobBecomesPossible(t *testing.T) {
	c := newCell("a")
	c.submit("late", "team", describer.BatchJob, 1, cores(1), "b")
	require.Equal(t, planner.UnknownZone, c.impossible["late"])
	c.handle(planner.ZonesChanged{Zones: []planner.Zone{{
		ID: "b", ServerGroups: []planner.ServerGroup{{Capacity: cores(8), Count: 1}},
	}}})
	c.wait(time.Second)
	require.Empty(t, c.impossible)
	require.Equal(t, 1, c.assigned("late"))
}

// TestServiceIsSpread guards against a service whose tasks are concentrated in a zone although others have free
// capacity.
func TestServiceIsSpread(t *testing.T) {
	c := newCell("a", "b", "c")
	c.submit("load", "team", describer.BatchJob, 20, cores(1), "a")
	c.submit("web", "team", describer.ServiceJob, 7, cores(1))
	for _, zone := range []describer.AvailabilityZoneID{"a", "b", "c"} {
		require.InDelta(t, 7.0/3, c.tasksIn("web", zone), 1)
	}
}

// TestIdleQuotaIsBorrowedAndReclaimed guards against unused quota that a team with the right to borrow does not get,
// and against borrowed quota that is not reclaimed while its owner's tasks wait.
func TestIdleQuotaIsBorrowedAndReclaimed(t *testing.T) {
	c := newCell("a")
	c.handle(planner.QuotasChanged{Quotas: []describer.Quota{
		{Team: "lender", Limit: cores(10)}, {Team: "borrower", Limit: cores(10), MayBorrow: true},
	}})
	c.submit("borrowed", "borrower", describer.BatchJob, 30, cores(1))
	require.Equal(t, 20, c.assigned("borrowed"))
	c.submit("own", "lender", describer.BatchJob, 15, cores(1))
	c.wait(time.Second)
	require.Equal(t, 10, c.assigned("own"), "the lender may not borrow")
	require.Equal(t, 10, c.assigned("borrowed"))
	finished := []int{}
	for id := range c.zoneOf {
		if id.Job == "own" {
			finished = append(finished, id.Index)
			delete(c.zoneOf, id)
		}
	}
	c.handle(planner.TasksFinished{Job: "own", Indices: finished})
	c.wait(time.Second)
	require.Equal(t, 5, c.assigned("own"))
	require.Equal(t, 15, c.assigned("borrowed"))
}

// TestTasksOfLostZoneMoveWhenSafe guards against tasks that are moved before SafeAt, when they may still run in the
// lost zone, against services that are moved after batch tasks, and against more than 100 tasks moved in a pass.
func TestTasksOfLostZoneMoveWhenSafe(t *testing.T) {
	c := newCell("a", "b")
	c.handle(planner.ZoneUnavailable{Zone: "b", SafeAt: start})
	c.submit("batch", "team", describer.BatchJob, 600, describer.Resources{MilliCores: 100, MemoryBytes: 1 << 20})
	c.submit("web", "team", describer.ServiceJob, 150, describer.Resources{MilliCores: 100, MemoryBytes: 1 << 20})
	c.wait(2 * time.Second)
	require.Equal(t, 600, c.tasksIn("batch", "a"))
	require.Equal(t, 150, c.tasksIn("web", "a"))
	c.handle(planner.ZoneAvailable{Zone: "b"})
	safeAt := c.now.Add(30 * time.Second)
	c.handle(planner.ZoneUnavailable{Zone: "a", SafeAt: safeAt})
	c.wait(29 * time.Second)
	require.Equal(t, 600, c.tasksIn("batch", "a"), "moved before the leases have expired")
	servicesAt := time.Time{}
	for range 30 {
		before := c.tasksIn("batch", "b") + c.tasksIn("web", "b")
		c.wait(100 * time.Millisecond)
		require.LessOrEqual(t, c.tasksIn("batch", "b")+c.tasksIn("web", "b")-before, 100)
		if servicesAt.IsZero() && c.tasksIn("web", "b") == 150 {
			servicesAt = c.now
			require.LessOrEqual(t, c.tasksIn("batch", "b"), 50)
		}
	}
	require.Equal(t, 600, c.tasksIn("batch", "b"))
	require.False(t, servicesAt.IsZero())
}

// TestQuotasAreKept guards against teams that together use more than the sum of all quotas, against a team without the
// right to borrow that exceeds its own quota, and against a gang job that is split or assigned in part.
func TestQuotasAreKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCell("a", "b", "c")
		limits := map[describer.TeamID]describer.Quota{
			"x": {Team: "x", Limit: cores(20)}, "y": {Team: "y", Limit: cores(30), MayBorrow: true},
			"z": {Team: "z", Limit: cores(10), MayBorrow: true},
		}
		c.handle(planner.QuotasChanged{Quotas: []describer.Quota{limits["x"], limits["y"], limits["z"]}})
		next := 0
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) {
				next++
				policy := rapid.SampledFrom([]describer.JobPolicy{describer.ServiceJob, describer.BatchJob, describer.GangJob}).Draw(t, "policy")
				team := rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "team")
				c.submit(fmt.Sprintf("job-%d", next), team, policy, rapid.IntRange(1, 12).Draw(t, "tasks"), cores(int64(rapid.IntRange(1, 4).Draw(t, "cores"))))
			},
			"finish": func(t *rapid.T) {
				id := describer.JobID(fmt.Sprintf("job-%d", rapid.IntRange(1, next+1).Draw(t, "job")))
				var indices []int
				for task := range c.zoneOf {
					if task.Job == id {
						indices = append(indices, task.Index)
						delete(c.zoneOf, task)
					}
				}
				c.handle(planner.TasksFinished{Job: id, Indices: indices})
			},
			"withdraw": func(t *rapid.T) {
				c.handle(planner.JobWithdrawn{Job: describer.JobID(fmt.Sprintf("job-%d", rapid.IntRange(1, next+1).Draw(t, "job")))})
			},
			"loseZone":   func(*rapid.T) { c.handle(planner.ZoneUnavailable{Zone: "a", SafeAt: c.now.Add(time.Second)}) },
			"returnZone": func(*rapid.T) { c.handle(planner.ZoneAvailable{Zone: "a"}) },
			"":           func(t *rapid.T) { c.wait(500 * time.Millisecond); c.check(t, limits) },
		})
	})
}

func (c *cell) check(t *rapid.T, limits map[describer.TeamID]describer.Quota) {
	used := make(map[describer.TeamID]describer.Resources)
	total, pool := describer.Resources{}, describer.Resources{}
	gangs := make(map[describer.JobID]map[describer.AvailabilityZoneID]bool)
	for id, zone := range c.zoneOf {
		j := c.jobs[id.Job]
		used[j.Team] = used[j.Team].Plus(j.PerTask)
		total = total.Plus(j.PerTask)
		if j.Policy == describer.GangJob {
			if gangs[id.Job] == nil {
				gangs[id.Job] = make(map[describer.AvailabilityZoneID]bool)
			}
			gangs[id.Job][zone] = true
		}
	}
	for team, quota := range limits {
		pool = pool.Plus(quota.Limit)
		if !quota.MayBorrow && !used[team].Fits(quota.Limit) {
			t.Fatalf("team %s uses %v of %v", team, used[team], quota.Limit)
		}
	}
	if !total.Fits(pool) {
		t.Fatalf("teams use %v of %v", total, pool)
	}
	for id, zones := range gangs {
		if len(zones) != 1 || c.assigned(string(id)) != c.jobs[id].Tasks {
			t.Fatalf("gang job %s has %d tasks in zones %v", id, c.assigned(string(id)), zones)
		}
	}
}

// TestWideGangIsNotPassedInQuota guards against a gang job that starves because each quota that becomes free is given to
// smaller jobs behind it in the queue, of its own team or of other borrowers.
func TestWideGangIsNotPassedInQuota(t *testing.T) {
	for _, test := range []struct{ name, gangTeam, smallTeam string }{
		{"own team", "lender", "lender"},
		{"other borrower", "borrower", "other"},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newCell("a")
			c.handle(planner.QuotasChanged{Quotas: []describer.Quota{
				{Team: "lender", Limit: cores(10)},
				{Team: "borrower", Limit: cores(1), MayBorrow: true},
				{Team: "other", Limit: cores(1), MayBorrow: true},
			}})
			c.submit("service", test.smallTeam, describer.ServiceJob, 1, cores(1))
			c.flood(test.smallTeam, 20)
			c.submit("gang", test.gangTeam, describer.GangJob, 8, cores(1))
			c.flood(test.smallTeam, 600)
			require.Equal(t, 8, c.assigned("gang"))
		})
	}
}

// TestHoldEnds guards against a gang job that waits for quota and blocks the smaller jobs of its team while tasks that
// never end use the quota.
func TestHoldEnds(t *testing.T) {
	c := newCell("a")
	c.handle(planner.QuotasChanged{Quotas: []describer.Quota{{Team: "team", Limit: cores(10)}}})
	c.submit("endless", "team", describer.BatchJob, 5, cores(1))
	c.submit("gang", "team", describer.GangJob, 8, cores(1))
	c.submit("small", "team", describer.BatchJob, 1, cores(1))
	require.Zero(t, c.assigned("small"))
	c.wait(6 * time.Minute)
	require.Equal(t, 1, c.assigned("small"))
}

// TestServiceIgnoresHold guards against a service that waits for quota which is free, because it is held for a gang job.
func TestServiceIgnoresHold(t *testing.T) {
	c := newCell("a")
	c.handle(planner.QuotasChanged{Quotas: []describer.Quota{{Team: "team", Limit: cores(10)}}})
	c.submit("endless", "team", describer.BatchJob, 5, cores(1))
	c.submit("gang", "team", describer.GangJob, 8, cores(1))
	c.submit("small", "team", describer.BatchJob, 1, cores(1))
	require.Zero(t, c.assigned("small"), "the quota is held")
	c.submit("service", "team", describer.ServiceJob, 1, cores(1))
	require.Equal(t, 1, c.assigned("service"))
}

// TestHoldsStayShort guards against holds for a gang job that grow without a useful limit and block the smaller jobs of
// its team for hours beside free quota.
func TestHoldsStayShort(t *testing.T) {
	c := newCell("a")
	c.handle(planner.QuotasChanged{Quotas: []describer.Quota{{Team: "team", Limit: cores(10)}}})
	c.submit("endless", "team", describer.BatchJob, 5, cores(1))
	c.submit("gang", "team", describer.GangJob, 8, cores(1))
	longest, blockedSince := time.Duration(0), c.now
	for minute := range 24 * 60 {
		id := fmt.Sprintf("small-%d", minute)
		c.submit(id, "team", describer.BatchJob, 1, cores(1))
		if c.assigned(id) == 1 {
			blockedSince = c.now
		}
		longest = max(longest, c.now.Sub(blockedSince))
		c.handle(planner.JobWithdrawn{Job: describer.JobID(id)})
		c.now = c.now.Add(time.Minute)
	}
	require.LessOrEqual(t, longest, 42*time.Minute)
}

// TestLargeTaskIsNotPassed guards against a large batch task that starves because each capacity that becomes free is
// given to smaller tasks behind it in the queue.
func TestLargeTaskIsNotPassed(t *testing.T) {
	c := newCell("a")
	c.flood("team", 200)
	c.submit("large", "team", describer.BatchJob, 1, cores(8))
	c.flood("team", 600)
	require.Equal(t, 1, c.assigned("large"))
}

// flood submits small tasks, and finishes an assigned one after each.
func (c *cell) flood(team string, tasks int) {
	for range tasks {
		id := fmt.Sprintf("small-%04d", len(c.jobs))
		c.submit(id, team, describer.BatchJob, 1, cores(1))
		var first describer.TaskID
		for task := range c.zoneOf {
			if c.jobs[task.Job].PerTask == cores(1) && c.jobs[task.Job].Policy == describer.BatchJob &&
				(first.Job == "" || task.Job < first.Job) {
				first = task
			}
		}
		if c.assigned(id) == 1 {
			continue
		}
		delete(c.zoneOf, first)
		c.handle(planner.TasksFinished{Job: first.Job, Indices: []int{first.Index}})
	}
}

// TestGangLeavesZoneThatBecameTooSmall guards against tasks that stay assigned to a zone which has lost the backend
// servers that they need, although another zone holds them.
func TestGangLeavesZoneThatBecameTooSmall(t *testing.T) {
	c := newCell("a", "b")
	c.submit("gang", "team", describer.GangJob, 10, cores(8), "a", "b")
	c.submit("batch", "team", describer.BatchJob, 1, cores(1), "a")
	require.Equal(t, 10, c.tasksIn("gang", "a"))
	c.handle(planner.ZonesChanged{Zones: []planner.Zone{zoneOf("a", 9), zoneOf("b", 10)}})
	c.wait(time.Minute)
	require.Equal(t, 10, c.tasksIn("gang", "b"))
	require.Equal(t, 1, c.tasksIn("batch", "a"), "fits the smaller zone")
	c.handle(planner.ZonesChanged{Zones: []planner.Zone{zoneOf("a", 10), zoneOf("b", 0)}})
	c.wait(time.Minute)
	require.Equal(t, 10, c.tasksIn("gang", "b"), "a zone without backend servers may be out of contact")
	c.handle(planner.ZoneUnavailable{Zone: "b", SafeAt: c.now.Add(time.Hour)})
	c.handle(planner.ZonesChanged{Zones: []planner.Zone{zoneOf("a", 10), zoneOf("b", 9)}})
	c.wait(time.Minute)
	require.Equal(t, 10, c.tasksIn("gang", "b"), "moved before SafeAt")
}

// TestUnlistedZoneGetsNoTasks guards against a job that is assigned to a zone without backend servers.
func TestUnlistedZoneGetsNoTasks(t *testing.T) {
	c := newCell("a", "b")
	c.handle(planner.ZonesChanged{Zones: []planner.Zone{zoneOf("b", 10)}})
	c.submit("gang", "team", describer.GangJob, 10, cores(8))
	require.Equal(t, 10, c.tasksIn("gang", "b"))
}

// TestUnlistedZoneIsNotImpossible guards against a waiting job that is reported as one that can never run, because the
// list lacks its only allowed zone for a moment.
func TestUnlistedZoneIsNotImpossible(t *testing.T) {
	c := newCell("a", "b")
	c.submit("first", "team", describer.BatchJob, 100, cores(8), "a")
	c.handle(planner.ZonesChanged{Zones: []planner.Zone{zoneOf("b", 10)}})
	c.submit("second", "team", describer.GangJob, 10, cores(8), "a")
	c.wait(time.Minute)
	require.Empty(t, c.impossible)
	require.Zero(t, c.assigned("second"))
	c.submit("third", "team", describer.GangJob, 11, cores(8), "a")
	require.Equal(t, planner.GangTooLarge, c.impossible["third"], "judged by the last description")
	c.handle(planner.ZonesChanged{Zones: []planner.Zone{zoneOf("a", 10), zoneOf("b", 10)}})
	c.wait(time.Second)
	require.Equal(t, 10, c.tasksIn("second", "a"))
}

// TestUnfinishedTasksOfGangAreAdmitted guards against a gang job that needs a zone for all its tasks although some have
// finished.
func TestUnfinishedTasksOfGangAreAdmitted(t *testing.T) {
	c := newCell("a")
	c.handle(planner.ZonesChanged{Zones: []planner.Zone{zoneOf("a", 10), zoneOf("b", 5)}})
	c.submit("gang", "team", describer.GangJob, 10, cores(8))
	c.handle(planner.TasksFinished{Job: "gang", Indices: []int{0, 1, 2, 3, 4, 5}})
	c.handle(planner.ZoneUnavailable{Zone: "a", SafeAt: c.now})
	c.wait(time.Second)
	require.Equal(t, 4, c.tasksIn("gang", "b"))
}

func zoneOf(id describer.AvailabilityZoneID, servers int) planner.Zone {
	return planner.Zone{ID: id, ServerGroups: []planner.ServerGroup{{Capacity: cores(8), Count: servers}}}
}

// TestZoneFilledByServicesIsAvoided guards against tasks that wait for ever in the zone with the lowest load, because
// services, which do not end, occupy the capacity that they need there.
func TestZoneFilledByServicesIsAvoided(t *testing.T) {
	for _, test := range []struct {
		policy   describer.JobPolicy
		tasks    int
		services int
	}{{describer.GangJob, 10, 40}, {describer.BatchJob, 1, 76}, {describer.ServiceJob, 1, 76}} {
		t.Run(string(test.policy), func(t *testing.T) {
			c := newCell("a", "b")
			c.submit("services", "team", describer.ServiceJob, test.services, cores(1), "a")
			c.submit("batch", "team", describer.BatchJob, 78, cores(1), "b")
			c.submit("case", "team", test.policy, test.tasks, cores(8))
			require.Equal(t, test.tasks, c.tasksIn("case", "b"))
		})
	}
}

// TestBatchIsAdmittedBesideGangs guards against batch tasks that starve in the planner while gang jobs, which are assigned
// without a limit, keep the zone above the limit for batch tasks.
func TestBatchIsAdmittedBesideGangs(t *testing.T) {
	c := newCell("a")
	for number := range 300 {
		c.submit(fmt.Sprintf("gang-%d", number), "team", describer.GangJob, 20, cores(1))
		if number == 10 {
			c.submit("batch", "team", describer.BatchJob, 1, cores(1))
		}
		if number >= 10 {
			c.handle(planner.JobWithdrawn{Job: describer.JobID(fmt.Sprintf("gang-%d", number-10))})
		}
	}
	require.Equal(t, 1, c.assigned("batch"))
}
