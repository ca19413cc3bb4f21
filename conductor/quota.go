package conductor

import (
	"fmt"
	"time"

	"egretring.example/egretring/accountant"
	"egretring.example/egretring/specifier"
)

// The limit of a team is checked where runs are reserved, and again when their starts are sent, because a newer configuration may
// have lowered it. See docs/design/quota.md.

const (
	// outlookInterval is how often the expected ends of the runs of teams are collected from all sessions.
	outlookInterval = 50 * time.Millisecond
	// atLimitInterval is the minimum time between two lines about the same team at its limit.
	atLimitInterval = 10 * time.Second
)

// quota is what the owner knows beyond the counts of the accountant.
type quota struct {
	// claims are the gangs for which quota accumulates.
	claims *accountant.Claims
	// gangs is memory for the gangs that wait in a pass.
	gangs []accountant.Gang
	// outlooks are the expected releases of each team since outlookPass last began.
	outlooks    accountant.Outlooks
	outlookPass throttle
	// lineNotBefore is the earliest time of the next line about each team at its limit.
	lineNotBefore map[string]time.Time
}

func newQuota(accounts *accountant.Accountant) quota {
	return quota{
		claims: accountant.NewClaims(accounts), lineNotBefore: make(map[string]time.Time),
		outlookPass: throttle{interval: outlookInterval},
	}
}

// stepQuota is what the limit of its team permits a waiting step.
type stepQuota struct {
	// startable is how many of the waiting tasks may start, less those placed since, and expected how many should be allowed to start
	// by the time at which advice could admit them.
	startable, expected int
}

// isCounted reports whether the job of the step belongs to a team.
func (w *waitingStep) isCounted() bool {
	return w.job.Spec.Team != ""
}

// kept returns what is kept from the step for a gang of its team.
func (c *Conductor) kept(w *waitingStep) specifier.Resources {
	if claim := c.claimAgainst(w); claim != nil {
		return claim.Need
	}
	return specifier.Resources{}
}

// startableTasks returns how many waiting tasks of the step the limit of its team permits.
func (c *Conductor) startableTasks(w *waitingStep) int {
	if !w.isCounted() {
		return len(w.waiting)
	}
	return c.accounts.FitsBeside(w.job.Spec.Team, w.step.Spec.Need, c.kept(w), len(w.waiting))
}

// isAtLimit reports whether the step cannot start because of the limit of its team.
func (c *Conductor) isAtLimit(w *waitingStep) bool {
	return w.isCounted() && c.startableTasks(w) < w.required()
}

// permittedSteps returns the waiting steps that the limits of their teams permit to start.
func (c *Conductor) permittedSteps() []*waitingStep {
	steps := make([]*waitingStep, 0, len(c.waitingSteps))
	for _, w := range c.waitingSteps {
		if !c.isAtLimit(w) {
			steps = append(steps, w)
		}
	}
	return steps
}

// permittedStep returns a step, or nil if it does not wait or the limit of its team does not permit it to start.
func (c *Conductor) permittedStep(id specifier.StepID) *waitingStep {
	if w := c.waitingSteps[id]; w != nil && !c.isAtLimit(w) {
		return w
	}
	return nil
}

// expectsQuota updates what the limit of its team permits a step. It reports false when the step can neither start now nor by the time at
// which advice that is requested now could admit it: advice calls for all steps of a team at its limit would occupy the advisors
// and lead to no starts.
func (c *Conductor) expectsQuota(p *pass, w *waitingStep) bool {
	w.startable = c.startableTasks(w)
	w.expected = w.startable
	if w.startable >= w.required() {
		return true
	}
	c.logAtLimit(p.now, w)
	w.expected = c.expectedTasks(p.now, w)
	return w.expected >= w.required()
}

// expectedTasks returns how many waiting tasks of the step should be permitted when an advice call ends that begins now. What runs of the
// team release until then counts only for a gang from which no other step takes it.
func (c *Conductor) expectedTasks(now time.Time, w *waitingStep) int {
	team := w.job.Spec.Team
	claim := c.quota.claims.Of(team)
	if claim == nil || claim.Step != w.step.ID || !claim.Late || !w.job.queue.Advice.Needed {
		return w.startable
	}
	released := c.outlook(now, team).Within(w.adviceTime(adviceServers))
	return c.accounts.FitsBeside(team, w.step.Spec.Need, specifier.Resources{}.Minus(released), len(w.waiting))
}

// outlook returns what the runs of a team are expected to release; nil if it has none.
func (c *Conductor) outlook(now time.Time, team string) *accountant.Outlook {
	if !c.quota.outlookPass.begin(now) {
		return c.quota.outlooks[team]
	}
	c.quota.outlooks = make(accountant.Outlooks)
	for _, s := range c.sessions {
		for _, a := range s.allocations {
			if a.team != "" {
				c.quota.outlooks.Add(now, a.team, a.counted, c.expectedRun(a))
			}
		}
	}
	return c.quota.outlooks[team]
}

// expectedRun describes a run to the outlook of its team.
func (c *Conductor) expectedRun(a *allocation) accountant.Run {
	j := c.jobs[a.task.Job]
	if a.stopping || j == nil || a.task.Step >= len(j.Spec.Steps) {
		return accountant.Run{Stopping: true}
	}
	return accountant.Run{Lasts: j.lasts(a.task), Estimate: j.Spec.Steps[a.task.Step].Estimate, StartedAt: a.startedAt}
}

// hasRuns reports whether a run of the waiting step exists, as one that was lost and has been found again. A gang that starts on its
// server would take its place in the counts of the server and of the team.
func (c *Conductor) hasRuns(w *waitingStep) bool {
	for s := range c.runs[w.job.Spec.ID] {
		if s.taskCount(w.step.ID) > 0 {
			return true
		}
	}
	return false
}

// logAtLimit logs that a team has reached its limit.
func (c *Conductor) logAtLimit(now time.Time, w *waitingStep) {
	team := w.job.Spec.Team
	if !now.Before(c.quota.lineNotBefore[team]) && c.accounts.Fits(team, w.step.Spec.Need, len(w.waiting)) < w.required() {
		c.quota.lineNotBefore[team] = now.Add(atLimitInterval)
		c.logDecision("TeamAtLimit", w.step.ID.Task(w.waiting[0]), 0, "", c.quotaText(w))
	}
}

// logQuotaWait logs that a step waits because of the limit of its team.
func (c *Conductor) logQuotaWait(p *pass, w *waitingStep, waited time.Duration) {
	c.logDecision("StepWaitsForQuota", w.step.ID.Task(w.waiting[0]), 0, "", fmt.Sprintf("after %s, due for %s: %s",
		waited.Round(time.Millisecond), p.now.Sub(w.due).Round(time.Millisecond), c.quotaText(w)))
}

// quotaText describes why the step cannot start.
func (c *Conductor) quotaText(w *waitingStep) string {
	limit := c.accounts.Usage(w.job.Spec.Team).Limit
	text := fmt.Sprintf("%s; %d tasks wait that need %s each, %d of them at once; configuration %d",
		c.accounts.Usage(w.job.Spec.Team), len(w.waiting), accountant.Text(w.step.Spec.Need, limit), w.required(), c.configuration.Version)
	if claim := c.claimAgainst(w); claim != nil {
		text += fmt.Sprintf("; %s is kept for the gang %s", accountant.Text(claim.Need, limit), claim.Step)
	}
	return text
}

// Quotas returns what the teams have running.
func (c *Conductor) Quotas() []accountant.Usage {
	return c.accounts.Usages()
}
