package conductor

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"egretring.example/egretring/lifecycler"
	"egretring.example/egretring/migrator"
	"egretring.example/egretring/specifier"
)

const (
	// migrateInterval is how often tasks are searched that are far behind. Each search scans the allocations of all servers.
	migrateInterval = 250 * time.Millisecond
	// maxMigrations bounds the tasks that move at the same time, so that a slow period of many servers does not stop much work at once.
	maxMigrations = 32
	// migrationTimeout is how long places are kept for a task that moves: the time of a stop, and of an advice call and a start if the first start is
	// refused.
	migrationTimeout = 4 * time.Second
)

// migrations are the tasks that move to other servers; see docs/design/stragglers.md.
type migrations struct {
	migrator *migrator.Migrator
	pass     throttle
	moving   map[specifier.TaskID]*migration
	// behind are the servers most of whose runs were far behind in the last search. No task moves there.
	behind map[*session]bool
}

// migration is a task that moves. Its place on the new server is kept while the former run is being stopped, and its former place until the
// new server has responded to the start.
type migration struct {
	// run is that of the former run.
	run       int
	from, to  *session
	need      specifier.Resources
	expiresAt time.Time
	// keptFrom and keptTo are set while the places are kept.
	keptFrom, keptTo bool
	// placed is set once the task was placed on the new server, and refused once it cannot start there.
	placed, refused bool
}

// WithCheckpoints sets the time between two checkpoints of a run, and the time of a restore. Without a time between checkpoints no task that is
// far behind its step moves.
func WithCheckpoints(interval, restore time.Duration) Option {
	return func(s *settings) { s.checkpointInterval, s.restoreTime = interval, restore }
}

func newMigrations(s settings) migrations {
	return migrations{
		migrator: migrator.New(migrator.WithCheckpoints(s.checkpointInterval, s.restoreTime)), pass: throttle{interval: migrateInterval},
		moving: make(map[specifier.TaskID]*migration), behind: make(map[*session]bool),
	}
}

// noteStepEnd tells the migrator about the end of a run, and keeps the former place of a task that moves.
func (c *Conductor) noteStepEnd(now time.Time, s *session, a *allocation, j *job, end specifier.EndedTask) {
	if m := c.migrations.moving[end.Task]; m != nil && m.from == s && m.run == end.Run {
		if end.Reason == specifier.RunStopped {
			m.keep(&m.keptFrom, m.from)
		} else {
			c.endMigration(end.Task)
		}
	}
	if c.speeds.inEffect && end.Reason == specifier.RunDone && a != nil && a.run == end.Run && a.order.Checkpoint == "" && !a.startedAt.IsZero() &&
		!j.inGang(end.Task) && !j.lasts(end.Task) {
		c.migrations.migrator.Observe(now, end.Task.StepID, now.Sub(a.startedAt), c.speeds.calibrator.Of(s.id).Factor)
	}
}

// keep keeps a place for the task on a server.
func (m *migration) keep(kept *bool, s *session) {
	if !*kept {
		*kept, s.kept = true, s.kept.Plus(m.need)
	}
}

func (m *migration) release(kept *bool, s *session) {
	if *kept {
		*kept, s.kept = false, s.kept.Minus(m.need)
	}
}

func (c *Conductor) endMigration(task specifier.TaskID) {
	if m := c.migrations.moving[task]; m != nil {
		m.release(&m.keptFrom, m.from)
		m.release(&m.keptTo, m.to)
		delete(c.migrations.moving, task)
	}
}

// migrate continues the moves of tasks, and begins new ones. It reports whether steps that wait may have changed.
func (c *Conductor) migrate(p *pass) bool {
	tasks := slices.SortedFunc(maps.Keys(c.migrations.moving), compareTasks)
	for _, task := range tasks {
		if !c.continueMigration(p, task, c.migrations.moving[task]) {
			c.endMigration(task)
		}
	}
	if len(tasks) > 0 {
		c.refreshStale()
	}
	if c.speeds.inEffect && c.migrations.migrator.Enabled() && c.migrations.pass.begin(p.now) {
		c.beginMigrations(p)
	}
	return len(tasks) > 0
}

func (c *Conductor) beginMigrations(p *pass) {
	clear(c.migrations.behind)
	var found []behindRun
	for _, s := range c.orderedSessions() {
		found = append(found, c.findBehind(p, s)...)
	}
	for _, b := range found {
		if len(c.migrations.moving) < maxMigrations {
			c.considerMove(p, b)
		}
	}
}

func compareTasks(a, b specifier.TaskID) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
}

// continueMigration places a task whose former run has ended. It reports false when the move has ended.
func (c *Conductor) continueMigration(p *pass, task specifier.TaskID, m *migration) bool {
	j := c.jobs[task.Job]
	if j == nil || !p.now.Before(m.expiresAt) || c.sessions[m.from.id] != m.from || c.sessions[m.to.id] != m.to {
		return false
	}
	step, ok := j.Step(task.StepID)
	if !ok || step.Finished() || step.Tasks[task.Index].State == lifecycler.Done {
		return false
	}
	known := step.Tasks[task.Index]
	if known.State == lifecycler.Placed {
		if known.Run == m.run {
			return true
		}
		a := m.to.allocations[task]
		return a != nil && a.run == known.Run && !a.answered
	}
	w := c.waitingSteps[step.ID]
	if w == nil || !slices.Contains(w.waiting, task.Index) {
		return true
	}
	if m.placed && !m.refused {
		m.refused = true
		c.logDecision("MoveRefused", task, known.Run, m.to.id, "the task starts again on "+string(m.from.id))
	}
	if !m.refused {
		m.release(&m.keptTo, m.to)
		m.placed = c.placeMoved(p, w, task.Index, m.to)
		m.refused = !m.placed
		if m.placed {
			return true
		}
	}
	m.release(&m.keptFrom, m.from)
	if c.placeMoved(p, w, task.Index, m.from) {
		return false
	}
	m.keep(&m.keptFrom, m.from)
	c.requestTickets(p, w, []*session{m.from})
	return true
}

// placeMoved places a waiting task on a server, and reports whether it could.
func (c *Conductor) placeMoved(p *pass, w *waitingStep, index int, s *session) bool {
	w.startable = c.startableTasks(w)
	if w.startable < 1 || !p.mayStart(w) || p.now.Before(w.job.blockedUntil) || w.isSuspect(index) ||
		!c.mayMoveTo(p, w, s) || placedOn(s, w.step, index) || w.job.queue.Advice.Needed && !c.hasTicket(p.now, w, s) {
		return false
	}
	c.reserve(p, w, s, index, w.step.NextRun(index))
	c.changed(w.job)
	return true
}

// mayMoveTo reports whether a task of the step fits a server that may run it.
func (c *Conductor) mayMoveTo(p *pass, w *waitingStep, s *session) bool {
	return s.usable(p.now) && s.server.Service == w.job.queue.Service && s.server.HasLabel(w.step.Spec.RequiredLabel) && s.mayRun(w) &&
		!w.isHeldFrom(p.now, s) && w.fits(s) > 0
}

func (c *Conductor) hasTicket(now time.Time, w *waitingStep, s *session) bool {
	t, granted := w.job.adviceFor(w.step.ID).ticketFor(s.server)
	return granted && t.usable(now)
}
