package conductor

import (
	"time"

	"egretring.example/egretring/lifecycler"
	"egretring.example/egretring/specifier"
)

// restoreAllocations allocates the capacity of a restored job's recorded runs.
func (c *Conductor) restoreAllocations(j *job) {
	for _, step := range j.ReadySteps() {
		for i := range step.Tasks {
			task := step.Tasks[i]
			if task.State != lifecycler.Placed {
				continue
			}
			s := c.session(task.Server)
			s.add(&allocation{
				task: step.ID.Task(i), run: task.Run, need: step.Spec.Occupies(), state: confirmed, startedAt: c.startedAt,
				incarnation: task.Incarnation, address: task.Address, longLease: task.LongLease,
				recorded: recordedStart{state: task.Start, written: j.Written()},
				team:     j.Spec.Team, counted: step.Spec.Need,
			})
		}
	}
}

// Restore adds a job whose progress was read from the store.
func (c *Conductor) Restore(now time.Time, restored *lifecycler.Job) {
	restored.Spec = restored.Spec.WithAcceptedAt(acceptedAt(now, JobArrived{Job: restored.Spec}))
	j := c.addJob(restored)
	c.restoredStarts.add(restored.Written())
	if j.State().Final() {
		j.retainedSince = now
		c.restoreRemaining(j)
		if j.Committed() < j.Version() {
			c.markDirty(j)
			c.logDecision("JobInvalid", specifier.TaskID{StepID: specifier.StepID{Job: restored.Spec.ID}}, 0, "", "the stored job cannot run")
		}
		return
	}
	c.restoreAllocations(j)
	c.restoreDoubts(now, j)
	j.paid, j.begun = j.Started(), j.Started()
	j.BeginDue(now)
	c.markStale(j)
	c.logDecision("JobRestored", specifier.TaskID{StepID: specifier.StepID{Job: restored.Spec.ID}}, 0, "", "")
}
