package accountant

import (
	"fmt"

	"egretring.example/egretring/classifier"
	"egretring.example/egretring/specifier"
)

// Check returns an error of the kind BadRequest for a job that its team may never run: the members of a gang together, or a single task,
// need more than the limit.
func Check(teams specifier.Teams, job specifier.Job) error {
	team, known := teams.Named(job.Team)
	if !known {
		return nil
	}
	for i, step := range job.Steps {
		tasks, subject := 1, "task"
		if step.Gang {
			tasks, subject = step.Count, fmt.Sprintf("gang of %d", step.Count)
		}
		if need := step.Need.Times(tasks); isBeyond(need, team.MaxRunning) {
			return classifier.New(classifier.BadRequest, "step %d: a %s needs %s; team %s may run %s at a time",
				i, subject, Text(need, team.MaxRunning), team.Name, Text(team.MaxRunning, team.MaxRunning))
		}
	}
	return nil
}
