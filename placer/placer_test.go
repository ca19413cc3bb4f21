package placer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/placer"
	"egretring.example/egretring/tester"
)

func TestMain(m *testing.M) { tester.Main(m) }

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func size(cores, gigabytes int64) describer.Resources {
	return describer.Resources{MilliCores: cores * 1000, MemoryBytes: gigabytes << 30}
}

// zone returns backend servers of 8 cores and 32 GiB, four to a rack.
func zone(count int) []describer.BackendServer {
	servers := make([]describer.BackendServer, count)
	for i := range servers {
		servers[i] = describer.BackendServer{
			ID:       describer.BackendServerID(fmt.Sprintf("server-%d", i)),
			Rack:     describer.RackID(fmt.Sprintf("rack-%d", i/4)),
			State:    describer.Live,
			Capacity: size(8, 32),
		}
	}
	return servers
}

// cell drives a placer and follows where tasks are.
type cell struct {
	t       *testing.T
	now     time.Time
	core    *placer.Placer
	places  map[describer.TaskID]placer.PlaceTask
	evicted map[describer.TaskID]placer.EvictionReason
	slowed  map[describer.TaskID]bool
}

func newCell(t *testing.T, servers []describer.BackendServer) *cell {
	c := &cell{
		t: t, now: start, core: placer.New(),
		places:  make(map[describer.TaskID]placer.PlaceTask),
		evicted: make(map[describer.TaskID]placer.EvictionReason),
		slowed:  make(map[describer.TaskID]bool),
	}
	c.handle(placer.ServersChanged{Servers: servers})
	return c
}

func (c *cell) handle(event placer.Event) {
	for _, command := range c.core.Handle(c.now, event) {
		switch command := command.(type) {
		case placer.PlaceTask:
			require.NotContains(c.t, c.places, command.Task, "placed twice")
			c.places[command.Task] = command
		case placer.EvictTask:
			c.evicted[command.Task] = command.Reason
		case placer.ThrottleTask:
			c.slowed[command.Task] = true
		}
	}
}

func (c *cell) wait(duration time.Duration) {
	for until := c.now.Add(duration); c.now.Before(until); {
		c.now = c.now.Add(20 * time.Millisecond)
		c.handle(placer.Ticked{})
	}
}

func (c *cell) submit(job describer.Job) {
	indices := make([]int, job.Tasks)
	for i := range indices {
		indices[i] = i
	}
	c.handle(placer.TasksSubmitted{Job: job, Indices: indices})
	c.wait(20 * time.Millisecond)
}

func (c *cell) release(task describer.TaskID, completed bool) {
	delete(c.places, task)
	c.handle(placer.TaskReleased{Task: task, Completed: completed})
}

func (c *cell) placed(id describer.JobID) int {
	count := 0
	for task := range c.places {
		if task.Job == id {
			count++
		}
	}
	return count
}

func job(id string, policy describer.JobPolicy, class describer.Class, tasks int, each describer.Resources) describer.Job {
	return describer.Job{ID: describer.JobID(id), Policy: policy, Class: class, Tasks: tasks, PerTask: each}
}

func task(id string, index int) describer.TaskID {
	return describer.TaskID{Job: describer.JobID(id), Index: index}
}

