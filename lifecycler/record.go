package lifecycler

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"egretring.example/egretring/specifier"
)

// Record is the progress of a job as kept in the store.
type Record struct {
	State specifier.JobState
	// Team is the team of the job. A final job has nothing but its record in the store.
	Team string `json:",omitempty"`
	// FinalAt is set with a final state.
	FinalAt time.Time    `json:",omitzero"`
	Steps   []StepRecord `json:",omitempty"`
	// Compact takes the place of Steps for a job with many tasks.
	Compact *CompactRecord `json:",omitempty"`
	// Remaining is set for a finished job of a team with runs that still exist.
	Remaining *Remaining `json:",omitempty"`
}

// StepRecord is the progress of a step.
type StepRecord struct {
	Occurrence int `json:",omitempty"`
	Step       int `json:",omitempty"`
	// Done is set when all tasks are done; Tasks is then empty.
	Done  bool         `json:",omitempty"`
	Tasks []TaskRecord `json:",omitempty"`
}

// TaskRecord is the progress of a task that was started at least once.
type TaskRecord struct {
	Index       int `json:",omitempty"`
	State       TaskState
	Run         int
	FailedRuns  []int              `json:",omitempty"`
	Server      specifier.ServerID `json:",omitempty"`
	Incarnation int64              `json:",omitempty"`
	Address     string             `json:",omitempty"`
	LongLease   bool               `json:",omitempty"`
	Checkpoint  string             `json:",omitempty"`
	Crashes     []Crash            `json:",omitempty"`
}

// Record returns the job's progress as a record.
func (j *Job) Record() Record {
	record := Record{State: j.state, Team: j.Spec.Team, FinalAt: j.finalAt}
	if j.startedTasks() > maxListedTasks {
		record.Compact = j.compactRecord()
		return record
	}
	for occurrence := range j.firstOpen {
		for i := range j.Spec.Steps {
			record.Steps = append(record.Steps, StepRecord{Occurrence: occurrence, Step: i, Done: true})
		}
	}
	for occurrence := j.firstOpen; occurrence < j.nextOccurrence; occurrence++ {
		known := j.occurrences[occurrence]
		if known == nil {
			continue
		}
		for i, step := range known.steps {
			if kept, ok := step.record(occurrence, i); ok {
				record.Steps = append(record.Steps, kept)
			}
		}
	}
	return record
}

func (s *Step) record(occurrence, index int) (StepRecord, bool) {
	kept := StepRecord{Occurrence: occurrence, Step: index, Done: s.Finished()}
	if kept.Done {
		return kept, true
	}
	for i, task := range s.Tasks {
		if task.Run == 0 {
			continue
		}
		kept.Tasks = append(kept.Tasks, TaskRecord{
			Index: i, State: task.State, Run: task.Run, FailedRuns: task.FailedRuns,
			Server: task.Server, Incarnation: task.Incarnation, Checkpoint: task.Checkpoint, Crashes: task.Crashes,
		})
		// Only an unknown end of the run makes the address and the lease matter.
		if task.State == Placed {
			last := &kept.Tasks[len(kept.Tasks)-1]
			last.Address, last.LongLease = task.Address, task.LongLease
		}
	}
	return kept, len(kept.Tasks) > 0
}

// Encode returns the record's value for the store.
func (r Record) Encode() ([]byte, error) {
	value, err := json.Marshal(r)
	return value, errors.Wrap(err, "encode job record")
}

// DecodeRecord reads a record's value from the store.
func DecodeRecord(value []byte) (Record, error) {
	var record Record
	err := json.Unmarshal(value, &record)
	return record, errors.Wrap(err, "decode job record")
}

// Restore returns a job with the progress of its record from the store.
func Restore(spec specifier.Job, record Record) (*Job, error) {
	j := New(spec)
	if record.State.Final() {
		j.state, j.committedFinal, j.finalAt = record.State, record.State, record.FinalAt
		j.started, j.remaining = true, record.Remaining
		return j, nil
	}
	if j.state.Final() {
		return j, nil
	}
	if record.Compact != nil {
		if err := j.restoreCompact(record.Compact); err != nil {
			return nil, err
		}
	}
	for _, kept := range record.Steps {
		if kept.Step >= len(spec.Steps) || kept.Step < 0 || kept.Occurrence < 0 || kept.Occurrence >= spec.OccurrenceCount() {
			return nil, errors.Errorf("record of job %s names step %d of occurrence %d", spec.ID, kept.Step, kept.Occurrence)
		}
		step := j.ensureOccurrence(kept.Occurrence).steps[kept.Step]
		if err := step.restore(kept); err != nil {
			return nil, err
		}
	}
	// An occurrence without a record may precede one with a record; ensureOccurrence creates it.
	for occurrence := j.firstOpen; occurrence < j.nextOccurrence; occurrence++ {
		known := j.ensureOccurrence(occurrence)
		for _, step := range known.steps {
			j.started = j.started || step.hasRun()
			if step.Finished() {
				known.finishedSteps++
			}
		}
		if known.finished() {
			j.finishedOccurrences++
		}
	}
	j.dropFinished()
	return j, nil
}

func (s *Step) restore(kept StepRecord) error {
	if kept.Done {
		for i := range s.Tasks {
			s.Tasks[i].State = Done
		}
		s.done = len(s.Tasks)
		return nil
	}
	for _, task := range kept.Tasks {
		if task.Index < 0 || task.Index >= len(s.Tasks) {
			return errors.Errorf("record of step %s names task %d of %d", s.ID, task.Index, len(s.Tasks))
		}
		s.Tasks[task.Index] = Task{
			State: task.State, Run: task.Run, FailedRuns: task.FailedRuns, Server: task.Server,
			Incarnation: task.Incarnation, Address: task.Address, LongLease: task.LongLease, Checkpoint: task.Checkpoint,
			Crashes: task.Crashes,
		}
		if task.State == Done {
			s.done++
		}
	}
	return nil
}

// hasRun reports whether the state restored from the record shows that a task has run.
func (s *Step) hasRun() bool {
	for _, task := range s.Tasks {
		if task.State == Done || len(task.FailedRuns) > 0 || len(task.Crashes) > 0 || task.Checkpoint != "" {
			return true
		}
	}
	return false
}
