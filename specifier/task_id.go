package specifier

import (
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// JobID identifies a job; the caller chooses it.
type JobID string

// ServerID identifies a backend server.
type ServerID string

// StepID identifies a step of one occurrence of a job.
type StepID struct {
	Job        JobID
	Occurrence int
	Step       int
}

// String returns the step's name as used by the advice service and in logs.
func (id StepID) String() string {
	return string(id.Job) + "." + strconv.Itoa(id.Occurrence) + "." + strconv.Itoa(id.Step)
}

// Task returns the ID of a task of the step.
func (id StepID) Task(index int) TaskID {
	return TaskID{StepID: id, Index: index}
}

// TaskID identifies a task.
type TaskID struct {
	StepID
	Index int
}

// String returns the task's name as used by backend servers.
func (id TaskID) String() string {
	return id.StepID.String() + "." + strconv.Itoa(id.Index)
}

// taskIDParts is the number of dot-separated parts of a task's name.
const taskIDParts = 4

// ParseTaskID parses the name of a task.
func ParseTaskID(name string) (TaskID, error) {
	if parts := strings.Count(name, ".") + 1; parts != taskIDParts {
		return TaskID{}, errors.Errorf("task name %q has %d parts, not %d", name, parts, taskIDParts)
	}
	job, rest, _ := strings.Cut(name, ".")
	var numbers [taskIDParts - 1]int
	for i := range numbers {
		var part string
		part, rest, _ = strings.Cut(rest, ".")
		number, err := strconv.Atoi(part)
		if err != nil || number < 0 {
			return TaskID{}, errors.Errorf("task name %q has a part %q that is not a non-negative number", name, part)
		}
		numbers[i] = number
	}
	return StepID{Job: JobID(job), Occurrence: numbers[0], Step: numbers[1]}.Task(numbers[2]), nil
}