// TestPlacementRules guards against a policy that spreads batch work, packs a service into one rack, exceeds a
// dimension, or uses backend servers that accept no work.
func TestPlacementRules(t *testing.T) {
	leaving := zone(2)
	leaving[0].State = describer.Leaving
	accelerated := zone(2)
	accelerated[1].Capacity.Accelerators = 4
	cases := []struct {
		name    string
		servers []describer.BackendServer
		job     describer.Job
		placed  int
		servIDs int
		racks   int
	}{
		{"batch is packed tightly", zone(16), job("a", describer.BatchJob, describer.Standard, 8, size(1, 1)), 8, 1, 1},
		{"service is spread over racks", zone(16), job("a", describer.ServiceJob, describer.Standard, 4, size(1, 1)), 4, 4, 4},
		{"service beyond the racks", zone(8), job("a", describer.ServiceJob, describer.Standard, 4, size(1, 1)), 4, 2, 2},
		{"processors bound", zone(2), job("a", describer.BatchJob, describer.Standard, 9, size(2, 1)), 8, 2, 1},
		{"memory bounds", zone(2), job("a", describer.BatchJob, describer.Standard, 9, size(1, 16)), 4, 2, 1},
		{"too large", zone(2), job("a", describer.BatchJob, describer.Standard, 1, size(9, 1)), 0, 0, 0},
		{"leaving gets nothing", leaving, job("a", describer.BatchJob, describer.Standard, 9, size(2, 1)), 4, 1, 1},
		{"gang that fits", zone(2), job("a", describer.GangJob, describer.Standard, 8, size(2, 1)), 8, 2, 1},
		{"gang that does not fit", zone(2), job("a", describer.GangJob, describer.Standard, 9, size(2, 1)), 0, 0, 0},
		{"accelerators kept free", accelerated, job("a", describer.BatchJob, describer.Standard, 2, size(1, 1)), 2, 1, 1},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			c := newCell(t, test.servers)
			c.submit(test.job)
			servers := make(map[describer.BackendServerID]bool)
			racks := make(map[describer.RackID]bool)
			for _, place := range c.places {
				servers[place.Server] = true
				for _, s := range test.servers {
					if s.ID == place.Server {
						racks[s.Rack] = true
						require.Zero(t, s.Capacity.Accelerators, "accelerators wasted")
					}
				}
			}
			require.Len(t, c.places, test.placed)
			require.Len(t, servers, test.servIDs)
			require.Len(t, racks, test.racks)
		})
	}
}

// TestUrgentPreempts guards against urgent work that waits behind a full cell, evicts more or higher work than needed,
// or is announced before its room is free.
func TestUrgentPreempts(t *testing.T) {
	c := newCell(t, zone(2))
	c.submit(job("standard", describer.BatchJob, describer.Standard, 4, size(2, 1)))
	c.submit(job("old", describer.BatchJob, describer.Deferrable, 2, size(2, 1)))
	c.wait(10 * time.Second)
	c.submit(job("young", describer.BatchJob, describer.Deferrable, 2, size(2, 1)))
	c.submit(job("urgent", describer.BatchJob, describer.Urgent, 1, size(2, 1)))
	require.Len(t, c.evicted, 1)
	require.Zero(t, c.placed("urgent"))
	for victim := range c.evicted {
		require.Equal(t, describer.JobID("young"), victim.Job, "least work lost")
		c.release(victim, false)
	}
	require.Equal(t, 1, c.placed("urgent"))
}

// TestGangGetsReservation guards against a gang job that starves under a steady stream of small work, and against
// small work that is kept out although it ends before the reservation starts.
func TestGangGetsReservation(t *testing.T) {
	c := newCell(t, zone(4))
	small := job("small", describer.BatchJob, describer.Standard, 16, size(2, 1))
	small.ExpectedSeconds = 10
	c.submit(small)
	c.submit(job("gang", describer.GangJob, describer.Standard, 4, size(8, 8)))
	ends := make(map[describer.TaskID]time.Time)
	next := 100
	backfilled := 0
	for second := 0; second < 60 && c.placed("gang") == 0; second++ {
		for id, at := range ends {
			if !c.now.Before(at) {
				delete(ends, id)
				c.release(id, true)
				c.handle(placer.TasksSubmitted{Job: small, Indices: []int{next}})
				next++
			}
		}
		c.wait(time.Second)
		for id := range c.places {
			if _, known := ends[id]; !known {
				ends[id] = c.now.Add(time.Duration(4+id.Index%7) * time.Second)
				if second > 2 {
					backfilled++
				}
			}
		}
	}
	require.Equal(t, 4, c.placed("gang"))
	require.Positive(t, backfilled)
}

// TestOverrunsDelayGangLittle guards against a gang job that starves because tasks run longer than declared and the room
// of each task that ends is given away again.
func TestOverrunsDelayGangLittle(t *testing.T) {
	c := newCell(t, zone(4))
	small := job("small", describer.BatchJob, describer.Standard, 60, size(1, 1))
	small.ExpectedSeconds = 5
	c.submit(small)
	next := small.Tasks
	ends := make(map[describer.TaskID]time.Time)
	submitted := false
	for range 300 {
		c.wait(100 * time.Millisecond)
		for id := range c.places {
			if _, known := ends[id]; !known && id.Job == "small" {
				runTime := 4 * time.Second
				if id.Index%8 == 0 {
					runTime = time.Hour
				}
				ends[id] = c.now.Add(runTime + time.Duration(id.Index%10)*100*time.Millisecond)
			}
		}
		for id, at := range ends {
			if _, left := c.evicted[id]; left || !c.now.Before(at) {
				delete(ends, id)
				delete(c.evicted, id)
				c.release(id, !left)
				c.handle(placer.TasksSubmitted{Job: small, Indices: []int{next}})
				next++
			}
		}
		if !submitted && c.now.Sub(start) > 6*time.Second {
			submitted = true
			c.submit(job("gang", describer.GangJob, describer.Standard, 4, size(4, 4)))
		}
	}
	require.Equal(t, 4, c.placed("gang"))
}

