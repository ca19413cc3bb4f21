package conductor

import (
	"egretring.example/egretring/lifecycler"
	"egretring.example/egretring/specifier"
)

// A finished job, mostly one that fails or is cancelled, is in the store as such while runs of it are still being stopped. Its record
// names these runs, so that the next owner counts them for their team although it no longer knows the steps of the job. The record is
// written again when the last of them has ended.

// countedOf returns the team of a task and what a run of it takes of the team's limit. Without the job neither is known.
func (c *Conductor) countedOf(task specifier.TaskID) (string, specifier.Resources) {
	j := c.jobs[task.Job]
	if j == nil || task.Step >= len(j.Spec.Steps) {
		return "", specifier.Resources{}
	}
	return j.Spec.Team, j.Spec.Steps[task.Step].Need
}

// remainingOf returns the runs of a finished job of a team that may still exist, or nil. A completed job has some if an earlier run of a
// task, which was found again, is being stopped; the members of a gang end together.
func (c *Conductor) remainingOf(j *job) *lifecycler.Remaining {
	if !j.State().Final() {
		return nil
	}
	// A restored job that has finished does not know its team.
	team := ""
	var runs []lifecycler.RemainingRun
	for s := range c.runs[j.Spec.ID] {
		for _, a := range s.allocations {
			if a.task.Job != j.Spec.ID || a.team == "" || a.state == reserved {
				continue
			}
			if j.State() == specifier.Completed && a.state == confirmed && j.inGang(a.task) {
				continue
			}
			team = a.team
			runs = append(runs, lifecycler.RemainingRun{Server: s.id, Task: a.task, Run: a.run, Need: a.counted})
		}
	}
	j.remains = j.remains || len(runs) > 0
	return lifecycler.NewRemaining(team, runs)
}

// restoreRemaining counts the runs that the record of a finished job names, and stops them. The first report of each server shows which
// of them exist.
func (c *Conductor) restoreRemaining(j *job) {
	remaining := j.Remaining()
	if remaining == nil {
		return
	}
	j.remains = true
	for _, runs := range remaining.Runs {
		s := c.session(runs.Server)
		id := specifier.StepID{Job: j.Spec.ID, Occurrence: runs.Occurrence, Step: runs.Step}
		for _, index := range runs.Tasks {
			if s.allocations[id.Task(index)] != nil {
				continue
			}
			a := &allocation{
				task: id.Task(index), run: runs.Run, need: runs.Need, state: confirmed, startedAt: c.startedAt,
				team: remaining.Team, counted: runs.Need, remaining: true,
			}
			s.add(a)
			a.stopping, s.stops = true, true
		}
	}
}

// rewriteSettled makes the record of a finished job due again that names runs which no longer exist, once none is left.
func (c *Conductor) rewriteSettled(id specifier.JobID) {
	j := c.jobs[id]
	if j != nil && j.remains && !j.deleting && len(c.runs[id]) == 0 {
		j.remains = false
		c.markDirty(j)
	}
}
