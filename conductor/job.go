package conductor

import (
	"time"

	"egretring.example/egretring/lifecycler"
	"egretring.example/egretring/specifier"
)

// job is a job with its state machine and what the conductor needs to place and commit it.
type job struct {
	*lifecycler.Job
	queue specifier.Queue
	dirty bool
	// stale is set while the job's waiting steps are out of date.
	stale    bool
	inFlight bool
	// writeNotBefore is the earliest time of the next write of the record. A record is encoded and sent whole, so that one of many
	// tasks would otherwise take the owner's processor and link.
	writeNotBefore time.Time
	// writtenAlone is set after the store did not accept a write with the records of several jobs, until it has this one.
	writtenAlone bool
	// blockedUntil is when the job is tried again after the store did not accept its record. It gets no new runs meanwhile.
	blockedUntil time.Time
	// deleting is set while the job's keys are being deleted from the store.
	deleting bool
	// reserved are the placed runs whose start waits for the commit of their record.
	reserved     []*reservation
	waitingSteps []*waitingStep
	advice       map[specifier.StepID]*advice
	// avoid are servers on which a run of the job failed.
	avoid map[specifier.ServerID]bool
	// trial is where the last suspect of the job was placed; nil if there was none.
	trial *session
	// suspectsNotBefore is the earliest time of the next start of the job's suspects.
	suspectsNotBefore time.Time
	// wavedPaths has the length of the critical path from the start of each step with the waves that the limit of the team makes; nil if
	// there are none.
	wavedPaths []time.Duration
	// remains is set while the record of the finished job names runs that may still exist.
	remains bool
	// retainedSince is when this owner restored a job in a final state; zero for other jobs.
	retainedSince time.Time
}

type reservation struct {
	session *session
	*allocation
}

// updateQueue applies the current settings of the job's queue; a job keeps its settings when its queue was removed.
func (j *job) updateQueue(configuration *specifier.Configuration) {
	if newer, ok := configuration.Queues.Named(j.queue.Name); ok {
		j.queue = newer
	}
}

// finalSince returns from when on the final state has to be retained. A restored job reached it on the clock of another
// instance, with which this one's cannot be compared.
func (j *job) finalSince() time.Time {
	if !j.retainedSince.IsZero() {
		return j.retainedSince
	}
	return j.FinalAt()
}

// lasts reports whether a task lasts until the job is cancelled.
func (j *job) lasts(task specifier.TaskID) bool {
	return task.Step < len(j.Spec.Steps) && j.Spec.Steps[task.Step].LongRunning
}

// inGang reports whether a task belongs to a gang.
func (j *job) inGang(task specifier.TaskID) bool {
	return task.Step < len(j.Spec.Steps) && j.Spec.Steps[task.Step].Gang
}

// hasOpenTrial reports whether it is not known yet whether the suspects of the job that were placed last crash their server.
func (j *job) hasOpenTrial() bool {
	s := j.trial
	return s != nil && s.onTrial() && s.trial.task.Job == j.Spec.ID && !s.outlived(s.trial)
}
