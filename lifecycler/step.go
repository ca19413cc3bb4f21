package lifecycler

import (
	"slices"

	"egretring.example/egretring/specifier"
)

// Step is a step of one occurrence of a job.
type Step struct {
	ID    specifier.StepID
	Spec  specifier.Step
	Tasks []Task
	done  int
}

// Finished reports whether all tasks are done.
func (s *Step) Finished() bool {
	return s.done == len(s.Tasks)
}

// WaitingTasks returns the indexes of the tasks that wait for a start. It returns none for a gang of which only some
// tasks wait, because a gang starts only as a whole.
func (s *Step) WaitingTasks() []int {
	var waiting []int
	for i := range s.Tasks {
		if s.Tasks[i].State == Waiting {
			waiting = append(waiting, i)
		}
	}
	if s.Spec.Gang && len(waiting) < len(s.Tasks) {
		return nil
	}
	return waiting
}

// NextRun returns the number for the next run of a task. The members of a gang share one number.
func (s *Step) NextRun(index int) int {
	if !s.Spec.Gang {
		return s.Tasks[index].Run + 1
	}
	highest := 0
	for i := range s.Tasks {
		highest = max(highest, s.Tasks[i].Run)
	}
	return highest + 1
}

// SharedCheckpoint returns the checkpoint that a task resumes from. The members of a gang resume from the same one.
func (s *Step) SharedCheckpoint(index int) string {
	if !s.Spec.Gang {
		return s.Tasks[index].Checkpoint
	}
	return s.Tasks[0].Checkpoint
}

// setCheckpoint records the newest checkpoint; one from any member of a gang is valid for the whole gang, and kept in its first
// task.
func (s *Step) setCheckpoint(index int, checkpoint string) {
	if checkpoint == "" || !s.Spec.Checkpointing {
		return
	}
	if s.Spec.Gang {
		index = 0
	}
	s.Tasks[index].Checkpoint = checkpoint
}

// finish marks a task, or all tasks of a gang, as done.
func (s *Step) finish(index int) {
	if !s.Spec.Gang {
		if s.Tasks[index].State != Done {
			s.Tasks[index].State = Done
			s.done++
		}
		return
	}
	for i := range s.Tasks {
		s.Tasks[i].State = Done
	}
	s.done = len(s.Tasks)
}

// attempts returns how many runs of a task, or of the gang, have failed.
func (s *Step) attempts(index int) int {
	return len(s.failedRunsTask(index).FailedRuns)
}

// fail records a failed run once, however often its end is reported; a failed run of a gang counts once for all members.
func (s *Step) fail(index, run int) {
	task := s.failedRunsTask(index)
	if !slices.Contains(task.FailedRuns, run) {
		task.FailedRuns = append(task.FailedRuns, run)
	}
}

// failedRunsTask returns the task in which failed runs are recorded: the first one for a gang.
func (s *Step) failedRunsTask(index int) *Task {
	if s.Spec.Gang {
		return &s.Tasks[0]
	}
	return &s.Tasks[index]
}
