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
	// maxCrashes is the number of crashes under a task at which it is given up, whatever their cause, if at least minUnexcused of
	// them are not excused. The last two of five are under runs without new runs beside them, see oftenCrashes.
	maxCrashes   = 5
	minUnexcused = 2
	// suspectOutages is the number of outages soon after starts of a task from which on it is a suspect: tasks that crash servers may
	// look like one outage, but a task is rarely hit by several of them just then.
	suspectOutages = 2
	// oftenCrashes is the number of crashes under a task after which it runs without new runs beside it.
	oftenCrashes = 3
)

// Crash is the loss of a backend server under a run of a task.
type Crash struct {
	Run int
	// Address and Incarnation are those of a server that does not respond and may only be unreachable. They are empty once the
	// server has certainly crashed.
	Address     string `json:",omitempty"`
	Incarnation int64  `json:",omitempty"`
	// Caused is set if the run is likely to have caused the crash: the server is not known to have worked for long after the
	// run's start.
	Caused bool `json:",omitempty"`
	// Outage is set if most servers of a zone were lost at that time.
	Outage bool `json:",omitempty"`
	// Excused is set if the run is not likely to have caused the crash: runs of other jobs are, or other servers of the zone were lost
	// at about that time, some time after the start of the run.
	Excused bool `json:",omitempty"`
	// Alone is set if no other job is as likely to have caused the crash, and few other servers of the zone were lost at about that time.
	Alone bool `json:",omitempty"`
}

// Doubtful reports whether the server may only be unreachable. Such a loss makes the task a suspect, but does not count against
// it.
func (c Crash) Doubtful() bool {
	return c.Address != ""
}

// Crashed records a crash under a run that has not ended otherwise. It reports whether the task, and with it the job, is given
// up. A crash is recorded once, however many owners notice it.
func (j *Job) Crashed(now time.Time, task specifier.TaskID, crash Crash) bool {
	known := j.unfinishedTask(task)
	if known == nil {
		return false
	}
	if i := known.crashOf(crash.Run); i < 0 {
		known.Crashes = append(known.Crashes, crash)
	} else if known.Crashes[i].Doubtful() && !crash.Doubtful() {
		known.Crashes[i] = crash
	} else {
		return false
	}
	j.version++
	return j.giveUp(now, known)
}

// Confirm records that the server of a doubtful crash has certainly crashed. It reports whether that changed the job, and
// whether the task, and with it the job, is given up.
func (j *Job) Confirm(now time.Time, task specifier.TaskID, run int) (changed, givenUp bool) {
	known := j.unfinishedTask(task)
	if known == nil {
		return false, false
	}
	i := known.crashOf(run)
	if i < 0 || !known.Crashes[i].Doubtful() {
		return false, false
	}
	known.Crashes[i].Address, known.Crashes[i].Incarnation = "", 0
	j.version++
	return true, j.giveUp(now, known)
}

// Withdraw forgets a doubtful crash whose server was only unreachable. It reports whether there was one.
func (j *Job) Withdraw(task specifier.TaskID, run int) bool {
	known := j.unfinishedTask(task)
	if known == nil {
		return false
	}
	i := known.crashOf(run)
	if i < 0 || !known.Crashes[i].Doubtful() {
		return false
	}
	known.Crashes = slices.Delete(known.Crashes, i, i+1)
	j.version++
	return true
}

// unfinishedTask returns a task that has begun and is not done, or nil.
func (j *Job) unfinishedTask(task specifier.TaskID) *Task {
	step, ok := j.Step(task.StepID)
	if !ok || task.Index >= len(step.Tasks) || j.state.Final() || step.Tasks[task.Index].State == Done {
		return nil
	}
	return &step.Tasks[task.Index]
}

// giveUp fails the job if servers crash under the task again and again, and reports whether it did.
func (j *Job) giveUp(now time.Time, task *Task) bool {
	if !task.crashesServers() {
		return false
	}
	j.finalize(now, specifier.Failed)
	return true
}

// crashOf returns the index of the crash under a run, or -1.
func (t *Task) crashOf(run int) int {
	return slices.IndexFunc(t.Crashes, func(c Crash) bool { return c.Run == run })
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

// isOutageAfterStart reports whether the server was lost in an outage soon after the start of the run.
func (c Crash) isOutageAfterStart() bool {
	return c.Outage && !c.Excused
}

// Suspect reports whether a run of the task is likely to have crashed a server, servers have crashed under it often, or several outages
// have followed its starts.
func (t *Task) Suspect() bool {
	outages := 0
	for _, crash := range t.Crashes {
		if crash.isOutageAfterStart() {
			outages++
		}
	}
	return outages >= suspectOutages || t.CrashesOften() || slices.ContainsFunc(t.Crashes, func(c Crash) bool { return c.Caused })
}

// CrashesOften reports whether servers have crashed under the task so often that further crashes need an explanation: whether
// the task crashes its servers only some time after its start shows when it runs without new runs beside it. Outages need none.
func (t *Task) CrashesOften() bool {
	often := 0
	for _, crash := range t.Crashes {
		if !crash.Outage {
			often++
		}
	}
	return often >= oftenCrashes
}

// crashesServers reports whether the task is given up. Only servers that have certainly crashed count.
func (t *Task) crashesServers() bool {
	certain, unexcused, caused, outages, alone := 0, 0, 0, 0, false
	for _, crash := range t.Crashes {
		if crash.Doubtful() {
			continue
		}
		certain++
		if !crash.Excused {
			unexcused++
		}
		alone = alone || crash.Alone
		if crash.Caused {
			caused++
		}
		if crash.isOutageAfterStart() {
			outages++
		}
	}
	return caused >= maxCausedCrashes && alone || caused >= maxSharedCrashes || alone && caused+outages >= maxSharedCrashes ||
		certain >= maxCrashes && unexcused >= minUnexcused
}

// DoubtfulCrashes returns how many servers were lost under the task of which it is not known whether they have crashed.
func (t *Task) DoubtfulCrashes() int {
	doubtful := 0
	for _, crash := range t.Crashes {
		if crash.Doubtful() {
			doubtful++
		}
	}
	return doubtful
}
