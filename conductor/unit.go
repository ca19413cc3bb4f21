package conductor

import (
	"cmp"
	"slices"
	"time"

	"egretring.example/egretring/lifecycler"
	"egretring.example/egretring/specifier"
)

// unit is a step with tasks that wait for a start.
type unit struct {
	job     *job
	step    *lifecycler.Step
	waiting []int
	tier    tier
	slack   time.Duration
}

// tier groups waiting steps by what their job still gives its caller.
type tier int

const (
	// onTime jobs can still meet their objective.
	onTime tier = iota
	// overdue jobs have missed their objective.
	overdue
	// worthless jobs have missed it by so much that their caller gains nothing.
	worthless
)

// worthlessAfter is the multiple of the objective after which a result has no value to the caller.
const worthlessAfter = 3

// adviceShare is the number of servers in the call for advice that objectives take into account.
const adviceShare = 30

// refresh recomputes the waiting steps of a job.
func (c *Conductor) refresh(j *job) {
	for _, u := range j.units {
		delete(c.units, u.step.ID)
	}
	j.units = j.units[:0]
	for _, step := range j.ReadySteps() {
		waiting := step.WaitingTasks()
		if len(waiting) == 0 {
			continue
		}
		u := &unit{job: j, step: step, waiting: waiting}
		j.units = append(j.units, u)
		c.units[step.ID] = u
	}
}

// objectiveOf returns how long an occurrence of a job may take.
func objectiveOf(j *job) time.Duration {
	chain := j.LongestChain()
	if j.queue.Advice.Needed {
		chain += (j.queue.Advice.Fixed + adviceShare*j.queue.Advice.PerServer) * time.Duration(len(j.Spec.Steps))
	}
	return time.Duration(float64(chain)*max(j.queue.Stretch, 1)) + j.queue.TargetLatency
}

// rank computes what orders a waiting step.
func (u *unit) rank(now time.Time) {
	allowed := objectiveOf(u.job)
	due := u.job.Spec.DueAt(u.step.ID.Occurrence)
	u.slack = due.Add(allowed).Sub(now) - u.job.RemainingTime(u.step.ID.Step)
	switch {
	case u.slack >= 0:
		u.tier = onTime
	case now.Before(due.Add(worthlessAfter * allowed)):
		u.tier = overdue
	default:
		u.tier = worthless
	}
}

// ordered returns the waiting steps, the first to place first.
func (c *Conductor) ordered(now time.Time) []*unit {
	units := make([]*unit, 0, len(c.units))
	for _, u := range c.units {
		u.rank(now)
		units = append(units, u)
	}
	slices.SortFunc(units, func(a, b *unit) int {
		return cmp.Or(
			cmp.Compare(a.tier, b.tier),
			cmp.Compare(a.job.queue.Priority, b.job.queue.Priority),
			cmp.Compare(a.slack, b.slack),
			cmp.Compare(a.step.ID.String(), b.step.ID.String()),
		)
	})
	return units
}

// server returns the session that a placement may use.
func (c *Conductor) candidates(now time.Time, u *unit) []*session {
	var found []*session
	for _, s := range c.sessions {
		if s.server.Service == u.job.queue.Service && s.usable(now) && s.server.HasLabel(u.step.Spec.RequiredLabel) {
			found = append(found, s)
		}
	}
	return found
}

// need returns what a task of the unit's step occupies.
func (u *unit) need() specifier.Resources {
	return u.step.Spec.Occupies()
}
