package conductor_test

import (
	"cmp"
	"strconv"
	"strings"
	"time"

	"egretring.example/egretring/specifier"
)

func (w *simulation) jobOf(id specifier.JobID) specifier.Job {
	if job, ok := w.jobs[id]; ok {
		return job
	}
	w.violate("UNASKED: job %s was never submitted", id)
	return specifier.Job{}
}

// begin starts a run and checks the rules for starts.
func (w *simulation) begin(s *fakeServer, o specifier.StartOrder) {
	w.starts++
	job := w.jobOf(o.Task.Job)
	if o.Task.Step >= len(job.Steps) {
		return
	}
	step := job.Steps[o.Task.Step]
	r := &fakeRun{task: o.Task, run: o.Run, server: s, job: job, begunAt: w.now, need: step.Occupies()}
	if o.Checkpoint != "" {
		saved, err := strconv.ParseFloat(o.Checkpoint, 64)
		if err != nil || !step.Checkpointing {
			w.violate("CHECKPOINT: %s starts from %q", o.Task, o.Checkpoint)
		}
		r.saved = saved
	}
	used := r.need
	for _, other := range s.runs {
		used = used.Plus(other.need)
	}
	if !used.Fits(s.server.Capacity) {
		w.violate("LIMIT: %s on %s takes %v of %v", o.Task, s.server.ID, used, s.server.Capacity)
	}
	if !s.server.HasLabel(step.RequiredLabel) {
		w.violate("ROUTE: %s requires the label %s, which %s does not have", o.Task, step.RequiredLabel, s.server.ID)
	}
	for _, other := range w.runsOf[o.Task] {
		if !other.ended {
			w.violate("TWICE: %s runs on %s (run %d) and %s (run %d)", o.Task, other.server.server.ID, other.run,
				s.server.ID, o.Run)
		}
	}
	if w.acknowledged[o.Task] {
		w.violate("TWICE: %s starts again after its end was acknowledged", o.Task)
	}
	if !step.LongRunning && w.failures[o.Task] >= job.Queue.MaxAttempts {
		w.violate("BUDGET: %s starts after %d failed runs", o.Task, w.failures[o.Task])
	}
	if w.crashes[o.Task] >= maxCrashes {
		w.startsAfterCrashes[o.Task]++
		if w.startsAfterCrashes[o.Task] == maxStartsAfterCrashes {
			w.violate("BUDGET: %s starts %d times after %d crashes", o.Task, maxStartsAfterCrashes, maxCrashes)
		}
	}
	if job.Queue.Advice.Needed && o.Ticket == "" {
		w.violate("TICKET: %s starts without a ticket", o.Task)
	}
	for _, before := range step.After {
		for i := range job.Steps[before].Count {
			if id := o.Task.StepID; !w.finished[specifier.StepID{Job: id.Job, Occurrence: id.Occurrence, Step: before}.Task(i)] {
				w.violate("ORDER: %s starts before step %d is done", o.Task, before)
			}
		}
	}
	w.quota.begun(w, r)
	s.runs[o.Task] = r
	w.runs = append(w.runs, r)
	w.runsOf[r.task] = append(w.runsOf[r.task], r)
	if delay, crashes := crashDelays[job.Spec]; crashes && o.Task.Index == 0 {
		w.scheduleCrash(r, delay)
	}
	if delay, isCut := cutDelays[job.Spec]; isCut && o.Task.Index == 0 && w.now.Before(w.cutUntil) {
		w.scheduleCut(r, delay)
	}
	if !step.Gang {
		w.scheduleEnd(r)
		return
	}
	w.joinGang(r, step)
}

// scheduleEnd schedules the end of a run after its estimated time. A run fails after a quarter of it if the spec of its
// job begins with "fails" or its server fails runs.
func (w *simulation) scheduleEnd(r *fakeRun) {
	step := r.job.Steps[r.task.Step]
	if step.LongRunning {
		w.scheduleLastingFailure(r)
		return
	}
	duration, reason := step.Estimate, specifier.RunDone
	if w.lengthOf != nil {
		duration = w.lengthOf(r.task, duration)
	}
	duration = r.server.timeOf(w, duration)
	if step.Gang && w.lengthOf != nil && r.server.speed > 0 {
		// A gang ends with its slowest member.
		for _, member := range w.members(r) {
			duration = max(duration, member.server.timeOf(w, w.lengthOf(member.task, step.Estimate)))
		}
	}
	r.length = duration
	if r.saved > 0 {
		duration = time.Duration(float64(duration)*(1-r.saved)) + w.restoreTime
	}
	if w.now.Before(r.server.failsUntil) || strings.HasPrefix(r.job.Spec, "fails") {
		duration, reason = duration/4, specifier.RunFailed
	}
	w.after(duration, func() {
		if r.ended {
			return
		}
		if reason == specifier.RunDone {
			w.finish(r, step)
		}
		r.server.end(w, r, reason)
	})
}

