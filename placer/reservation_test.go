package placer_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/placer"
)

// TestReservationPreventsGangStarvation guards against a gang job that starves under a steady stream of small tasks,
// and against small tasks that are not backfilled although they end before the reservation starts.
func TestReservationPreventsGangStarvation(t *testing.T) {
	h := newHarness(t, zone(4))
	small := job("small", describer.BatchJob, describer.Standard, 16, size(2, 1))
	small.ExpectedSeconds = 10
	h.submit(small)
	h.submit(job("gang", describer.GangJob, describer.Standard, 4, size(8, 8)))
	ends := make(map[describer.TaskID]time.Time)
	next := 100
	backfilled := 0
	for second := 0; second < 60 && h.placed("gang") == 0; second++ {
		for id, at := range ends {
			if !h.now.Before(at) {
				delete(ends, id)
				h.release(id, true)
				h.handle(placer.TasksSubmitted{Job: small, Indices: []int{next}})
				next++
			}
		}
		h.wait(time.Second)
		for id := range h.places {
			if _, known := ends[id]; !known {
				ends[id] = h.now.Add(time.Duration(4+id.Index%7) * time.Second)
				if second > 2 {
					backfilled++
				}
			}
		}
	}
	require.Equal(t, 4, h.placed("gang"))
	require.Positive(t, backfilled)
}

// TestOverrunningTasksDoNotStarveGang guards against a gang job that starves because some tasks run longer than
// declared and the capacity of each task that ends is given to another one.
func TestOverrunningTasksDoNotStarveGang(t *testing.T) {
	h := newHarness(t, zone(4))
	small := job("small", describer.BatchJob, describer.Standard, 60, size(1, 1))
	small.ExpectedSeconds = 5
	h.submit(small)
	next := small.Tasks
	ends := make(map[describer.TaskID]time.Time)
	submitted := false
	for range 300 {
		h.wait(100 * time.Millisecond)
		for id := range h.places {
			if _, known := ends[id]; !known && id.Job == "small" {
				runTime := 4 * time.Second
				if id.Index%8 == 0 {
					runTime = time.Hour
				}
				ends[id] = h.now.Add(runTime + time.Duration(id.Index%10)*100*time.Millisecond)
			}
		}
		for id, at := range ends {
			if _, left := h.evicted[id]; left || !h.now.Before(at) {
				delete(ends, id)
				delete(h.evicted, id)
				h.release(id, !left)
				h.handle(placer.TasksSubmitted{Job: small, Indices: []int{next}})
				next++
			}
		}
		if !submitted && h.now.Sub(start) > 6*time.Second {
			submitted = true
			h.submit(job("gang", describer.GangJob, describer.Standard, 4, size(4, 4)))
		}
	}
	require.Equal(t, 4, h.placed("gang"))
}

// TestGangWithDistantServersGetsReservation guards against a gang job that starves in a large zone because only the
// backend servers of one window, of which too few are large enough, are checked for its reservation.
func TestGangWithDistantServersGetsReservation(t *testing.T) {
	servers := zone(1000)
	for i := range servers {
		if i%100 != 0 {
			servers[i].Capacity = size(1, 4)
		}
	}
	h := newHarness(t, servers)
	small := job("small", describer.BatchJob, describer.Standard, 1200, size(1, 1))
	small.ExpectedSeconds = 10
	load := h.stream(small)
	load.run(5*time.Second, never)
	h.submit(job("gang", describer.GangJob, describer.Standard, 10, size(8, 8)))
	load.run(2*time.Minute, func() bool { return h.placed("gang") == 10 })
	require.Equal(t, 10, h.placed("gang"))
}

// TestOverrunningGangIsAvoidedByReservation guards against a gang job that starves because gang tasks which run longer
// than declared are expected to end at once, so that each reservation is on their backend servers.
func TestOverrunningGangIsAvoidedByReservation(t *testing.T) {
	h := newHarness(t, zone(8))
	endless := job("endless", describer.GangJob, describer.Standard, 4, size(8, 8))
	endless.ExpectedSeconds = 1
	h.submit(endless)
	small := job("small", describer.BatchJob, describer.Standard, 40, size(1, 1))
	small.ExpectedSeconds = 10
	load := h.stream(small)
	load.run(5*time.Second, never)
	h.submit(job("gang", describer.GangJob, describer.Standard, 4, size(8, 8)))
	load.run(5*time.Minute, func() bool { return h.placed("gang") == 4 })
	require.Equal(t, 4, h.placed("gang"))
}

