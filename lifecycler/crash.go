package lifecycler

import (
	"slices"
	"time"

	"egretring.example/egretring/specifier"
)

const (
	// maxCausedCrashes is the number of crashes that a task is likely to have caused at which it is given up if no other job can
	// have caused one of them, and maxSharedCrashes the number at which it is given up in any case.
	maxCausedCrashes = 2
	maxSharedCrashes = 3
	// maxCrashes is the number of crashes under a task, whatever their cause, at which it is given up.
	maxCrashes = 5
	// oftenCrashes is the number of crashes under a task after which it runs without new runs beside it.
	oftenCrashes = 3
)

// Crash is the crash of a backend server under a run of a task.
type Crash struct {
	Run int
	// Caused is set if the run is likely to have caused the crash: the server is not known to have worked for long after the
	// run's start.
	Caused bool `json:",omitempty"`
	// Alone is set if no other job is as likely to have caused the crash.
	Alone bool `json:",omitempty"`
}

// Crashed records a crash under a run that has not ended otherwise. It reports whether the task, and with it the job, is given
// up. A crash is recorded once, however many owners notice it.
func (j *Job) Crashed(now time.Time, task specifier.TaskID, crash Crash) bool {
	step, ok := j.Step(task.StepID)
	if !ok || task.Index >= len(step.Tasks) || j.state.Final() {
		return false
	}
	known := &step.Tasks[task.Index]
	if known.State == Done || slices.ContainsFunc(known.Crashes, func(c Crash) bool { return c.Run == crash.Run }) {
		return false
	}
	known.Crashes = append(known.Crashes, crash)
	j.version++
	if !known.crashesServers() {
		return false
	}
	j.finalize(now, specifier.Failed)
	return true
}

// Survived forgets the crashes under a task whose newest run has lasted for long. It reports whether there were any.
func (j *Job) Survived(task specifier.TaskID, run int) bool {
	step, ok := j.Step(task.StepID)
	if !ok || task.Index >= len(step.Tasks) {
		return false
	}
	known := &step.Tasks[task.Index]
	if known.Run != run || len(known.Crashes) == 0 {
		return false
	}
	known.Crashes = nil
	j.version++
	return true
}

// Suspect reports whether a run of the task is likely to have crashed a server, or servers have crashed under it often.
func (t *Task) Suspect() bool {
	return t.causedCrashes() > 0 || t.CrashesOften()
}

// CrashesOften reports whether servers have crashed under the task so often that further crashes need an explanation: whether
// the task crashes its servers only some time after its start shows when it runs without new runs beside it.
func (t *Task) CrashesOften() bool {
	return len(t.Crashes) >= oftenCrashes
}

// crashesServers reports whether the task is given up.
func (t *Task) crashesServers() bool {
	caused := t.causedCrashes()
	alone := slices.ContainsFunc(t.Crashes, func(c Crash) bool { return c.Alone })
	return caused >= maxCausedCrashes && alone || caused >= maxSharedCrashes || len(t.Crashes) >= maxCrashes
}

func (t *Task) causedCrashes() int {
	caused := 0
	for _, crash := range t.Crashes {
		if crash.Caused {
			caused++
		}
	}
	return caused
}
