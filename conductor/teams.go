package conductor

import (
	"fmt"
	"time"

	"egretring.example/egretring/arbiter"
	"egretring.example/egretring/rater"
	"egretring.example/egretring/specifier"
)

const (
	// refusalInterval is how often the refusals are decided. Instances apply them within a second.
	refusalInterval = 500 * time.Millisecond
	// refusalLineInterval is how often the log repeats the refusal of a team.
	refusalLineInterval = 5 * time.Second
	// holdsForAll is how many holds there are for each one that goes to the oldest step, whatever the rate of its team, so that every step
	// starts eventually.
	holdsForAll = 4
)

// teams is the owner's state of the order between teams.
type teams struct {
	arbiter *arbiter.Arbiter
	rater   *rater.Rater
	// configured is set when the configuration has teams.
	configured bool
	// withinWaits is set when a step within the rate of its team could have used more in the last pass over all steps.
	withinWaits bool
	refusal     throttle
	// refusing is set when the last decision has refused anything, and loggedAt is when the refusal of each line was last logged.
	refusing bool
	loggedAt map[rater.Line]time.Time
	// holds counts the holds and the turns for advice that have begun.
	holds int
}

func newTeams() teams {
	return teams{
		arbiter: arbiter.New(), rater: rater.New(), refusal: throttle{interval: refusalInterval},
		loggedAt: make(map[rater.Line]time.Time),
	}
}

func (t *teams) configure(configured specifier.Teams) {
	t.configured = configured.Len() > 0
	t.arbiter.SetTeams(configured)
	t.rater.SetTeams(configured)
}

// markBeyond finds the steps beyond the rates of their teams.
func (c *Conductor) markBeyond(now time.Time) {
	var ranks []*arbiter.Rank[*waitingStep]
	for _, w := range c.waitingSteps {
		if w.job.Spec.Team != "" {
			ranks = append(ranks, w.rankAt(now))
		}
	}
	if len(ranks) == 0 {
		return
	}
	arbiter.MarkBeyond(ranks, func(team string, waiting int) int { return c.teams.rater.Tokens(now, team, waiting) })
}

// setTeamCapacity states the capacity of which runs are charged a share.
func (c *Conductor) setTeamCapacity(p *pass) {
	if !c.teams.configured {
		return
	}
	for service, servers := range p.usable {
		var capacity specifier.Resources
		for _, s := range servers {
			capacity = capacity.Plus(s.server.Capacity)
		}
		c.teams.arbiter.SetCapacity(service, capacity)
	}
}

// charge charges a run that was placed to its team.
func (c *Conductor) charge(w *waitingStep, a *allocation) {
	a.charge = arbiter.Start(c.teams.arbiter, &w.rank, a.need, w.step.Spec.Estimate)
	if !w.rank.Beyond && !w.job.paid {
		w.job.paid = true
		c.teams.rater.Take(w.job.Spec.Team)
	}
	if !w.job.begun {
		w.job.begun = true
		c.teams.rater.Start(w.job.line())
	}
}

// settleCharge corrects the charge of an allocation that is released to its run time, or takes it back if the run did not start.
func (c *Conductor) settleCharge(now time.Time, a *allocation, started bool) {
	if started && !a.startedAt.IsZero() {
		c.teams.arbiter.End(a.charge, now.Sub(a.startedAt))
	} else {
		c.teams.arbiter.Withdraw(a.charge)
	}
	a.charge = arbiter.Charge{}
}

// compareForHold orders the steps within rates before those beyond, except for each holdsForAll-th hold.
func (c *Conductor) compareForHold(a, b *waitingStep) int {
	if c.teams.holds%holdsForAll == holdsForAll-1 {
		return 0
	}
	return compareRate(a, b)
}

// compareRate orders steps within rates before those beyond.
func compareRate(a, b *waitingStep) int {
	return compareBool(!a.rank.Beyond, !b.rank.Beyond)
}

// mayHoldInAdvance reports whether servers may be held for the gang although it is not late. Urgent work within rates would wait for an urgent
// gang beyond them.
func (w *waitingStep) mayHoldInAdvance() bool {
	return !w.rank.Beyond || w.job.queue.Priority > 0
}

