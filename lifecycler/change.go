package lifecycler

import (
	"time"

	"egretring.example/egretring/specifier"
)

// Place records that a run of a task was assigned to a server.
func (j *Job) Place(step *Step, index int, p Placement) {
	task := &step.Tasks[index]
	task.State = Placed
	task.Run = p.Run
	task.Server, task.Incarnation, task.Address = p.Server.ID, p.Server.Incarnation, p.Server.Address
	task.LongLease, task.Start = p.LongLease, Unanswered
	j.version++
}

// MarkStarted records that a run of the job is known to have started on a backend server.
func (j *Job) MarkStarted() {
	j.started = true
}

// Unplace records that a run of a task is known not to run. If it is the newest run, the task waits again.
func (j *Job) Unplace(task specifier.TaskID, run int) {
	step, ok := j.Step(task.StepID)
	if !ok || task.Index >= len(step.Tasks) {
		return
	}
	known := &step.Tasks[task.Index]
	if known.State == Placed && known.Run == run {
		known.State = Waiting
		j.version++
	}
}

// SetCheckpoint records the newest checkpoint of a task. It leaves the version unchanged, because a checkpoint alone is
// not worth a commit.
func (j *Job) SetCheckpoint(task specifier.TaskID, checkpoint string) {
	if step, ok := j.Step(task.StepID); ok && task.Index < len(step.Tasks) {
		step.setCheckpoint(task.Index, checkpoint)
	}
}

// StartedBy records that a run was started by a later incarnation of its server than it was placed on, with a lease end on the clock
// of the earlier one. It reports whether that changed the job.
func (j *Job) StartedBy(task specifier.TaskID, run int, incarnation int64) bool {
	known := j.unfinishedTask(task)
	if known == nil || known.State != Placed || known.Run != run || known.Incarnation == incarnation {
		return false
	}
	known.Incarnation, known.LongLease = incarnation, true
	j.version++
	return true
}

// End records the end of a run. It reports whether the end changed the job.
func (j *Job) End(now time.Time, ended specifier.EndedTask) bool {
	step, ok := j.Step(ended.Task.StepID)
	if !ok || ended.Task.Index >= len(step.Tasks) || j.state.Final() {
		return false
	}
	task := &step.Tasks[ended.Task.Index]
	if task.State == Done || ended.Run > task.Run {
		return false
	}
	j.version++
	j.started = true
	step.setCheckpoint(ended.Task.Index, ended.Checkpoint)
	if ended.Reason == specifier.RunDone && !step.Spec.LongRunning {
		step.finish(ended.Task.Index)
		if step.Finished() {
			j.completeStep(now, ended.Task.Occurrence)
		}
		return true
	}
	if ended.Run == task.Run && task.State == Placed {
		task.State = Waiting
	}
	if ended.Reason == specifier.RunFailed && !step.Spec.LongRunning {
		step.fail(ended.Task.Index, ended.Run)
		if step.attempts(ended.Task.Index) >= max(j.Spec.Queue.MaxAttempts, 1) {
			j.finalize(now, specifier.Failed)
		}
	}
	return true
}

// completeStep counts a step of an occurrence that has become finished, and completes the occurrence after its last one.
func (j *Job) completeStep(now time.Time, occurrence int) {
	known := j.occurrences[occurrence]
	known.finishedSteps++
	if !known.finished() {
		return
	}
	j.finishedOccurrences++
	j.dropFinished()
	if j.finishedOccurrences >= j.Spec.OccurrenceCount() {
		j.finalize(now, specifier.Completed)
	}
}

// dropFinished forgets the steps of the first occurrences, as far as these are finished.
func (j *Job) dropFinished() {
	for known := j.occurrences[j.firstOpen]; known != nil && known.finished(); known = j.occurrences[j.firstOpen] {
		delete(j.occurrences, j.firstOpen)
		j.firstOpen++
	}
}

// Cancel cancels a job that is not in a final state. It reports whether the job changed.
func (j *Job) Cancel(now time.Time) bool {
	if j.state.Final() {
		return false
	}
	j.version++
	j.finalize(now, specifier.Cancelled)
	return true
}

func (j *Job) finalize(now time.Time, state specifier.JobState) {
	j.state = state
	j.finalAt = now
	clear(j.occurrences)
}
