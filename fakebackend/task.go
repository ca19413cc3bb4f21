package fakebackend

import (
	"sort"
	"time"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/forwarder"
	"egretring.example/egretring/generator"
)

// throttledShare is the share of its use that a throttled task still uses.
const throttledShare = 0.5

// finishedRetention is how long a finished task stays in the usage report.
const finishedRetention = 10 * time.Minute

// task is one task that a backend server runs or ran.
type task struct {
	report        forwarder.TaskReport
	declared      describer.Resources
	leaseDeadline time.Time
	// endsAt is zero for a task without an end.
	endsAt time.Time
	// finishedAt is when the task ended, failed or was stopped.
	finishedAt time.Time
}

// StartTask starts a task; a task that already runs with the same attempt only gets its lease renewed.
func (s *State) StartTask(now time.Time, call forwarder.StartCall) error {
	if err := s.enter(now, call.Epoch); err != nil {
		return err
	}
	deadline := now.Add(seconds(call.LeaseSeconds))
	known := s.tasks[call.Task]
	if known != nil && known.report.Attempt == call.Attempt {
		s.extend(now, known, deadline)
		return nil
	}
	if known != nil && known.report.Attempt > call.Attempt {
		return forwarder.ErrUnknownTask
	}
	if s.faults.Mode == Leaving || s.faults.Mode == Refuses {
		s.countNotRun(now, s.faults.Mode)
		return forwarder.ErrNotStarted
	}
	s.countStart(call)
	started := s.newTask(now, call, deadline)
	s.tasks[call.Task] = started
	s.record(now, true)
	s.counters.HighestTasks = max(s.counters.HighestTasks, s.activeTasks())
	if started.report.State.IsActive() {
		s.ledger.taskRuns(now, call.Task, s.id, started.runsUntil())
	}
	return nil
}

// RenewTasks renews the leases of tasks and returns those that do not run here.
func (s *State) RenewTasks(now time.Time, call forwarder.RenewCall) (forwarder.RenewReply, error) {
	var reply forwarder.RenewReply
	if err := s.enter(now, call.Epoch); err != nil {
		return reply, err
	}
	for _, named := range call.Tasks {
		known := s.find(named.Task, named.Attempt)
		if known == nil {
			reply.Unknown = append(reply.Unknown, named)
			continue
		}
		s.extend(now, known, now.Add(seconds(call.LeaseSeconds)))
	}
	return reply, nil
}

// StopTask stops a task.
func (s *State) StopTask(now time.Time, call forwarder.TaskCall) error {
	return s.onTask(now, call, func(known *task) {
		s.counters.TasksStopped++
		s.finish(now, known, forwarder.TaskStopped)
	})
}

// CheckpointTask counts a checkpoint of a task.
func (s *State) CheckpointTask(now time.Time, call forwarder.TaskCall) error {
	return s.onTask(now, call, func(*task) { s.counters.Checkpoints++ })
}

// ThrottleTask halves what a task uses.
func (s *State) ThrottleTask(now time.Time, call forwarder.TaskCall) error {
	return s.onTask(now, call, func(known *task) {
		s.counters.Throttles++
		if known.report.State == forwarder.TaskThrottled {
			return
		}
		known.report.State = forwarder.TaskThrottled
		known.report.Used = scaled(known.report.Used, throttledShare)
		s.record(now, true)
	})
}

func (s *State) onTask(now time.Time, call forwarder.TaskCall, apply func(*task)) error {
	if err := s.enter(now, call.Epoch); err != nil {
		return err
	}
	known := s.find(call.Task, call.Attempt)
	if known == nil {
		return forwarder.ErrUnknownTask
	}
	apply(known)
	return nil
}

// enter checks the epoch of a call and raises the highest epoch seen.
func (s *State) enter(now time.Time, epoch describer.Epoch) error {
	s.advance(now)
	if epoch < s.epoch {
		s.counters.StaleCalls++
		return forwarder.ErrStaleEpoch
	}
	s.epoch = epoch
	return nil
}

// advance ends the tasks whose lease or run time has ended, in the order of their ends.
func (s *State) advance(now time.Time) {
	for _, known := range s.due(now) {
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

// due returns the tasks that have ended until now, and forgets those that finished long ago.
func (s *State) due(now time.Time) []*task {
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

func (s *State) find(id describer.TaskID, attempt int) *task {
	known := s.tasks[id]
	if known == nil || known.report.Attempt != attempt || !known.report.State.IsActive() {
		return nil
	}
	return known
}

func (s *State) extend(now time.Time, known *task, deadline time.Time) {
	if !known.report.State.IsActive() {
		return
	}
	if deadline.After(known.leaseDeadline) {
		known.leaseDeadline = deadline
	}
	s.ledger.taskRuns(now, known.report.Task, s.id, known.runsUntil())
}

func (s *State) finish(now time.Time, known *task, state forwarder.TaskState) {
	known.report.State = state
	known.report.Used = describer.Resources{}
	known.finishedAt = now
	s.record(now, true)
	s.ledger.taskEnded(known.report.Task, s.id)
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

func (s *State) countStart(call forwarder.StartCall) {
	s.counters.TasksStarted++
	declared := call.Resources
	for id, known := range s.tasks {
		if id != call.Task && known.report.State.IsActive() {
			declared = declared.Plus(known.declared)
		}
	}
	if !declared.Fits(s.capacity) {
		s.counters.CapacityExceeded++
	}
}

func (s *State) activeTasks() int {
	active := 0
	for _, known := range s.tasks {
		if known.report.State.IsActive() {
			active++
		}
	}
	return active
}

// runsUntil returns when the task ends unless its lease is renewed.
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