// couldUseMore reports whether the step is within the rate of its team and waits for anything but its limit or its own advice call.
func (w *waitingStep) couldUseMore(now time.Time) bool {
	if w.rank.Beyond || w.tier == worthless || w.startable < w.required() || now.Before(w.job.blockedUntil) {
		return false
	}
	adv := w.job.advice[w.step.ID]
	return adv == nil || !now.Before(adv.pendingUntil)
}

// yields reports whether the step is beyond the rate of its team while work within rates waits.
func (p *pass) yields(w *waitingStep) bool {
	return w.rank.Beyond && p.withinWaits
}

// leavesAdvisors reports whether enough advisors are free for a call of the step. Long calls beyond the rate of a team always leave a third
// of the advisors, because a call for a gang occupies one for a second, and work within rates may come meanwhile. Short calls do while
// such work waits.
func (p *pass) leavesAdvisors(w *waitingStep) bool {
	long := w.needsLongCall()
	if !w.rank.Beyond || !long && !p.withinWaits {
		return true
	}
	if long && spareAdvisors*p.freeForLong <= p.longCalls {
		return false
	}
	return spareAdvisors*p.freeAdvisors > p.allAdvisors
}

// decideRefusals decides what is refused of the lines in which jobs beyond the rate of their team wait.
func (c *Conductor) decideRefusals(now time.Time) {
	if !c.teams.configured || !c.teams.refusal.begin(now) {
		return
	}
	waiting := make(rater.Demands)
	for _, w := range c.waitingSteps {
		if w.job.Spec.Team == "" || w.job.begun || w.job.waitingSteps[0] != w || w.tierAt(now) == worthless {
			continue
		}
		waiting.Add(w.job.line(), now.Sub(w.due), w.worthlessAt.Sub(w.due)-w.job.RemainingTime(w.step.ID.Step), w.rank.Beyond)
	}
	c.refuse(now, c.teams.rater.Decide(now, waiting.Beyond()))
}

// line returns the line in which the job waits.
func (j *job) line() rater.Line {
	return rater.Line{Team: j.Spec.Team, Priority: j.queue.Priority}
}

// refuse publishes decisions about refusals. Without any there is one empty command after the last refusal.
func (c *Conductor) refuse(now time.Time, decisions []rater.Decision) {
	if len(decisions) == 0 && !c.teams.refusing {
		return
	}
	c.teams.refusing = len(decisions) > 0
	var command Refuse
	refused := make(map[rater.Line]bool, len(decisions))
	for _, d := range decisions {
		command.Refusals = append(command.Refusals, d.Refusal)
		refused[d.Line] = true
		if last, known := c.teams.loggedAt[d.Line]; !known || now.Sub(last) >= refusalLineInterval {
			c.teams.loggedAt[d.Line] = now
			c.logDecision("TeamRefused", specifier.TaskID{}, 0, "", fmt.Sprintf(
				"team %s, priority %d: share %.2f, turn %s, rate %.3g, offered %.3g and started %.3g jobs a second, %d wait, the first one for %s of %s",
				d.Team, d.Priority, d.Share, d.Turn.Round(time.Millisecond), d.Rate, d.Offered, d.Pace, d.Demand.Waiting,
				d.Demand.Oldest.Round(time.Millisecond), d.Demand.Patience.Round(time.Millisecond)))
		}
	}
	for line := range c.teams.loggedAt {
		if !refused[line] {
			delete(c.teams.loggedAt, line)
			c.logDecision("TeamAccepted", specifier.TaskID{}, 0, "", fmt.Sprintf("team %s, priority %d", line.Team, line.Priority))
		}
	}
	c.emit(command)
}

// teamDetail describes the inputs of the order between teams for a step that waits, for the log.
func (c *Conductor) teamDetail(w *waitingStep) string {
	if w.job.Spec.Team == "" {
		return ""
	}
	detail := fmt.Sprintf(", team %s served %s ahead", w.job.Spec.Team, arbiter.Ahead(c.teams.arbiter, &w.rank).Round(time.Millisecond))
	if w.rank.Beyond {
		detail += ", beyond its rate"
	}
	return detail
}