// TestLearnedNeed guards against room that is kept by a wrong declaration, in both directions.
func TestLearnedNeed(t *testing.T) {
	for _, test := range []struct {
		name string
		used describer.Resources
		fits int
	}{
		{"declared twice the use", size(1, 1), 7},
		{"declared half the use", size(4, 1), 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newCell(t, zone(1))
			c.submit(job("a", describer.BatchJob, describer.Standard, 1, size(2, 1)))
			for range 400 {
				c.now = c.now.Add(time.Second)
				c.handle(placer.UsageReported{
					Server: "server-0", SampledAt: c.now.Add(-3 * time.Second),
					Tasks: []placer.TaskUsage{{Task: task("a", 0), Used: test.used}},
				})
			}
			c.release(task("a", 0), true)
			c.submit(job("a", describer.BatchJob, describer.Standard, 9, size(2, 1)))
			require.Equal(t, test.fits, c.placed("a"))
		})
	}
}

// TestStrainedServer guards against a backend server that runs into its capacity, and against an eviction before
// throttling had time to show its effect.
func TestStrainedServer(t *testing.T) {
	c := newCell(t, zone(1))
	c.submit(job("low", describer.BatchJob, describer.Deferrable, 1, size(2, 1)))
	c.submit(job("high", describer.BatchJob, describer.Standard, 1, size(2, 1)))
	report := func() {
		c.now = c.now.Add(time.Second)
		c.handle(placer.UsageReported{Server: "server-0", SampledAt: c.now, Tasks: []placer.TaskUsage{
			{Task: task("low", 0), Used: size(4, 1)}, {Task: task("high", 0), Used: size(4, 1)},
		}})
	}
	report()
	require.Equal(t, map[describer.TaskID]bool{task("low", 0): true}, c.slowed)
	report()
	require.Len(t, c.slowed, 1, "acted again before the effect was sampled")
	report()
	require.Len(t, c.slowed, 2)
	c.wait(2 * time.Second)
	report()
	require.Equal(t, map[describer.TaskID]placer.EvictionReason{task("low", 0): placer.ServerStrained}, c.evicted)
}

// TestServerLeaves guards against tasks that stay on a leaving backend server, and against tasks of a failed one being
// placed again before it is certain that they have ended.
func TestServerLeaves(t *testing.T) {
	servers := zone(2)
	c := newCell(t, servers)
	c.submit(job("a", describer.BatchJob, describer.Standard, 2, size(4, 1)))
	servers[c.numberOf(task("a", 0))].State = describer.Leaving
	c.handle(placer.ServersChanged{Servers: servers})
	require.Len(t, c.evicted, 2)
	c.handle(placer.ServersChanged{Servers: nil})
	require.Len(t, c.places, 2)
	require.Equal(t, 2, c.core.Summary().PlacedTasks)
}

func (c *cell) numberOf(id describer.TaskID) int {
	var number int
	_, err := fmt.Sscanf(string(c.places[id].Server), "server-%d", &number)
	require.NoError(c.t, err)
	return number
}

// TestProbe guards against a backend server that is set aside and gets more work than the probe.
func TestProbe(t *testing.T) {
	c := newCell(t, zone(1))
	c.handle(placer.ServerSetAside{Server: "server-0"})
	c.submit(job("a", describer.BatchJob, describer.Standard, 3, size(1, 1)))
	require.Empty(t, c.places)
	c.handle(placer.ServerProbed{Server: "server-0"})
	c.wait(time.Second)
	require.Len(t, c.places, 1)
	c.handle(placer.ServerReadmitted{Server: "server-0"})
	c.wait(time.Second)
	require.Len(t, c.places, 3)
}
