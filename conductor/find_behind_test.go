package conductor

import (
	"fmt"
	"testing"
	"time"

	"egretring.example/egretring/specifier"
)

// BenchmarkFindBehind measures a search for tasks that are far behind on 175 servers with 3,500 runs of 140 steps, of which none is. The owner
// makes four a second while speeds take effect.
func BenchmarkFindBehind(b *testing.B) {
	const servers, runs, tasks = 175, 20, 25
	now := time.Unix(1000, 0)
	c := newPassConductor(now, servers, "a")
	WithCheckpoints(2*time.Second, 250*time.Millisecond)(&c.settings)
	c.migrations = newMigrations(c.settings)
	c.speeds.inEffect = true
	sessions := c.orderedSessions()
	for i := range servers * runs {
		id := specifier.JobID(fmt.Sprintf("%016x", i/tasks))
		if i%tasks == 0 {
			step := specifier.Step{Count: tasks, Need: specifier.Resources{MilliCores: 1}, Estimate: time.Second, Checkpointing: true}
			c.Handle(now, JobArrived{Job: specifier.Job{ID: id, Queue: specifier.Queue{Service: "a"}, AcceptedAt: now, Steps: []specifier.Step{step}}})
		}
		step := specifier.StepID{Job: id}
		c.migrations.migrator.Observe(now, step, time.Second, 1)
		s := sessions[i%servers]
		s.add(&allocation{task: step.Task(i % tasks), run: 1, state: confirmed, answered: true, startedAt: now})
	}
	p := c.newPass(now.Add(time.Second))
	for b.Loop() {
		c.migrations.pass.next = time.Time{}
		c.migrate(p)
	}
}