func (w *simulation) finish(r *fakeRun, step specifier.Step) {
	if !step.Gang {
		return
	}
	for _, other := range w.members(r) {
		if other != r {
			other.server.end(w, other, specifier.RunDone)
		}
	}
}

// members returns the runs of a gang that have not ended.
func (w *simulation) members(r *fakeRun) []*fakeRun {
	var members []*fakeRun
	for i := range r.job.Steps[r.task.Step].Count {
		for _, other := range w.runsOf[r.task.StepID.Task(i)] {
			if other.run == r.run && !other.ended {
				members = append(members, other)
			}
		}
	}
	return members
}

func (w *simulation) joinGang(r *fakeRun, step specifier.Step) {
	members := w.members(r)
	if len(members) == step.Count {
		w.scheduleEnd(members[0])
		for _, member := range members {
			member.gangComplete = true
		}
		return
	}
	w.after(gangWait, func() {
		if !r.ended && !r.gangComplete {
			r.server.end(w, r, specifier.RunGangIncomplete)
		}
	})
}

// recordEnd records the end of a run for the rules. All members of a gang end when one ends other than as done.
func (w *simulation) recordEnd(r *fakeRun, reason specifier.EndReason) {
	step := r.job.Steps[r.task.Step]
	w.quota.ended(r)
	switch reason {
	case specifier.RunDone:
		w.finished[r.task] = true
		return
	case specifier.RunFailed:
		w.failures[r.task]++
	}
	if !step.Gang {
		return
	}
	for _, other := range w.members(r) {
		other.server.end(w, other, specifier.RunGangBroken)
	}
}

// jobOptions describes a job of a test case.
type jobOptions struct {
	Tasks      int
	MilliCores int64
	// MemoryMB is a hundred if it is zero.
	MemoryMB int64
	Seconds  float64
	Steps    int
	Gang     bool
	Advice   bool
	// AdviceCost is 70 ms and 1 ms a server if it is zero.
	AdviceCost specifier.AdviceCost
	Priority   int
	Attempts   int
	Spec       string
	// Label is the label that the servers must have.
	Label string
	// Team is the name of the team.
	Team string
}

func newJob(number int, o jobOptions) specifier.Job {
	queue := specifier.Queue{
		Name: "q" + strconv.Itoa(o.Priority), Service: "s", Priority: o.Priority, MaxAttempts: max(o.Attempts, 1), Stretch: 2,
		TargetLatency: time.Second,
	}
	if o.Advice {
		queue.Advice = specifier.AdviceCost{Needed: true, Fixed: 70 * time.Millisecond, PerServer: time.Millisecond}
		if o.AdviceCost.Fixed > 0 {
			queue.Advice.Fixed, queue.Advice.PerServer = o.AdviceCost.Fixed, o.AdviceCost.PerServer
		}
	}
	job := specifier.Job{ID: specifier.JobID("job" + strconv.Itoa(number)), Team: o.Team, Queue: queue, Spec: o.Spec}
	for i := range max(o.Steps, 1) {
		step := specifier.Step{
			Count: max(o.Tasks, 1), Need: specifier.Resources{MilliCores: o.MilliCores, MemoryMB: cmp.Or(o.MemoryMB, 100)}, Gang: o.Gang,
			RequiredLabel: o.Label, Estimate: time.Duration(o.Seconds * float64(time.Second)),
		}
		if i > 0 {
			step.After = []int{i - 1}
		}
		job.Steps = append(job.Steps, step)
	}
	return job
}

// checkAcknowledged checks that a task whose end as done was acknowledged has not started since that end. One end of a
// gang represents all its members.
func (w *simulation) checkAcknowledged(end specifier.EndedTask, endedAt time.Time) {
	if end.Reason != specifier.RunDone {
		return
	}
	w.acknowledged[end.Task] = true
	for _, r := range w.runsOf[end.Task] {
		if r.begunAt.After(endedAt) {
			w.violate("TWICE: %s started on %s after an end that was acknowledged", r.task, r.server.server.ID)
		}
	}
}
