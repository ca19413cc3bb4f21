package conductor

import (
	"slices"

	"egretring.example/egretring/lifecycler"
	"egretring.example/egretring/specifier"
)

// orphans are the tasks of a job of which a server runs an orphan, as after a late start. They start again once it has ended.
type orphans map[specifier.TaskID]bool

// orphansOf returns the tasks of a job that have orphans.
func (c *Conductor) orphansOf(j *job) orphans {
	if !j.hasOrphans {
		return nil
	}
	found := make(orphans)
	for s := range c.runs[j.Spec.ID] {
		for id, a := range s.allocations {
			if a.orphan && id.Job == j.Spec.ID {
				found[id] = true
			}
		}
	}
	j.hasOrphans = len(found) > 0
	return found
}

// without removes the tasks with orphans from the waiting tasks of a step: all of them if the step is a gang.
func (o orphans) without(step *lifecycler.Step, waiting []int) []int {
	if len(o) == 0 {
		return waiting
	}
	all := len(waiting)
	waiting = slices.DeleteFunc(waiting, func(index int) bool { return o[step.ID.Task(index)] })
	if step.Spec.Gang && len(waiting) < all {
		return nil
	}
	return waiting
}