// TestUnfulfillableReservationLetsOthersTakeTurns guards against a gang job that starves because the reservation returns
// to a job that is waiting for tasks which never end.
func TestUnfulfillableReservationLetsOthersTakeTurns(t *testing.T) {
	testGangBesideEndless(t, 5)
}

// TestDistantReservationLetsOthersThrough guards against a gang job that waits until the end of long runs that are not in
// its way, because another job holds the reservation until then.
func TestDistantReservationLetsOthersThrough(t *testing.T) {
	testGangBesideEndless(t, 1_000_000)
}

func testGangBesideEndless(t *testing.T, expectedSeconds int64) {
	servers := zone(8)
	for i := range 4 {
		servers[i].Capacity.Accelerators = 1
	}
	h := newHarness(t, servers)
	accelerated := size(8, 8).Plus(describer.Resources{Accelerators: 1})
	endless := job("endless", describer.GangJob, describer.Standard, 4, accelerated)
	endless.ExpectedSeconds = expectedSeconds
	h.submit(endless)
	require.Equal(t, 4, h.placed("endless"))
	small := job("small", describer.BatchJob, describer.Standard, 40, size(1, 1))
	small.ExpectedSeconds = 10
	load := h.stream(small)
	load.run(5*time.Second, never)
	h.submit(job("stuck-1", describer.GangJob, describer.Standard, 4, accelerated))
	h.submit(job("stuck-2", describer.GangJob, describer.Standard, 4, accelerated))
	h.submit(job("gang", describer.GangJob, describer.Standard, 4, size(8, 8)))
	load.run(5*time.Minute, func() bool { return h.placed("gang") == 4 })
	require.Equal(t, 4, h.placed("gang"))
}

// TestChangedServersKeepReservation guards against a gang job that starves because each change of the list of backend
// servers gives the capacity that was reserved for it to others.
func TestChangedServersKeepReservation(t *testing.T) {
	servers := zone(5)
	h := newHarness(t, servers[:4])
	small := job("small", describer.BatchJob, describer.Standard, 40, size(1, 1))
	small.ExpectedSeconds = 10
	load := h.stream(small)
	load.run(5*time.Second, never)
	h.submit(job("gang", describer.GangJob, describer.Standard, 4, size(8, 8)))
	servers[4].Capacity = size(1, 1)
	for i := 0; i < 60 && h.placed("gang") == 0; i++ {
		load.run(2*time.Second, never)
		h.handle(placer.ServersChanged{Servers: servers[:4+i%2]})
	}
	require.Equal(t, 4, h.placed("gang"))
}

// TestReservationExpectsGangsOfUnknownRunTimeToEnd guards against a wide gang job that starves under narrow ones without
// a declared run time, because none of their backend servers counts as free at any time.
func TestReservationExpectsGangsOfUnknownRunTimeToEnd(t *testing.T) {
	h := newHarness(t, zone(4))
	narrow := func(number int) describer.Job {
		return job(strconv.Itoa(number), describer.GangJob, describer.Standard, 1, size(4, 4))
	}
	for number := range 10 {
		h.submit(narrow(number))
	}
	h.submit(job("wide", describer.GangJob, describer.Standard, 4, size(8, 8)))
	for number := 0; number < 600 && h.placed("wide") == 0; number++ {
		h.submit(narrow(10 + number))
		h.wait(time.Second)
		if h.placed(narrow(number).ID) == 1 {
			h.release(task(strconv.Itoa(number), 0), true)
		}
	}
	require.Equal(t, 4, h.placed("wide"))
}

// TestGangFitsAgainAfterLearning guards against a gang job that ran in its zone and never runs again, because with its
// learned need fewer tasks fit on a backend server, and against one that is placed with less than it uses and so is
// restarted for ever.
func TestGangFitsAgainAfterLearning(t *testing.T) {
	for _, test := range []struct {
		name           string
		declared       describer.Resources
		usedMilliCores int64
		usedMemory     int64
		placed         int
	}{
		{"below the declared need", size(4, 4), 3900, 1 << 30, 4},
		{"only the headroom does not fit", size(2, 4), 4000, 1 << 30, 4},
		{"above the processors of the zone", size(4, 4), 4200, 1 << 30, 0},
		{"above the memory of the zone", size(4, 4), 3900, 17 << 30, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, zone(2))
			gang := job("gang", describer.GangJob, describer.Standard, 4, test.declared)
			h.submit(gang)
			used := describer.Resources{MilliCores: test.usedMilliCores, MemoryBytes: test.usedMemory}
			for range 100 {
				h.handle(placer.UsageReported{
					Server: h.places[task("gang", 0)].Server, SampledAt: h.now,
					Tasks: []placer.TaskUsage{{Task: task("gang", 0), Used: used}},
				})
			}
			for index := range 4 {
				h.release(task("gang", index), false)
			}
			h.submit(gang)
			h.wait(5 * time.Second)
			require.Equal(t, test.placed, h.placed("gang"))
		})
	}
}

