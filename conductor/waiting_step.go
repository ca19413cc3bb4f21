package conductor

import (
	"time"

	"egretring.example/egretring/arbiter"
	"egretring.example/egretring/lifecycler"
	"egretring.example/egretring/matcher"
	"egretring.example/egretring/specifier"
)

// waitingStep is a step with tasks that wait for a start; waiting has their indexes.
type waitingStep struct {
	job     *job
	step    *lifecycler.Step
	waiting []int
	// due is when the occurrence became due.
	due time.Time
	// stepDue is when the step would have become ready if the steps before it had taken as long as estimated.
	stepDue time.Time
	// latestStart is when the step has to start for its job to meet its objective.
	latestStart time.Time
	// worthlessAt is when the result of the job stops having any value to its caller.
	worthlessAt time.Time
	tier        tier
	// rank is the place of the step in the order of placement.
	rank arbiter.Rank[*waitingStep]
	// preference is the order in which the step prefers servers of different speeds in the present pass.
	preference matcher.Preference
	// fresh is set until the first pass after the step began to wait, or got tickets.
	fresh bool
	wait  wait
	stepQuota
}

// urgent reports whether the step may be placed before a pass over all steps.
func (w *waitingStep) urgent() bool {
	return w.job.queue.Priority == 0
}

// tier groups waiting steps by the value that the result of their job still has for its caller. Jobs are worthless when they have
// reached worthlessAfter times their objective.
type tier = arbiter.Tier

const (
	onTime    = arbiter.OnTime
	overdue   = arbiter.Overdue
	worthless = arbiter.Worthless
)

// worthlessAfter is the multiple of the objective after which a result has no value to the caller.
const worthlessAfter = 3

// objectiveAdviceServers is the number of servers in an advice call for which the objective of a job allows time.
const objectiveAdviceServers = 30

// markStale makes refreshStale recompute the waiting steps of a job.
func (c *Conductor) markStale(j *job) {
	c.replan = true
	if !j.stale {
		j.stale = true
		c.stale = append(c.stale, j)
	}
}

// refreshStale recomputes the waiting steps of the jobs that have changed. The work for a job with many steps or tasks is done once
// for all of its changes since the last time.
func (c *Conductor) refreshStale() {
	for _, j := range c.stale {
		j.stale = false
		c.refresh(j)
	}
	c.stale = c.stale[:0]
}

// refresh recomputes the waiting steps of a job.
func (c *Conductor) refresh(j *job) {
	previous := make(map[specifier.StepID]*waitingStep, len(j.waitingSteps))
	for _, w := range j.waitingSteps {
		previous[w.step.ID] = w
		delete(c.waitingSteps, w.step.ID)
	}
	j.waitingSteps = j.waitingSteps[:0]
	c.replan = true
	allowed := objectiveOf(j)
	orphans := c.orphansOf(j)
	for _, step := range j.ReadySteps() {
		waiting := orphans.without(step, step.WaitingTasks())
		if len(waiting) == 0 {
			continue
		}
		w := newWaitingStep(j, step, waiting, allowed)
		before := previous[step.ID]
		w.fresh = before == nil || before.fresh
		if before != nil {
			w.wait, w.rank.Beyond = before.wait, before.rank.Beyond
			if len(waiting) < len(before.waiting) {
				w.wait.since = time.Time{}
			}
		}
		c.hasFresh = c.hasFresh || w.fresh && w.urgent()
		j.waitingSteps = append(j.waitingSteps, w)
		c.waitingSteps[step.ID] = w
	}
}

// newWaitingStep returns a step of a job whose objective allows an occurrence a time.
func newWaitingStep(j *job, step *lifecycler.Step, waiting []int, allowed time.Duration) *waitingStep {
	due, remaining := j.Spec.DueAt(step.ID.Occurrence), j.RemainingTime(step.ID.Step)
	w := &waitingStep{
		job: j, step: step, waiting: waiting, due: due, worthlessAt: due.Add(worthlessAfter * allowed),
		latestStart: due.Add(allowed - remaining), stepDue: due.Add(j.CriticalPath() - remaining),
	}
	w.rank = w.newRank()
	return w
}

// maxObjective bounds the time in which a job should complete, so that worthlessAfter times as much does not overflow.
const maxObjective = 80 * 365 * 24 * time.Hour

// objectiveOf returns the time in which an occurrence of a job should complete.
func objectiveOf(j *job) time.Duration {
	chain := j.CriticalPath()
	if j.queue.Advice.Needed {
		chain += (j.queue.Advice.Fixed + objectiveAdviceServers*j.queue.Advice.PerServer) * time.Duration(len(j.Spec.Steps))
	}
	stretched := min(float64(chain)*max(j.queue.Stretch, 1), float64(maxObjective))
	return min(time.Duration(stretched)+j.queue.TargetLatency, maxObjective)
}

// tierAt returns the tier of a waiting step at the given time.
func (w *waitingStep) tierAt(now time.Time) tier {
	switch {
	case !now.After(w.latestStart):
		return onTime
	case now.Before(w.worthlessAt):
		return overdue
	default:
		return worthless
	}
}

// inPlacementOrder updates the tiers of the waiting steps and returns the steps in the order in which to place them.
func (c *Conductor) inPlacementOrder(now time.Time) *arbiter.Order[*waitingStep] {
	ranks := make([]*arbiter.Rank[*waitingStep], 0, len(c.waitingSteps))
	for _, w := range c.waitingSteps {
		ranks = append(ranks, w.rankAt(now))
	}
	return arbiter.Arrange(c.teams.arbiter, ranks, true)
}

// rankAt updates the tier of the step and returns its place in the order.
func (w *waitingStep) rankAt(now time.Time) *arbiter.Rank[*waitingStep] {
	w.tier = w.tierAt(now)
	w.rank.Tier, w.rank.Paid, w.rank.Priority = w.tier, w.job.paid, w.job.queue.Priority
	if w.rank.Service != w.job.queue.Service {
		w.rank.Service = w.job.queue.Service
	}
	return &w.rank
}

// newRank returns the place of a new waiting step in the order.
func (w *waitingStep) newRank() arbiter.Rank[*waitingStep] {
	return arbiter.Rank[*waitingStep]{
		Value: w, Step: w.step.ID, Priority: w.job.queue.Priority, Service: w.job.queue.Service,
		Team: w.job.Spec.Team, LatestStart: w.latestStart,
	}
}

// need returns the resources that a task of the step occupies.
func (w *waitingStep) need() specifier.Resources {
	return w.step.Spec.Occupies()
}
