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
		name        string
		servers     []describer.BackendServer
		job         describer.Job
		placed      int
		serverCount int
		rackCount   int
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
			h := newHarness(t, test.servers)
			h.submit(test.job)
			servers := make(map[describer.BackendServerID]bool)
			racks := make(map[describer.RackID]bool)
			for _, place := range h.places {
				servers[place.Server] = true
				for _, s := range test.servers {
					if s.ID == place.Server {
						racks[s.Rack] = true
						require.Zero(t, s.Capacity.Accelerators, "accelerators wasted")
					}
				}
			}
			require.Len(t, h.places, test.placed)
			require.Len(t, servers, test.serverCount)
			require.Len(t, racks, test.rackCount)
		})
	}
}

// TestUrgentTaskPreemptsCheapestVictim guards against urgent work that waits while all backend servers are full, evicts
// more tasks or tasks of a higher class than needed, or is placed before its capacity is free.
func TestUrgentTaskPreemptsCheapestVictim(t *testing.T) {
	h := newHarness(t, zone(2))
	h.submit(job("standard", describer.BatchJob, describer.Standard, 4, size(2, 1)))
	h.submit(job("old", describer.BatchJob, describer.Deferrable, 2, size(2, 1)))
	h.wait(10 * time.Second)
	h.submit(job("young", describer.BatchJob, describer.Deferrable, 2, size(2, 1)))
	h.submit(job("urgent", describer.BatchJob, describer.Urgent, 1, size(2, 1)))
	require.Len(t, h.evicted, 1)
	require.Zero(t, h.placed("urgent"))
	for victim := range h.evicted {
		require.Equal(t, describer.JobID("young"), victim.Job, "least work lost")
		h.release(victim, false)
	}
	require.Equal(t, 1, h.placed("urgent"))
}

// TestLearnedNeedReplacesDeclaredNeed guards against allocating by a wrong declaration, whether it is too high or too
// low.
func TestLearnedNeedReplacesDeclaredNeed(t *testing.T) {
	for _, test := range []struct {
		name string
		used describer.Resources
		fits int
	}{
		{"declared twice the use", size(1, 1), 7},
		{"declared half the use", size(4, 1), 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, zone(1))
			h.submit(job("a", describer.BatchJob, describer.Standard, 1, size(2, 1)))
			for range 400 {
				h.now = h.now.Add(time.Second)
				h.handle(placer.UsageReported{
					Server: "server-0", SampledAt: h.now.Add(-3 * time.Second),
					Tasks: []placer.TaskUsage{{Task: task("a", 0), Used: test.used}},
				})
			}
			h.release(task("a", 0), true)
			h.submit(job("a", describer.BatchJob, describer.Standard, 9, size(2, 1)))
			require.Equal(t, test.fits, h.placed("a"))
		})
	}
}

// TestOverloadedServerThrottlesBeforeEvicting guards against a backend server whose use reaches its capacity, and
// against an eviction before throttling had time to show its effect.
func TestOverloadedServerThrottlesBeforeEvicting(t *testing.T) {
	h := newHarness(t, zone(1))
	h.submit(job("low", describer.BatchJob, describer.Deferrable, 1, size(2, 1)))
	h.submit(job("high", describer.BatchJob, describer.Standard, 1, size(2, 1)))
	report := func() {
		h.now = h.now.Add(time.Second)
		h.handle(placer.UsageReported{Server: "server-0", SampledAt: h.now, Tasks: []placer.TaskUsage{
			{Task: task("low", 0), Used: size(4, 1)}, {Task: task("high", 0), Used: size(4, 1)},
		}})
	}
	report()
	require.Equal(t, map[describer.TaskID]bool{task("low", 0): true}, h.throttled)
	report()
	require.Len(t, h.throttled, 1, "acted again before the effect was sampled")
	report()
	require.Len(t, h.throttled, 2)
	h.wait(2 * time.Second)
	report()
	require.Equal(t, map[describer.TaskID]placer.EvictionReason{task("low", 0): placer.ServerOverloaded}, h.evicted)
}

// TestLeavingServerIsEvacuated guards against tasks that stay on a leaving backend server, and against tasks of a
// removed one being placed again before it is certain that they have ended.
func TestLeavingServerIsEvacuated(t *testing.T) {
	servers := zone(2)
	h := newHarness(t, servers)
	h.submit(job("a", describer.BatchJob, describer.Standard, 2, size(4, 1)))
	servers[h.numberOf(task("a", 0))].State = describer.Leaving
	h.handle(placer.ServersChanged{Servers: servers})
	require.Len(t, h.evicted, 2)
	h.handle(placer.ServersChanged{Servers: nil})
	require.Len(t, h.places, 2)
	require.Equal(t, 2, h.placer.Summary().PlacedTasks)
}

// TestEjectedServerGetsOnlyProbe guards against an ejected backend server that gets more work than the probe.
func TestEjectedServerGetsOnlyProbe(t *testing.T) {
	h := newHarness(t, zone(1))
	h.handle(placer.ServerEjected{Server: "server-0"})
	h.submit(job("a", describer.BatchJob, describer.Standard, 3, size(1, 1)))
	require.Empty(t, h.places)
	h.handle(placer.ServerProbed{Server: "server-0"})
	h.wait(time.Second)
	require.Len(t, h.places, 1)
	h.handle(placer.ServerReadmitted{Server: "server-0"})
	h.wait(time.Second)
	require.Len(t, h.places, 3)
}

// TestWaitingUrgentTaskEvictsGrownTasks guards against an urgent task that keeps waiting after its victim has left,
// because the learned need of other tasks has grown into its capacity.
func TestWaitingUrgentTaskEvictsGrownTasks(t *testing.T) {
	h := newHarness(t, zone(1))
	h.submit(job("other", describer.BatchJob, describer.Standard, 4, size(2, 1)))
	h.submit(job("urgent", describer.BatchJob, describer.Urgent, 1, size(2, 1)))
	require.Len(t, h.evicted, 1)
	report := placer.UsageReported{Server: "server-0", SampledAt: h.now}
	for index := range 4 {
		report.Tasks = append(report.Tasks, placer.TaskUsage{Task: task("other", index), Used: size(2, 1).Plus(size(0, 2))})
	}
	report.Tasks[0].Used.MilliCores = 3500
	h.handle(report)
	require.Len(t, h.evicted, 2)
	for victim := range h.evicted {
		h.release(victim, false)
	}
	require.Equal(t, 1, h.placed("urgent"))
}
