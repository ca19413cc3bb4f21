package scheduler_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/fakebackend"
	"egretring.example/egretring/fakekeeper"
	"egretring.example/egretring/reporter"
	"egretring.example/egretring/ticketer"
)

const (
	zoneA describer.AvailabilityZoneID = "hala-a"
	zoneB describer.AvailabilityZoneID = "hala-b"
)

func job(id describer.JobID, policy describer.JobPolicy, tasks int) describer.Job {
	return describer.Job{
		ID: id, Team: "floor", Class: describer.Standard, Policy: policy, Tasks: tasks,
		PerTask: taskSize,
	}
}

// configured returns a state with a service, a batch and a gang job that together fill three quarters of one zone.
func configured() ticketer.State {
	var state ticketer.State
	for _, each := range []describer.Job{
		job("web", describer.ServiceJob, 4), job("night", describer.BatchJob, 4), job("train", describer.GangJob, 4),
	} {
		state = state.WithJob(each.ID, &each)
	}
	quota := describer.Quota{Team: "floor", Limit: describer.Resources{MilliCores: 12_000, MemoryBytes: 12 << 30}}
	return state.WithQuota(quota.Team, &quota).WithApplied(1)
}

// moderateUse keeps the real use of the backend servers below the share at which tasks are throttled or evicted.
var moderateUse = fakebackend.WithTaskUse(0.6, 0.7)

const (
	// faultSeconds is the period during which faults begin and end.
	faultSeconds = 130
	randomSeeds  = 12
)

// fault is one fault of a case; it ends after Seconds, or never when that is zero.
type fault struct {
	AtSeconds int
	Kind      string
	Seconds   int
	Count     int
	Server    int
}

type faultCase struct {
	Name   string
	Faults []fault
}

func readCases(t *testing.T) []faultCase {
	content, err := os.ReadFile("testdata/faults.json")
	require.NoError(t, err)
	var cases []faultCase
	require.NoError(t, json.Unmarshal(content, &cases))
	return cases
}

// inject begins a fault and returns the function that ends it.
func (c *cell) inject(t *testing.T, f fault) func() {
	placing := c.placingMember(zoneA)
	server := c.servers[f.Server].ID
	switch f.Kind {
	case "Kill":
		// During a takeover there is no placing member; then any live member of the zone is stopped.
		if placing == nil {
			placing = c.liveMember(zoneA)
		}
		placing.stop()
	case "Pause":
		if placing == nil {
			placing = c.liveMember(zoneA)
		}
		placing.pause()
		return placing.resume
	case "LoseWrites":
		c.store.SetFaults(fakekeeper.Faults{LoseWriteResponses: f.Count})
	case "StoreDown":
		c.store.SetFaults(fakekeeper.Faults{Down: true})
		return func() { c.store.SetFaults(fakekeeper.Faults{}) }
	case "StoreSlow":
		c.store.SetFaults(fakekeeper.Faults{Delay: 5 * time.Second})
		return func() { c.store.SetFaults(fakekeeper.Faults{}) }
	case "ServerDown":
		c.setDown(server, true)
		return func() { c.setDown(server, false) }
	case "ServerSlow":
		c.setSlow(server, true)
		return func() { c.setSlow(server, false) }
	case "CutZone":
		c.partitionZone(zoneA, true)
		return func() { c.partitionZone(zoneA, false) }
	default:
		require.Fail(t, "unknown fault", f.Kind)
	}
	return func() {}
}

func (c *cell) partitionZone(zone describer.AvailabilityZoneID, partitioned bool) {
	for _, m := range c.members {
		if m.zone == zone {
			m.setPartitioned(partitioned)
		}
	}
}

// allRunning is the number of tasks of each job of configured.
var allRunning = map[describer.JobID]int{"web": 4, "night": 4, "train": 4}

// TestTasksSurviveFaults guards against tasks that run twice, are lost or exceed the capacity of a backend server, and
// against a gang job that runs in part, during and after the faults of each case of the data file.
func TestTasksSurviveFaults(t *testing.T) {
	for _, each := range readCases(t) {
		t.Run(each.Name, func(t *testing.T) {
			t.Parallel()
			runFaults(t, each.Faults)
		})
	}
}

// TestTasksSurviveRandomFaults guards against the same failures as TestTasksSurviveFaults, with three faults at random
// times from fixed seeds.
func TestTasksSurviveRandomFaults(t *testing.T) {
	kinds := []fault{
		{Kind: "Pause", Seconds: 25},
		{Kind: "Pause", Seconds: 5},
		{Kind: "LoseWrites", Count: 6},
		{Kind: "StoreDown", Seconds: 40},
		{Kind: "StoreSlow", Seconds: 20},
		{Kind: "ServerDown", Seconds: 70},
		{Kind: "ServerDown", Seconds: 20},
		{Kind: "ServerSlow", Seconds: 40},
		{Kind: "CutZone", Seconds: 50},
	}
	for seed := range uint64(randomSeeds) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(seed, 0))
			// At most one member is killed, so that the zone keeps two of its three.
			faults := []fault{{Kind: "Kill", AtSeconds: random.IntN(60)}}
			for range 2 {
				chosen := kinds[random.IntN(len(kinds))]
				chosen.AtSeconds = random.IntN(60)
				faults = append(faults, chosen)
			}
			t.Logf("faults: %+v", faults)
			runFaults(t, faults)
		})
	}
}

