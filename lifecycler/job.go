package lifecycler

import (
	"time"

	"egretring.example/egretring/specifier"
)

// Job is an accepted job and the state of its tasks.
type Job struct {
	Spec specifier.Job

	state  specifier.JobState
	rounds map[int]*round
	// next is the first occurrence that has not begun.
	next     int
	finished int
	begun    bool
	// version counts the changes; committed is the newest version that the store has.
	version   uint64
	committed uint64
	// shown is the final state once the store has it.
	shown   specifier.JobState
	finalAt time.Time
}

type round struct {
	steps []*Step
}

// New returns a job whose tasks have not begun.
func New(spec specifier.Job) *Job {
	return &Job{Spec: spec, rounds: make(map[int]*round)}
}

// State returns the present state, which the store may not have yet.
func (j *Job) State() specifier.JobState {
	return j.state
}

// ShownState returns the state to show to callers: final states only when the store has them.
func (j *Job) ShownState() specifier.JobState {
	if j.shown.Final() {
		return j.shown
	}
	if j.begun {
		return specifier.Running
	}
	return specifier.Queued
}

// FinalAt returns when the job reached its final state.
func (j *Job) FinalAt() time.Time {
	return j.finalAt
}

// Begun reports whether any task is known to have started.
func (j *Job) Begun() bool {
	return j.begun
}

// Version returns the number of the newest change.
func (j *Job) Version() uint64 {
	return j.version
}

// Committed returns the newest version that the store has.
func (j *Job) Committed() uint64 {
	return j.committed
}

// Commit notes that the store has a version, written when the job had the given state.
func (j *Job) Commit(version uint64, state specifier.JobState) {
	j.committed = max(j.committed, version)
	if state.Final() {
		j.shown = state
	}
}

// NextDue returns when the next occurrence may begin.
func (j *Job) NextDue() (time.Time, bool) {
	if j.state.Final() || j.next >= j.Spec.Rounds() {
		return time.Time{}, false
	}
	return j.Spec.DueAt(j.next), true
}

// BeginDue begins all occurrences that are due.
func (j *Job) BeginDue(now time.Time) {
	for {
		due, ok := j.NextDue()
		if !ok || due.After(now) {
			return
		}
		j.round(j.next)
	}
}

func (j *Job) round(occurrence int) *round {
	if known := j.rounds[occurrence]; known != nil {
		return known
	}
	created := &round{}
	for i, spec := range j.Spec.Steps {
		id := specifier.StepID{Job: j.Spec.ID, Occurrence: occurrence, Step: i}
		created.steps = append(created.steps, &Step{ID: id, Spec: spec, Tasks: make([]Task, spec.Count)})
	}
	j.rounds[occurrence] = created
	j.next = max(j.next, occurrence+1)
	return created
}

// Step returns a step that has begun.
func (j *Job) Step(id specifier.StepID) (*Step, bool) {
	known := j.rounds[id.Occurrence]
	if known == nil || id.Step >= len(known.steps) {
		return nil, false
	}
	return known.steps[id.Step], true
}

// ReadySteps returns the unfinished steps whose predecessors are done.
func (j *Job) ReadySteps() []*Step {
	if j.state.Final() {
		return nil
	}
	var ready []*Step
	for occurrence := range j.next {
		known := j.rounds[occurrence]
		if known == nil {
			continue
		}
		for _, step := range known.steps {
			if !step.Finished() && known.follows(step.Spec.After) {
				ready = append(ready, step)
			}
		}
	}
	return ready
}

func (r *round) follows(after []int) bool {
	for _, i := range after {
		if !r.steps[i].Finished() {
			return false
		}
	}
	return true
}

func (r *round) finished() bool {
	for _, step := range r.steps {
		if !step.Finished() {
			return false
		}
	}
	return true
}

// RemainingTime returns the longest chain of estimated run times from a step on.
func (j *Job) RemainingTime(step int) time.Duration {
	chain := make([]time.Duration, len(j.Spec.Steps))
	for i := len(j.Spec.Steps) - 1; i >= 0; i-- {
		longest := time.Duration(0)
		for later := i + 1; later < len(j.Spec.Steps); later++ {
			for _, before := range j.Spec.Steps[later].After {
				if before == i {
					longest = max(longest, chain[later])
				}
			}
		}
		chain[i] = longest + j.Spec.Steps[i].Estimate
	}
	return chain[step]
}

// LongestChain returns the longest chain of estimated run times of an occurrence.
func (j *Job) LongestChain() time.Duration {
	longest := time.Duration(0)
	for i := range j.Spec.Steps {
		longest = max(longest, j.RemainingTime(i))
	}
	return longest
}
