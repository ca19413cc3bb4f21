package fakebackend

import (
	"fmt"
	"sort"
	"time"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/forwarder"
	"egretring.example/egretring/generator"
)

// throttledShare is the share of its cores and memory that a task still uses when it is throttled.
const throttledShare = 0.5

// finishedRetention is how long a finished task stays in the usage report.
const finishedRetention = 10 * time.Minute

// task is the last attempt of a task on a backend server, running or finished.
type task struct {
	report        forwarder.TaskReport
	declared      describer.Resources
	leaseDeadline time.Time
	// endsAt is when the run time of the task is over; it is zero for a task that runs until it is stopped.
	endsAt time.Time
	// finishedAt is when the task ended, failed, expired or was stopped.
	finishedAt time.Time
}

// StartTask starts a task. A repeated start of the same attempt only extends its lease if it still runs, and does
// nothing if it has finished. A start of an earlier attempt returns forwarder.ErrUnknownTask.
func (s *State) StartTask(now time.Time, call forwarder.StartCall) error {
	if err := s.checkEpoch(now, call.Epoch); err != nil {
		return err
	}
	deadline := now.Add(seconds(call.LeaseSeconds))
	known := s.tasks[call.Task]
	if known != nil && known.report.Attempt == call.Attempt {
		s.extendLease(now, known, deadline)
		return nil
	}
	if known != nil && known.report.Attempt > call.Attempt {
		return forwarder.ErrUnknownTask
	}
	if s.faults.Mode == Leaving || s.faults.Mode == Refuses {
		s.countNotRun(now, s.faults.Mode)
		return forwarder.ErrNotStarted
	}
	s.countStart(now, call)
	started := s.newTask(now, call, deadline)
	s.tasks[call.Task] = started
	s.recordHistory(now, true)
	s.counters.HighestTasks = max(s.counters.HighestTasks, s.countActive())
	if started.report.State.IsActive() {
		s.ledger.recordTask(now, call.Task, s.id, started.runsUntil())
	}
	return nil
}

// RenewTasks renews the leases of tasks and returns those that do not run here.
func (s *State) RenewTasks(now time.Time, call forwarder.RenewCall) (forwarder.RenewReply, error) {
	var reply forwarder.RenewReply
	if err := s.checkEpoch(now, call.Epoch); err != nil {
		return reply, err
	}
	for _, taskAttempt := range call.Tasks {
		known := s.findActive(taskAttempt.Task, taskAttempt.Attempt)
		if known == nil {
			reply.Unknown = append(reply.Unknown, taskAttempt)
			continue
		}
		s.extendLease(now, known, now.Add(seconds(call.LeaseSeconds)))
	}
	return reply, nil
}

// StopTask stops a task.
func (s *State) StopTask(now time.Time, call forwarder.TaskCall) error {
	return s.applyToTask(now, call, func(known *task) {
		s.counters.TasksStopped++
		s.finish(now, known, forwarder.TaskStopped)
	})
}

// CheckpointTask counts a checkpoint of a task.
func (s *State) CheckpointTask(now time.Time, call forwarder.TaskCall) error {
	return s.applyToTask(now, call, func(*task) { s.counters.Checkpoints++ })
}

// ThrottleTask halves the cores and the memory that a task uses; its accelerators stay. Throttling it again changes
// nothing.
func (s *State) ThrottleTask(now time.Time, call forwarder.TaskCall) error {
	return s.applyToTask(now, call, func(known *task) {
		s.counters.Throttles++
		if known.report.State == forwarder.TaskThrottled {
			return
		}
		known.report.State = forwarder.TaskThrottled
		known.report.Used = scaled(known.report.Used, throttledShare)
		s.recordHistory(now, true)
	})
}

func (s *State) applyToTask(now time.Time, call forwarder.TaskCall, apply func(*task)) error {
	if err := s.checkEpoch(now, call.Epoch); err != nil {
		return err
	}
	known := s.findActive(call.Task, call.Attempt)
	if known == nil {
		return forwarder.ErrUnknownTask
	}
	apply(known)
	return nil
}

// checkEpoch rejects a call whose epoch is below the highest one received so far, and otherwise stores its epoch.
func (s *State) checkEpoch(now time.Time, epoch describer.Epoch) error {
	s.advance(now)
	if epoch < s.epoch {
		s.counters.StaleCalls++
		return forwarder.ErrStaleEpoch
	}
	s.epoch = epoch
	return nil
}