// runFaults lets the jobs start, injects the faults, and requires that all tasks run after the recovery time.
func runFaults(t *testing.T, faults []fault) {
	runCell(t, []describer.AvailabilityZoneID{zoneA}, configured(), func(t *testing.T, c *cell) {
		require.Equal(t, allRunning, c.running(), "before the faults")
		began := time.Now()
		for second := range faultSeconds {
			for _, f := range faults {
				if f.AtSeconds == second {
					end := c.inject(t, f)
					if f.Seconds > 0 {
						time.AfterFunc(time.Duration(f.Seconds)*time.Second, end)
					}
				}
			}
			c.advance(time.Until(began.Add(time.Duration(second+1) * time.Second)))
		}
		c.advance(recoveryTime)
		require.Equal(t, allRunning, c.running(), "after the faults")
	})
}

// TestPartitionedZoneKeepsTasks guards against a zone that is partitioned from the store and lets the leases of its
// tasks expire or starts new tasks, and against one that starts nothing after the partition has ended.
func TestPartitionedZoneKeepsTasks(t *testing.T) {
	runCell(t, []describer.AvailabilityZoneID{zoneA, zoneB}, configured(), func(t *testing.T, c *cell) {
		before := c.started()
		c.partitionZone(zoneA, true)
		c.advance(10 * time.Second)
		added := job("more", describer.BatchJob, 2)
		added.AvailabilityZones = []describer.AvailabilityZoneID{zoneA}
		quota := describer.Quota{Team: "floor", Limit: describer.Resources{MilliCores: 20_000, MemoryBytes: 20 << 30}}
		c.apply(func(s ticketer.State) ticketer.State { return s.WithJob(added.ID, &added).WithQuota("floor", &quota) })
		c.advance(2 * time.Minute)
		require.Equal(t, before, c.started())
		require.Equal(t, map[describer.JobID]int{"web": 4, "night": 4, "train": 4}, c.running())
		c.partitionZone(zoneA, false)
		c.advance(recoveryTime)
		require.Equal(t, 2, c.running()["more"])
		require.Equal(t, before+2, c.started())
	}, moderateUse)
}

// TestWithdrawnJobStopsRunning guards against tasks that keep running after their job was withdrawn, also when the
// placing member of their zone changes meanwhile, and against a later job of the same name that does not start.
func TestWithdrawnJobStopsRunning(t *testing.T) {
	runCell(t, []describer.AvailabilityZoneID{zoneA}, configured(), func(t *testing.T, c *cell) {
		c.placingMember(zoneA).stop()
		c.apply(func(s ticketer.State) ticketer.State { return s.WithJob("web", nil) })
		c.advance(recoveryTime)
		require.Equal(t, map[describer.JobID]int{"night": 4, "train": 4}, c.running())
		web := job("web", describer.ServiceJob, 2)
		c.apply(func(s ticketer.State) ticketer.State { return s.WithJob("web", &web) })
		c.advance(settleTime)
		require.Equal(t, 2, c.running()["web"])
	})
}

// TestTasksLeaveDrainedZone guards against tasks that start in another zone before they have ended in the drained one,
// and against tasks that stay in the drained zone.
func TestTasksLeaveDrainedZone(t *testing.T) {
	runCell(t, []describer.AvailabilityZoneID{zoneA, zoneB}, configured(), func(t *testing.T, c *cell) {
		c.apply(func(s ticketer.State) ticketer.State { return s.WithDrainedZone(zoneA, &ticketer.DrainedZone{}) })
		c.advance(recoveryTime)
		require.Equal(t, map[describer.JobID]int{"web": 4, "night": 4, "train": 4}, c.running())
		for _, server := range c.servers[:zoneServers] {
			report, err := c.backends[server.ID].Usage(context.Background())
			require.NoError(t, err)
			for _, task := range report.Tasks {
				require.False(t, task.State.IsActive(), "%s still runs %s", server.ID, task.Task)
			}
		}
	})
}

// TestViewsAreCompleteOnEveryMember guards against members that do not report where the tasks of their zone run, and
// against a job that can never run and is shown without a reason.
func TestViewsAreCompleteOnEveryMember(t *testing.T) {
	state := configured()
	large := job("large", describer.BatchJob, 1)
	large.PerTask.MilliCores = 64_000
	runCell(t, []describer.AvailabilityZoneID{zoneA}, state.WithJob("large", &large), func(t *testing.T, c *cell) {
		ctx := context.Background()
		for _, m := range c.members {
			tasks, err := m.scheduler.Tasks(ctx, reporter.TaskQuery{Job: "web"})
			require.NoError(t, err)
			require.Len(t, tasks, 4)
			for _, task := range tasks {
				require.Equal(t, "Running", task.State)
				require.NotEmpty(t, task.BackendServer)
			}
			jobs, err := m.scheduler.Jobs(ctx)
			require.NoError(t, err)
			require.Len(t, jobs, 4)
			require.Contains(t, jobs[0].NeverRuns, "NoServerLargeEnough")
			require.Equal(t, 4, jobs[3].Running)
			teams, err := m.scheduler.Teams(ctx)
			require.NoError(t, err)
			require.Equal(t, int64(12_000), teams[0].Used.MilliCores)
			reasons, err := m.scheduler.Reasons(ctx, "large/0")
			require.NoError(t, err)
			require.Contains(t, reasons[0].Text, "can never run")
		}
		reasons, err := c.placingMember(zoneA).scheduler.Reasons(ctx, "web/1")
		require.NoError(t, err)
		require.Contains(t, reasons[0].Text, "Running on backend server")
	})
}
