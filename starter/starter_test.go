package starter_test

import (
	"testing"

	"pgregory.net/rapid"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/starter"
)

func mixedJobs() []describer.Job {
	small := describer.Resources{MilliCores: 1000, MemoryBytes: 1 << 30}
	large := describer.Resources{MilliCores: 2000, MemoryBytes: 1 << 30}
	return []describer.Job{
		{ID: "service", Policy: describer.ServiceJob, Class: describer.Standard, Tasks: 3, PerTask: small, MaxAttempts: 99},
		{ID: "batch", Policy: describer.BatchJob, Class: describer.Deferrable, Tasks: 20, PerTask: small, ExpectedSeconds: 60, MaxAttempts: 99},
		{ID: "gang", Policy: describer.GangJob, Class: describer.Standard, Tasks: 4, PerTask: large, ExpectedSeconds: 60, MaxAttempts: 99},
		{ID: "urgent", Policy: describer.BatchJob, Class: describer.Urgent, Tasks: 2, PerTask: large, ExpectedSeconds: 30, MaxAttempts: 99},
	}
}

// TestInvariantsHoldUnderFaults guards against exceeded capacity, a task that runs twice or is lost, a start that is
// sent before its commit, and a gang job that stays partially started, under single, combined and repeated faults.
func TestInvariantsHoldUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t, 6, mixedJobs())
		pick := func(t *rapid.T) *backend {
			return sim.backends[rapid.IntRange(0, len(sim.backends)-1).Draw(t, "server")]
		}
		t.Repeat(map[string]func(*rapid.T){
			// Time passes after each action, so that leases expire between faults.
			"": func(t *rapid.T) {
				for range rapid.IntRange(1, 30).Draw(t, "steps") {
					sim.step()
				}
			},
			"ownerDies":        func(*rapid.T) { sim.leader().paused = true; sim.takeOver() },
			"ownerPauses":      func(*rapid.T) { sim.leader().paused = true },
			"ownersResume":     func(*rapid.T) { sim.resume() },
			"takeOverFromLive": func(*rapid.T) { sim.takeOver() },
			"storeFails":       func(*rapid.T) { sim.storeDown = true },
			"storeReturns":     func(*rapid.T) { sim.storeDown = false },
			"storeAnswersLost": func(t *rapid.T) { sim.lostStoreResponses = rapid.IntRange(1, 10).Draw(t, "groups") },
			"answersLost":      func(t *rapid.T) { sim.lostCallResponses = rapid.IntRange(1, 20).Draw(t, "answers") },
			"serverPartitions": func(t *rapid.T) { pick(t).partitioned = true },
			"serverRejoins":    func(t *rapid.T) { pick(t).partitioned = false },
			"serverDies":       func(t *rapid.T) { sim.failServer(pick(t)) },
			"serverReturns":    func(t *rapid.T) { sim.restartServer(pick(t)) },
			"serverFailsAll":   func(t *rapid.T) { b := pick(t); b.failsAll = !b.failsAll },
		})
		sim.clearFaults()
		for range 1600 {
			sim.step()
		}
		sim.checkConverged()
	})
}

func (sim *simulation) resume() {
	for _, m := range sim.members {
		m.paused = false
	}
}

func (sim *simulation) failServer(b *backend) {
	b.State = describer.Gone
	clear(b.tasks)
	sim.send(sim.leader(), starter.ServersChanged{Servers: sim.list()})
}

func (sim *simulation) restartServer(b *backend) {
	if b.State != describer.Gone {
		return
	}
	b.State = describer.Live
	sim.send(sim.leader(), starter.ServersChanged{Servers: sim.list()})
}

func (sim *simulation) clearFaults() {
	sim.resume()
	sim.storeDown, sim.lostCallResponses, sim.lostStoreResponses = false, 0, 0
	for _, b := range sim.backends {
		b.partitioned, b.failsAll = false, false
		sim.restartServer(b)
	}
	sim.send(sim.leader(), starter.ServersChanged{Servers: sim.list()})
}

// checkConverged asserts that no task was lost: services run, all other tasks have ended.
func (sim *simulation) checkConverged() {
	for _, j := range sim.jobs {
		for index := range j.Tasks {
			id := describer.TaskID{Job: j.ID, Index: index}
			state, attempt := sim.leader().starter.StateOf(id)
			want := starter.Ended
			if j.Policy == describer.ServiceJob {
				want = starter.Running
			}
			if state != want {
				sim.t.Fatalf("task %v is %s at attempt %d after all faults were healed", id, state, attempt)
			}
		}
	}
	if running := sim.runningOf("service"); running != 3 {
		sim.t.Fatalf("%d service tasks run", running)
	}
}
