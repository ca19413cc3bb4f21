package conductor

import (
	"fmt"
	"time"

	"egretring.example/egretring/accountant"
	"egretring.example/egretring/arbiter"
)

// chooseClaims chooses the gangs for which quota accumulates.
func (c *Conductor) chooseClaims(now time.Time) {
	gangs := c.quota.gangs[:0]
	for _, w := range c.waitingSteps {
		if !w.step.Spec.Gang || !w.isCounted() {
			continue
		}
		w.tier = w.tierAt(now)
		waited := time.Duration(0)
		if !w.wait.since.IsZero() {
			waited = now.Sub(w.wait.since)
		}
		gangs = append(gangs, accountant.Gang{
			Step: w.step.ID, Team: w.job.Spec.Team, Need: w.step.Spec.Need, Members: len(w.waiting), Waited: waited,
			Late: w.tier != onTime, State: &w.wait.claim,
		})
	}
	c.quota.gangs = gangs
	begun := c.quota.claims.Choose(now, gangs, func(a, b *accountant.Gang) bool {
		return arbiter.Before(&c.waitingSteps[a.Step].rank, &c.waitingSteps[b.Step].rank)
	}, func(team string) *accountant.Outlook { return c.outlook(now, team) })
	for _, g := range begun {
		w := c.waitingSteps[g.Step]
		c.logDecision("QuotaKept", g.Step.Task(w.waiting[0]), 0, "",
			fmt.Sprintf("%s, expected after %s", c.quotaText(w), c.quota.claims.Of(g.Team).Wait))
	}
}

// claimAgainst returns the claim of a gang of its team that keeps quota from the step, or nil.
func (c *Conductor) claimAgainst(w *waitingStep) *accountant.Claim {
	claim := c.quota.claims.Of(w.job.Spec.Team)
	if claim == nil || !claim.HoldsBack(w.step.ID, w.urgent(), w.step.Spec.LongRunning, w.step.Spec.Estimate) {
		return nil
	}
	return claim
}