// TestGangUsesProbeAsWhole guards against a gang job that starves because a probed backend server accepts only one of its
// tasks, and against a gang job that uses up the probe of an ejected backend server without being placed.
func TestGangUsesProbeAsWhole(t *testing.T) {
	h := newHarness(t, zone(2))
	h.handle(placer.ServerEjected{Server: "server-0"})
	h.submit(job("wide", describer.GangJob, describer.Standard, 3, size(8, 8)))
	h.handle(placer.ServerProbed{Server: "server-0"})
	h.wait(time.Second)
	h.submit(job("gang", describer.GangJob, describer.Standard, 4, size(4, 4)))
	require.Equal(t, 4, h.placed("gang"))
	h.release(task("gang", 0), false)
	h.release(task("gang", 1), false)
	h.submit(job("batch", describer.BatchJob, describer.Standard, 4, size(4, 4)))
	require.LessOrEqual(t, len(h.places), 4, "more than the probe")
	for id, place := range h.places {
		require.False(t, id.Job == "batch" && place.Server == "server-0", "the probe is used up")
	}
}

// TestReservationLeavesCapacityToOthers guards against gangs that wait for the end of a long run and reserve all backend
// servers until then, so that urgent gangs, services and batch tasks wait beside free capacity.
func TestReservationLeavesCapacityToOthers(t *testing.T) {
	h := newHarness(t, zone(8))
	long := job("long", describer.GangJob, describer.Standard, 8, size(5, 8))
	long.ExpectedSeconds = 100_000
	h.submit(long)
	require.Equal(t, 8, h.placed("long"))
	for number := range 4 {
		h.submit(job(strconv.Itoa(number), describer.GangJob, describer.Standard, 2, size(8, 8)))
	}
	h.wait(10 * time.Second)
	h.submit(job("urgent", describer.GangJob, describer.Urgent, 4, size(2, 2)))
	h.submit(job("service", describer.ServiceJob, describer.Standard, 1, size(2, 2)))
	h.submit(job("batch", describer.BatchJob, describer.Standard, 1, size(2, 2)))
	h.wait(time.Second)
	require.Equal(t, 4, h.placed("urgent"))
	require.Equal(t, 1, h.placed("service"))
	require.Equal(t, 1, h.placed("batch"))
}

// TestLateReservationYields guards against services and urgent jobs that wait for minutes behind the reservation of a
// standard gang job, which waits for tasks of unknown run time.
func TestLateReservationYields(t *testing.T) {
	const maxReservedFor = 11 * time.Minute
	for _, late := range []describer.Job{
		job("service", describer.ServiceJob, describer.Standard, 4, size(3, 2)),
		job("urgent gang", describer.GangJob, describer.Urgent, 4, size(3, 2)),
	} {
		t.Run(string(late.ID), func(t *testing.T) {
			h := newHarness(t, zone(8))
			h.submit(job("endless", describer.GangJob, describer.Standard, 8, size(5, 8)))
			require.Equal(t, 8, h.placed("endless"))
			h.wait(10 * time.Minute)
			small := job("small", describer.BatchJob, describer.Standard, 40, size(1, 1))
			small.ExpectedSeconds = 10
			load := h.stream(small)
			load.run(5*time.Second, never)
			h.submit(job("gang", describer.GangJob, describer.Standard, 8, size(8, 8)))
			load.run(5*time.Second, never)
			h.submit(late)
			load.run(30*time.Second, func() bool { return h.placed(late.ID) == 4 })
			require.Equal(t, 4, h.placed(late.ID))
			for index := range 8 {
				h.release(task("endless", index), true)
			}
			for index := range 4 {
				h.release(task(string(late.ID), index), true)
			}
			load.run(maxReservedFor, func() bool { return h.placed("gang") == 8 })
			require.Equal(t, 8, h.placed("gang"), "the earlier holder")
		})
	}
}
