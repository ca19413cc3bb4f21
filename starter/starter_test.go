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

// TestFaults guards against capacity exceeded, a task that runs twice or is lost, a start before its commit, and a
// gang job that stays started in part, under faults alone, together and repeated.
func TestFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, 6, mixedJobs())
		pick := func(t *rapid.T) *backend { return w.backends[rapid.IntRange(0, len(w.backends)-1).Draw(t, "server")] }
		t.Repeat(map[string]func(*rapid.T){
			// Time passes after each action, so that leases expire between faults.
			"": func(t *rapid.T) {
				for range rapid.IntRange(1, 30).Draw(t, "steps") {
					w.step()
				}
			},
			"ownerDies":        func(*rapid.T) { w.leader().paused = true; w.takeOver() },
			"ownerPauses":      func(*rapid.T) { w.leader().paused = true },
			"ownersResume":     func(*rapid.T) { w.resume() },
			"takeOverFromLive": func(*rapid.T) { w.takeOver() },
			"storeFails":       func(*rapid.T) { w.storeOff = true },
			"storeReturns":     func(*rapid.T) { w.storeOff = false },
			"storeAnswersLost": func(t *rapid.T) { w.loseStore = rapid.IntRange(1, 10).Draw(t, "groups") },
			"answersLost":      func(t *rapid.T) { w.loseCall = rapid.IntRange(1, 20).Draw(t, "answers") },
			"serverPartitions": func(t *rapid.T) { pick(t).partitioned = true },
			"serverRejoins":    func(t *rapid.T) { pick(t).partitioned = false },
			"serverDies":       func(t *rapid.T) { w.kill(pick(t)) },
			"serverReturns":    func(t *rapid.T) { w.revive(pick(t)) },
			"serverFailsAll":   func(t *rapid.T) { b := pick(t); b.failsAll = !b.failsAll },
		})
		w.heal()
		for range 1600 {
			w.step()
		}
		w.checkConverged()
	})
}

func (w *world) resume() {
	for _, m := range w.members {
		m.paused = false
	}
}

func (w *world) kill(b *backend) {
	b.State = describer.Gone
	clear(b.tasks)
	w.send(w.leader(), starter.ServersChanged{Servers: w.list()})
}

func (w *world) revive(b *backend) {
	if b.State != describer.Gone {
		return
	}
	b.State = describer.Live
	w.send(w.leader(), starter.ServersChanged{Servers: w.list()})
}

func (w *world) heal() {
	w.resume()
	w.storeOff, w.loseCall, w.loseStore = false, 0, 0
	for _, b := range w.backends {
		b.partitioned, b.failsAll = false, false
		w.revive(b)
	}
	w.send(w.leader(), starter.ServersChanged{Servers: w.list()})
}

// checkConverged asserts that no task was lost: services run, all other tasks have ended.
func (w *world) checkConverged() {
	for _, j := range w.jobs {
		for index := range j.Tasks {
			id := describer.TaskID{Job: j.ID, Index: index}
			state, attempt := w.leader().core.StateOf(id)
			want := starter.Ended
			if j.Policy == describer.ServiceJob {
				want = starter.Running
			}
			if state != want {
				w.t.Fatalf("task %v is %s at attempt %d after all faults were healed", id, state, attempt)
			}
		}
	}
	if running := w.runningOf("service"); running != 3 {
		w.t.Fatalf("%d service tasks run", running)
	}
}
