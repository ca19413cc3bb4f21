package lifecycler

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"egretring.example/egretring/specifier"
)

// StartState is what is known of the start of a placed run. It is written with the next record of the job for another reason, except
// for Doubtful. So an owner that finds Unanswered in a record has to consider when the record was written.
type StartState int

// The states of a start.
const (
	// Answered starts have a response, or the server has reported the run.
	Answered StartState = iota
	// Unanswered starts are not sent yet, or wait for a response.
	Unanswered
	// Doubtful starts have got no response in time. They may be carried out late.
	Doubtful
)

// Written is when a record was written.
type Written struct {
	// Epoch is that of the owner.
	Epoch int64
	// Milliseconds are the time since the owner began, so that owners' clocks need not agree.
	Milliseconds int64
}

// IsWithin reports whether the record was written by the same owner as another one, at most a time before it.
func (w Written) IsWithin(other Written, limit time.Duration) bool {
	return w.Epoch != 0 && w.Epoch == other.Epoch && other.Milliseconds-w.Milliseconds <= limit.Milliseconds()
}

// Written returns when the record was written from which the job was restored.
func (j *Job) Written() Written {
	return j.written
}

// HasUnanswered reports whether the record has unanswered starts.
func (r Record) HasUnanswered() bool {
	if r.Compact != nil {
		return r.Compact.Unanswered != ""
	}
	return slices.ContainsFunc(r.Steps, func(s StepRecord) bool { return s.Unanswered != "" })
}

// NoteStart records what is known of the start of a run. It leaves the version unchanged. It reports whether that changed the job.
func (j *Job) NoteStart(task specifier.TaskID, run int, state StartState) bool {
	known := j.unfinishedTask(task)
	if known == nil || known.State != Placed || known.Run != run || known.Start == state {
		return false
	}
	known.Start = state
	return true
}

func (s *Step) restoreStarts(tasks string, state StartState) error {
	if tasks == "" {
		return nil
	}
	return eachInRanges(tasks, func(index int) error {
		if index < 0 || index >= len(s.Tasks) {
			return errors.Errorf("record of step %s names task %d of %d", s.ID, index, len(s.Tasks))
		}
		s.Tasks[index].Start = state
		return nil
	})
}
