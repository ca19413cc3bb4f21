package placer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/placer"
)

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

// TestUrgentKeepsItsRoom guards against an urgent task that waits on, after its victim has left, because the learned
// need of other tasks has grown into its room.
func TestUrgentKeepsItsRoom(t *testing.T) {
	c := newCell(t, zone(1))
	c.submit(job("other", describer.BatchJob, describer.Standard, 4, size(2, 1)))
	c.submit(job("urgent", describer.BatchJob, describer.Urgent, 1, size(2, 1)))
	require.Len(t, c.evicted, 1)
	report := placer.UsageReported{Server: "server-0", SampledAt: c.now}
	for index := range 4 {
		report.Tasks = append(report.Tasks, placer.TaskUsage{Task: task("other", index), Used: size(2, 1).Plus(size(0, 2))})
	}
	report.Tasks[0].Used.MilliCores = 3500
	c.handle(report)
	require.Len(t, c.evicted, 2)
	for victim := range c.evicted {
		c.release(victim, false)
	}
	require.Equal(t, 1, c.placed("urgent"))
}
