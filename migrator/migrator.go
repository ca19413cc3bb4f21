package migrator

import (
	"math"
	"time"

	"egretring.example/egretring/specifier"
)

const (
	// taskSpread is the standard deviation of the logarithmic run times of the tasks of a step. The users state 0.15 to 0.3.
	taskSpread = 0.3
	// minEnds is the number of ends of other tasks of a step from which on a task can be behind them.
	minEnds = 2
	// retention is how long the ends of a step count after the last one, and sweepInterval how often older ones are removed. The users'
	// longest tasks run for less.
	retention     = time.Minute
	sweepInterval = 10 * time.Second
)

// farBehind is the multiple of the typical run time from which on a task is far behind: two standard deviations.
var farBehind = math.Exp(2 * taskSpread)

// Migrator knows the ends of the tasks of the steps that run.
type Migrator struct {
	checkpointInterval, restoreTime time.Duration
	steps                           map[specifier.StepID]*ends
	sweepAt                         time.Time
}

// ends are those of the tasks of a step.
type ends struct {
	count int
	// runSum is the sum of the logarithmic run times in seconds, and workSum that of the logarithmic work.
	runSum, workSum float64
	last            time.Time
}

// Option configures a Migrator.
type Option func(*Migrator)

// WithCheckpoints sets the time between two checkpoints of a run and the time of a restore. Without a time between checkpoints no task
// moves.
func WithCheckpoints(interval, restore time.Duration) Option {
	return func(m *Migrator) { m.checkpointInterval, m.restoreTime = interval, restore }
}

// New returns a Migrator that knows no ends.
func New(options ...Option) *Migrator {
	m := &Migrator{steps: make(map[specifier.StepID]*ends)}
	for _, option := range options {
		option(m)
	}
	return m
}

// Enabled reports whether tasks may move.
func (m *Migrator) Enabled() bool {
	return m.checkpointInterval > 0
}

// Observe records the end of a task that has done all of its work in one run, on a server of a speed relative to the average.
func (m *Migrator) Observe(now time.Time, id specifier.StepID, run time.Duration, speed float64) {
	if !m.Enabled() || run <= 0 || speed <= 0 {
		return
	}
	m.sweep(now)
	known := m.steps[id]
	if known == nil {
		known = &ends{}
		m.steps[id] = known
	}
	known.count++
	known.runSum += math.Log(run.Seconds())
	known.workSum += math.Log(run.Seconds() * speed)
	known.last = now
}

func (m *Migrator) sweep(now time.Time) {
	if now.Before(m.sweepAt) {
		return
	}
	m.sweepAt = now.Add(sweepInterval)
	for id, known := range m.steps {
		if now.Sub(known.last) > retention {
			delete(m.steps, id)
		}
	}
}

// IsBehind reports whether a task that has run for a time is far behind the others of its step, of which there are count in all. At least
// half of the others must have ended.
func (m *Migrator) IsBehind(id specifier.StepID, count int, elapsed time.Duration) bool {
	known := m.steps[id]
	return known != nil && known.count >= max(minEnds, (count-1)/2) && elapsed.Seconds() > farBehind*known.typicalRun()
}

// typicalRun returns the typical run time in seconds.
func (e *ends) typicalRun() float64 {
	return math.Exp(e.runSum / float64(e.count))
}

// work returns the typical work of a task, in seconds at the average speed.
func (e *ends) work() float64 {
	return math.Exp(e.workSum / float64(e.count))
}
