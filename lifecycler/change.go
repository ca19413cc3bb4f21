package lifecycler

import (
	"time"

	"egretring.example/egretring/specifier"
)

// Place notes that a run of a task was decided.
func (j *Job) Place(step *Step, index, run int, server specifier.ServerID) {
	task := &step.Tasks[index]
	task.State = Placed
	task.Run = run
	task.Server = server
	j.version++
}

// Begin notes that a run of the job was seen on a backend server.
func (j *Job) Begin() {
	j.begun = true
}

// Unplace notes that the newest run of a task is known not to run.
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

// SetCheckpoint keeps the newest checkpoint of a task. It is not worth a commit of its own.
func (j *Job) SetCheckpoint(task specifier.TaskID, checkpoint string) {
	if step, ok := j.Step(task.StepID); ok && task.Index < len(step.Tasks) {
		step.setCheckpoint(task.Index, checkpoint)
	}
}

// End notes the end of a run. It reports whether the end changed the job.
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
	j.begun = true
	step.setCheckpoint(ended.Task.Index, ended.Checkpoint)
	if ended.Reason == specifier.RunDone && !step.Spec.LongRunning {
		step.finish(ended.Task.Index)
		j.completeRound(now, ended.Task.Occurrence)
		return true
	}
	if ended.Run == task.Run && task.State == Placed {
		task.State = Waiting
	}
	if ended.Reason == specifier.RunFailed && !step.Spec.LongRunning {
		step.fail(ended.Task.Index, ended.Run)
		if step.attempts(ended.Task.Index) >= max(j.Spec.Queue.MaxAttempts, 1) {
			j.settle(now, specifier.Failed)
		}
	}
	return true
}

func (j *Job) completeRound(now time.Time, occurrence int) {
	known := j.rounds[occurrence]
	if known == nil || !known.finished() {
		return
	}
	j.finished++
	if j.finished >= j.Spec.Rounds() {
		j.settle(now, specifier.Completed)
	}
}

// Cancel ends a job that is not final. It reports whether the job changed.
func (j *Job) Cancel(now time.Time) bool {
	if j.state.Final() {
		return false
	}
	j.version++
	j.settle(now, specifier.Cancelled)
	return true
}

func (j *Job) settle(now time.Time, state specifier.JobState) {
	j.state = state
	j.finalAt = now
	clear(j.rounds)
}
