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
	// latestStart is when the step has to start for its job to meet its objective.
	latestStart time.Time
	// worthlessAt is when the result of the job has no value to its caller any more.
	worthlessAt time.Time
	tier        tier
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
	c.replan = true
	allowed := objectiveOf(j)
	for _, step := range j.ReadySteps() {
		waiting := step.WaitingTasks()
		if len(waiting) == 0 {
			continue
		}
		due := j.Spec.DueAt(step.ID.Occurrence)
		u := &unit{
			job: j, step: step, waiting: waiting, worthlessAt: due.Add(worthlessAfter * allowed),
			latestStart: due.Add(allowed - j.RemainingTime(step.ID.Step)),
		}
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

// rank returns the tier of a waiting step.
func (u *unit) rank(now time.Time) tier {
	switch {
	case !now.After(u.latestStart):
		return onTime
	case now.Before(u.worthlessAt):
		return overdue
	default:
		return worthless
	}
}

// ordered returns the waiting steps, the first to place first.
func (c *Conductor) ordered(now time.Time) []*unit {
	units := make([]*unit, 0, len(c.units))
	for _, u := range c.units {
		u.tier = u.rank(now)
		units = append(units, u)
	}
	slices.SortFunc(units, compareUnits)
	return units
}

// compareUnits orders two waiting steps. It looks at the identities only when all else is equal, because a backlog is sorted
// in each pass.
func compareUnits(a, b *unit) int {
	if a.tier != b.tier {
		return cmp.Compare(a.tier, b.tier)
	}
	if a.job.queue.Priority != b.job.queue.Priority {
		return cmp.Compare(a.job.queue.Priority, b.job.queue.Priority)
	}
	if order := a.latestStart.Compare(b.latestStart); order != 0 {
		return order
	}
	return cmp.Or(
		cmp.Compare(a.job.Spec.ID, b.job.Spec.ID),
		cmp.Compare(a.step.ID.Step, b.step.ID.Step),
		cmp.Compare(a.step.ID.Occurrence, b.step.ID.Occurrence),
	)
}

// need returns what a task of the unit's step occupies.
func (u *unit) need() specifier.Resources {
	return u.step.Spec.Occupies()
}