// advance finishes the tasks whose lease has expired or whose run time is over, in the order of these times.
func (s *State) advance(now time.Time) {
	for _, known := range s.dueTasks(now) {
		end := known.runsUntil()
		if end.Equal(known.leaseDeadline) {
			s.counters.TasksExpired++
			s.finish(end, known, forwarder.TaskExpired)
			continue
		}
		s.counters.TasksEnded++
		s.finish(end, known, forwarder.TaskEnded)
	}
}

// dueTasks returns the active tasks whose lease or run time has ended by now, in the order of their ends. It deletes
// the tasks that finished more than finishedRetention ago.
func (s *State) dueTasks(now time.Time) []*task {
	var due []*task
	for id, known := range s.tasks {
		switch {
		case known.report.State.IsActive() && !now.Before(known.runsUntil()):
			due = append(due, known)
		case !known.report.State.IsActive() && now.Sub(known.finishedAt) > finishedRetention:
			delete(s.tasks, id)
		}
	}
	sort.Slice(due, func(i, j int) bool { return due[i].runsUntil().Before(due[j].runsUntil()) })
	return due
}

func (s *State) findActive(id describer.TaskID, attempt int) *task {
	known := s.tasks[id]
	if known == nil || known.report.Attempt != attempt || !known.report.State.IsActive() {
		return nil
	}
	return known
}

func (s *State) extendLease(now time.Time, known *task, deadline time.Time) {
	if !known.report.State.IsActive() {
		return
	}
	if deadline.After(known.leaseDeadline) {
		known.leaseDeadline = deadline
	}
	s.ledger.recordTask(now, known.report.Task, s.id, known.runsUntil())
}

func (s *State) finish(now time.Time, known *task, state forwarder.TaskState) {
	known.report.State = state
	known.report.Used = describer.Resources{}
	known.finishedAt = now
	s.recordHistory(now, true)
	s.ledger.removeTask(known.report.Task, s.id)
}

func (s *State) newTask(now time.Time, call forwarder.StartCall, deadline time.Time) *task {
	use := s.lowestUse + (s.highestUse-s.lowestUse)*s.random.Float64()
	started := &task{declared: call.Resources, leaseDeadline: deadline}
	base := call.Resources
	if s.taskNeed != nil {
		base = s.taskNeed(call.Task)
	}
	started.report = forwarder.TaskReport{
		Task: call.Task, Attempt: call.Attempt, Epoch: call.Epoch,
		State: forwarder.TaskRunning, Used: scaled(base, use),
	}
	if s.taskRunTime != (generator.RunTime{}) {
		started.endsAt = now.Add(s.taskRunTime.Draw(s.random))
	}
	if s.faults.Mode == FailsFast {
		started.report.State = forwarder.TaskFailed
		started.finishedAt = now
		started.report.Used = describer.Resources{}
	}
	return started
}

func (s *State) countStart(now time.Time, call forwarder.StartCall) {
	s.counters.TasksStarted++
	declared := call.Resources
	for id, known := range s.tasks {
		if id != call.Task && known.report.State.IsActive() {
			declared = declared.Plus(known.declared)
		}
	}
	if !declared.Fits(s.capacity) {
		s.counters.CapacityExceeded++
		s.recordExcess(Excess{
			Kind: ExcessTask, At: now, Subject: fmt.Sprintf("%s/%d attempt %d", call.Task.Job, call.Task.Index, call.Attempt),
			Used: fmt.Sprint(declared), Capacity: fmt.Sprint(s.capacity),
		})
	}
}

func (s *State) countActive() int {
	active := 0
	for _, known := range s.tasks {
		if known.report.State.IsActive() {
			active++
		}
	}
	return active
}

// runsUntil returns when the task ends if its lease is not renewed again.
func (t *task) runsUntil() time.Time {
	if t.endsAt.IsZero() || t.leaseDeadline.Before(t.endsAt) {
		return t.leaseDeadline
	}
	return t.endsAt
}

func scaled(r describer.Resources, factor float64) describer.Resources {
	return describer.Resources{
		MilliCores:   int64(float64(r.MilliCores) * factor),
		MemoryBytes:  int64(float64(r.MemoryBytes) * factor),
		Accelerators: r.Accelerators,
	}
}

func seconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Second))
}
