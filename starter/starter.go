package starter

import (
	"time"

	"egretring.example/egretring/committer"
	"egretring.example/egretring/describer"
	"egretring.example/egretring/placer"
)

// pauseTolerance is how late a deadline may be handled before this member counts as paused.
const pauseTolerance = 2 * time.Second

// Starter manages the lifecycle of the tasks of one zone.
type Starter struct {
	settings settings
	placer   *placer.Placer
	jobs     map[describer.JobID]*job
	servers  map[describer.BackendServerID]*server
	timers   timerHeap
	right    PlacementRightChanged
	// held are the committed starts that wait for the right to start.
	held map[describer.TaskID]*task
	// uncommittedEnds are the attempts whose end record is not durable yet. A backend server must keep their entries.
	uncommittedEnds map[Attempt]bool
	recovered       bool
	fenced          bool
	ejected         int
	commands        []Command
}

// New returns a starter that has no right to start anything and waits for RecordsRecovered.
func New(opts ...Option) *Starter {
	s := &Starter{
		settings: settings{
			lease:          defaultLease,
			renewInterval:  defaultRenewInterval,
			lossTimeout:    defaultLossTimeout,
			leaseMargin:    defaultLeaseMargin,
			checkpointTime: defaultCheckpointTime,
			maxAttempts:    defaultMaxAttempts,
		},
		placer:          placer.New(),
		jobs:            make(map[describer.JobID]*job),
		servers:         make(map[describer.BackendServerID]*server),
		held:            make(map[describer.TaskID]*task),
		uncommittedEnds: make(map[Attempt]bool),
	}
	for _, opt := range opts {
		opt(&s.settings)
	}
	return s
}

// Handle applies one event at time now and returns the commands it causes.
func (s *Starter) Handle(now time.Time, event Event) []Command {
	s.commands = nil
	if s.fenced {
		return nil
	}
	s.compensatePause(now)
	s.apply(now, event)
	s.runTimers(now)
	if at, ok := s.placer.NextDeadline(); ok && !now.Before(at) {
		s.notifyPlacer(now, placer.Ticked{})
	}
	return s.commands
}

// NextDeadline returns the earliest time at which Handle must be called with Ticked, and whether there is one.
func (s *Starter) NextDeadline() (time.Time, bool) {
	if s.fenced {
		return time.Time{}, false
	}
	first, ok := s.placer.NextDeadline()
	if next, set := s.timers.next(); set && (!ok || next.at.Before(first)) {
		return next.at, true
	}
	return first, ok
}

// PlacementSummary returns the totals of the placer.
func (s *Starter) PlacementSummary() placer.Summary {
	return s.placer.Summary()
}

// StateOf returns the state of a task and the number of its latest attempt. A task that is not assigned to this zone is
// Pending with attempt 0.
func (s *Starter) StateOf(id describer.TaskID) (state State, attempt int) {
	j := s.jobs[id.Job]
	if j == nil {
		return Pending, 0
	}
	if outcome, finished := j.finished[id.Index]; finished {
		if outcome == committer.GivenUp {
			return GivenUp, 0
		}
		return Ended, 0
	}
	if t := j.tasks[id.Index]; t != nil {
		return t.state, t.attempt
	}
	return Pending, 0
}

func (s *Starter) apply(now time.Time, event Event) {
	switch e := event.(type) {
	case PlacementRightChanged:
		s.changeRight(now, e)
	case ServersChanged:
		s.changeServers(now, e.Servers)
	case TasksAssigned:
		s.assign(now, e)
	case TasksWithdrawn:
		s.withdraw(now, e)
	case RecordsRecovered:
		s.recoverRecords(now, e)
	case RecordsCommitted:
		s.recordsCommitted(now, e.Records)
	case Fenced:
		s.fenced = true
	case StartResponded:
		s.startResponded(now, e)
	case AttemptEnded:
		s.attemptEnded(now, e)
	case RenewResponded:
		s.renewResponded(now, e)
	case ServerReported:
		s.reconcile(now, e)
	}
}

func (s *Starter) emit(command Command) {
	s.commands = append(s.commands, command)
}

func (s *Starter) runTimers(now time.Time) {
	for {
		next, ok := s.timers.next()
		if !ok || next.at.After(now) {
			return
		}
		s.timers.drop()
		next.waker.wake(s, now)
	}
}

// notifyPlacer passes an event to the placer and carries out the commands that it returns.
func (s *Starter) notifyPlacer(now time.Time, event placer.Event) {
	for _, command := range s.placer.Handle(now, event) {
		s.execute(now, command)
	}
}

func (s *Starter) execute(now time.Time, command placer.Command) {
	switch command := command.(type) {
	case placer.PlaceTask:
		s.commitStart(now, command)
	case placer.EvictTask:
		if t := s.taskOf(command.Task); t != nil {
			s.evict(now, t)
		}
	case placer.ThrottleTask:
		if t := s.taskOf(command.Task); t != nil && t.state == Running {
			s.emit(ThrottleTask{Server: t.server.id, Attempt: t.currentAttempt(), Epoch: s.right.Epoch})
		}
	}
}

func (s *Starter) taskOf(id describer.TaskID) *task {
	j := s.jobs[id.Job]
	if j == nil {
		return nil
	}
	return j.tasks[id.Index]
}

// changeRight replaces the right of this member and sends the starts that waited for it.
func (s *Starter) changeRight(now time.Time, right PlacementRightChanged) {
	s.right = right
	if !now.Before(right.StartUntil) {
		return
	}
	held := make([]*task, 0, len(s.held))
	for _, t := range s.held {
		held = append(held, t)
	}
	sortTasks(held)
	for _, t := range held {
		s.tryStart(now, t)
	}
}

// compensatePause keeps backend servers from being marked as lost because this member itself was paused: it adds the
// length of the pause to the time of their last contact.
func (s *Starter) compensatePause(now time.Time) {
	at, ok := s.NextDeadline()
	pause := now.Sub(at)
	if !ok || pause < pauseTolerance {
		return
	}
	for _, srv := range s.servers {
		srv.lastContactAt = srv.lastContactAt.Add(pause)
	}
}
