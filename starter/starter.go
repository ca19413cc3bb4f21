package starter

import (
	"time"

	"egretring.example/egretring/committer"
	"egretring.example/egretring/describer"
	"egretring.example/egretring/placer"
)

// pauseTolerance is how late a deadline may be handled before this member counts as paused.
const pauseTolerance = 2 * time.Second

// Starter keeps the lifecycle of the tasks of one zone.
type Starter struct {
	settings settings
	placer   *placer.Placer
	jobs     map[describer.JobID]*job
	servers  map[describer.BackendServerID]*server
	timers   timerHeap
	right    RightChanged
	// held are the committed starts that wait for the right to start.
	held map[describer.TaskID]*task
	// endings are the attempts whose end record is not durable yet; a backend server must not forget them.
	endings   map[Attempt]bool
	recovered bool
	fenced    bool
	aside     int
	commands  []Command
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
		placer:  placer.New(),
		jobs:    make(map[describer.JobID]*job),
		servers: make(map[describer.BackendServerID]*server),
		held:    make(map[describer.TaskID]*task),
		endings: make(map[Attempt]bool),
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
	s.forgivePause(now)
	s.apply(now, event)
	s.runTimers(now)
	if at, ok := s.placer.NextDeadline(); ok && !now.Before(at) {
		s.place(now, placer.Ticked{})
	}
	return s.commands
}

// NextDeadline is the earliest time at which Handle must be called with Ticked.
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

// Placed returns the counts of the placer.
func (s *Starter) Placed() placer.Summary {
	return s.placer.Summary()
}

// StateOf returns the state of a task; a task that is not of this zone is Pending without an attempt.
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
	case RightChanged:
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
		s.commitDone(now, e.Records)
	case Fenced:
		s.fenced = true
	case StartAnswered:
		s.startAnswered(now, e)
	case TaskLeft:
		s.taskLeft(now, e)
	case RenewAnswered:
		s.renewAnswered(now, e)
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

// place lets the placer handle an event and carries out its commands.
func (s *Starter) place(now time.Time, event placer.Event) {
	for _, command := range s.placer.Handle(now, event) {
		s.obey(now, command)
	}
}

func (s *Starter) obey(now time.Time, command placer.Command) {
	switch command := command.(type) {
	case placer.PlaceTask:
		s.commitStart(now, command)
	case placer.EvictTask:
		if t := s.taskOf(command.Task); t != nil {
			s.evict(now, t)
		}
	case placer.ThrottleTask:
		if t := s.taskOf(command.Task); t != nil && t.state == Running {
			s.emit(ThrottleTask{Server: t.server.id, Attempt: t.name(), Epoch: s.right.Epoch})
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

// changeRight takes over the right of this member and sends the starts that waited for it.
func (s *Starter) changeRight(now time.Time, right RightChanged) {
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

// forgivePause keeps backend servers from being taken for lost when this member itself was paused.
func (s *Starter) forgivePause(now time.Time) {
	at, ok := s.NextDeadline()
	pause := now.Sub(at)
	if !ok || pause < pauseTolerance {
		return
	}
	for _, known := range s.servers {
		known.heardAt = known.heardAt.Add(pause)
	}
}
