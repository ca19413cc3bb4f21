package lifecycler

import (
	"time"

	"egretring.example/egretring/specifier"
)

// Job is an accepted job and the state of its tasks.
type Job struct {
	Spec specifier.Job

	state       specifier.JobState
	occurrences map[int]*occurrenceSteps
	// firstOpen is the first occurrence that is not finished; those before are not kept in occurrences.
	firstOpen int
	// nextOccurrence is the first occurrence that has not begun.
	nextOccurrence      int
	finishedOccurrences int
	// firstTasks has the number of the first task of each step, see CompactRecord, and tasks is their number in an occurrence.
	firstTasks []int
	tasks      int
	// paths has the length of the critical path from the start of each step.
	paths   []time.Duration
	started bool
	// version counts the changes; committed is the newest version that is in the store.
	version   uint64
	committed uint64
	// committedFinal is the final state once the store has it.
	committedFinal specifier.JobState
	finalAt        time.Time
	// remaining is that of the record that the job was restored from.
	remaining *Remaining
}

type occurrenceSteps struct {
	steps []*Step
	// finishedSteps is how many of the steps are finished.
	finishedSteps int
}

// New returns a job of which no occurrence has begun. A job that cannot run, see specifier.Job.Check, has failed and has no steps.
func New(spec specifier.Job) *Job {
	if spec.Check() != nil {
		spec.Steps = nil
		return &Job{Spec: spec, state: specifier.Failed, finalAt: spec.AcceptedAt, version: 1}
	}
	j := &Job{Spec: spec, occurrences: make(map[int]*occurrenceSteps), paths: criticalPaths(spec.Steps)}
	for _, step := range spec.Steps {
		j.firstTasks = append(j.firstTasks, j.tasks)
		j.tasks += step.Count
	}
	return j
}

// State returns the current state, which may not be in the store yet. It is Queued for all states that are not final.
func (j *Job) State() specifier.JobState {
	return j.state
}

// VisibleState returns the state to report to callers: a final state only once it is in the store.
func (j *Job) VisibleState() specifier.JobState {
	if j.committedFinal.Final() {
		return j.committedFinal
	}
	if j.started {
		return specifier.Running
	}
	return specifier.Queued
}

// FinalAt returns when the job reached its final state.
func (j *Job) FinalAt() time.Time {
	return j.finalAt
}

// Started reports whether any task is known to have started.
func (j *Job) Started() bool {
	return j.started
}

// Version returns the number of the newest change.
func (j *Job) Version() uint64 {
	return j.version
}

// Committed returns the newest version that is in the store.
func (j *Job) Committed() uint64 {
	return j.committed
}

// Commit records that a version is in the store, which was written when the job had the given state.
func (j *Job) Commit(version uint64, state specifier.JobState) {
	j.committed = max(j.committed, version)
	if state.Final() {
		j.committedFinal = state
	}
}

// NextDue returns when the next occurrence may begin; the zero time means immediately.
func (j *Job) NextDue() (time.Time, bool) {
	switch {
	case j.state.Final() || j.nextOccurrence >= j.Spec.OccurrenceCount():
		return time.Time{}, false
	case !j.Spec.Scheduled():
		return time.Time{}, true
	default:
		return j.Spec.DueAt(j.nextOccurrence), true
	}
}

// maxOpenTasks bounds the tasks of the occurrences that have begun and are not finished, if there are several.
const maxOpenTasks = 100_000

// BeginDue begins the occurrences that are due, and reports whether there were any. That of a job without a schedule always is,
// whatever the clock of the instance that accepted the job. Occurrences beyond maxOpenTasks wait for others to finish.
func (j *Job) BeginDue(now time.Time) bool {
	begun := false
	for {
		due, ok := j.NextDue()
		if !ok || due.After(now) || j.isFull() {
			return begun
		}
		j.ensureOccurrence(j.nextOccurrence)
		begun = true
	}
}

// isFull reports whether another occurrence would exceed maxOpenTasks.
func (j *Job) isFull() bool {
	open := j.nextOccurrence - j.finishedOccurrences
	return open > 0 && (open+1)*j.tasks > maxOpenTasks
}

func (j *Job) ensureOccurrence(occurrence int) *occurrenceSteps {
	if known := j.occurrences[occurrence]; known != nil {
		return known
	}
	created := &occurrenceSteps{}
	for i, spec := range j.Spec.Steps {
		id := specifier.StepID{Job: j.Spec.ID, Occurrence: occurrence, Step: i}
		created.steps = append(created.steps, &Step{ID: id, Spec: spec, Tasks: make([]Task, spec.Count)})
	}
	j.occurrences[occurrence] = created
	j.nextOccurrence = max(j.nextOccurrence, occurrence+1)
	return created
}

// Step returns a step that has begun.
func (j *Job) Step(id specifier.StepID) (*Step, bool) {
	known := j.occurrences[id.Occurrence]
	if known == nil || id.Step >= len(known.steps) {
		return nil, false
	}
	return known.steps[id.Step], true
}

// ReadySteps returns the unfinished steps of the occurrences that have begun whose predecessor steps are finished.
func (j *Job) ReadySteps() []*Step {
	if j.state.Final() {
		return nil
	}
	var ready []*Step
	for occurrence := j.firstOpen; occurrence < j.nextOccurrence; occurrence++ {
		known := j.occurrences[occurrence]
		if known == nil {
			continue
		}
		for _, step := range known.steps {
			if !step.Finished() && known.predecessorsFinished(step.Spec.After) {
				ready = append(ready, step)
			}
		}
	}
	return ready
}

func (o *occurrenceSteps) predecessorsFinished(after []int) bool {
	for _, i := range after {
		if !o.steps[i].Finished() {
			return false
		}
	}
	return true
}

func (o *occurrenceSteps) finished() bool {
	return o.finishedSteps == len(o.steps)
}
