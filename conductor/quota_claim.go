package conductor

import (
	"fmt"
	"time"

	"egretring.example/egretring/specifier"
)

const (
	// claimAfter is how long a gang waits before quota of its team accumulates for it: the target latency of the queues of gangs.
	claimAfter = time.Second
	// claimFirstAfter is how long a gang waits before it precedes all gangs of its team that have waited for less.
	claimFirstAfter = holdAfterContended
	// claimTimeout is how long enough quota is kept for a gang that does not start, and how long none is kept for it then.
	claimTimeout = holdTimeout
)

// quotaClaim keeps quota of a team for a gang. Without it, smaller steps of the team would take what the gang needs whenever a part
// becomes free.
type quotaClaim struct {
	step specifier.StepID
	// need is that of all members.
	need specifier.Resources
	// late is set when the gang can no longer meet its objective. Only then are urgent steps held back.
	late bool
	// wait is the time until the gang should fit the limit. Runs that should end before may start.
	wait time.Duration
}

// holdsBack reports whether quota is kept from the step.
func (q *quotaClaim) holdsBack(w *waitingStep) bool {
	if w.step.ID == q.step || w.urgent() && !q.late {
		return false
	}
	return w.step.Spec.LongRunning || w.step.Spec.Estimate+backfillMargin > q.wait
}

// chooseClaims chooses the gangs for which quota accumulates: for each team the first one that has waited, lacks quota and could run within
// the limit.
func (c *Conductor) chooseClaims(now time.Time) {
	var chosen map[string]*waitingStep
	for _, w := range c.waitingSteps {
		if !w.step.Spec.Gang || !w.isCounted() || !c.mayClaim(now, w) {
			continue
		}
		w.tier = w.tierAt(now)
		team := w.job.Spec.Team
		if chosen == nil {
			chosen = make(map[string]*waitingStep)
		}
		if before := chosen[team]; before == nil || w.claimsBefore(now, before) {
			chosen[team] = w
		}
	}
	previous := c.quota.claims
	c.quota.claims = make(map[string]*quotaClaim, len(chosen))
	for team, w := range chosen {
		w.wait.claims = true
		claim := &quotaClaim{
			step: w.step.ID, need: w.step.Spec.Need.Times(len(w.waiting)), late: w.tier != onTime,
			wait: c.accounts.TimeUntil(team, w.step.Spec.Need, len(w.waiting), c.outlook(now, team)),
		}
		c.quota.claims[team] = claim
		if before := previous[team]; before == nil || before.step != claim.step {
			c.logDecision("QuotaKept", w.step.ID.Task(w.waiting[0]), 0, "",
				fmt.Sprintf("%s, expected after %s", c.quotaText(w), claim.wait))
		}
	}
}

// mayClaim reports whether quota may accumulate for a gang. Once it has, it is kept until the gang starts, for claimTimeout at most.
func (c *Conductor) mayClaim(now time.Time, w *waitingStep) bool {
	if !w.hasWaitedFor(now, claimAfter) || now.Before(w.wait.claimNotBefore) {
		return false
	}
	team, need, members := w.job.Spec.Team, w.step.Spec.Need, len(w.waiting)
	if c.accounts.Fits(team, need, members) < members {
		w.wait.enoughSince = time.Time{}
		return c.accounts.Allows(team, need, members, c.outlook(now, team))
	}
	if !w.wait.claims {
		return false
	}
	if w.wait.enoughSince.IsZero() {
		w.wait.enoughSince = now
	}
	if now.Sub(w.wait.enoughSince) >= claimTimeout {
		w.wait.claims, w.wait.enoughSince, w.wait.claimNotBefore = false, time.Time{}, now.Add(claimTimeout)
		return false
	}
	return true
}

// claimsBefore reports whether quota accumulates for the gang rather than for another one of its team.
func (w *waitingStep) claimsBefore(now time.Time, other *waitingStep) bool {
	if first := w.hasWaitedFor(now, claimFirstAfter); first != other.hasWaitedFor(now, claimFirstAfter) {
		return first
	}
	return compareWaitingSteps(w, other) < 0
}
