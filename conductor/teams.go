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
	// beyond is set while steps of jobs beyond the rate of their team may wait.
	beyond bool
	// started counts the jobs of each team beyond its rate that were started since the last decision about refusals.
	started map[string]int
	// withinWaits is set when a step within the rate of its team could have used more in the last pass over all steps.
	withinWaits bool
	refusal     throttle
	// refusing is set when the last decision has refused anything, and loggedAt is when the refusal of each team was last logged.
	refusing bool
	loggedAt map[string]time.Time
	// holds counts the holds and the turns for advice that have begun.
	holds int
}

func newTeams() teams {
	return teams{
		arbiter: arbiter.New(), rater: rater.New(), started: make(map[string]int), refusal: throttle{interval: refusalInterval},
		loggedAt: make(map[string]time.Time),
	}
}

func (t *teams) configure(configured specifier.Teams) {
	t.configured = configured.Len() > 0
	t.arbiter.SetTeams(configured)
	t.rater.SetTeams(configured)
}

// markBeyond finds the steps beyond the rates of their teams.
func (c *Conductor) markBeyond(now time.Time) {
	if !c.teams.configured {
		return
	}
	var ranks []*arbiter.Rank[*waitingStep]
	for _, w := range c.waitingSteps {
		if w.job.Spec.Team != "" {
			ranks = append(ranks, w.rankAt(now))
		}
	}
	arbiter.MarkBeyond(ranks, func(team string, waiting int) int { return c.teams.rater.Tokens(now, team, waiting) })
	for _, r := range ranks {
		c.teams.beyond = c.teams.beyond || r.Beyond
	}
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
	if w.rank.Beyond && !w.job.begun {
		c.teams.started[w.job.Spec.Team]++
	}
	w.job.begun = true
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

// decideRefusals decides what is refused of teams whose jobs beyond the rate are late.
func (c *Conductor) decideRefusals(now time.Time) {
	if !c.teams.beyond || !c.teams.refusal.begin(now) {
		return
	}
	c.teams.beyond = false
	late := make(map[string]int)
	for _, w := range c.waitingSteps {
		if !w.rank.Beyond {
			continue
		}
		c.teams.beyond = true
		team := w.job.Spec.Team
		if w.tierAt(now) != onTime {
			late[team]++
		}
	}
	var demands []rater.Demand
	for _, team := range sortedKeys(late) {
		demands = append(demands, rater.Demand{Team: team, Late: late[team], Started: c.teams.started[team]})
	}
	clear(c.teams.started)
	c.refuse(now, c.teams.rater.Decide(now, demands))
}

// refuse publishes decisions about refusals. Without any there is one empty command after the last refusal.
func (c *Conductor) refuse(now time.Time, decisions []rater.Decision) {
	if len(decisions) == 0 && !c.teams.refusing {
		return
	}
	c.teams.refusing = len(decisions) > 0
	var command Refuse
	refused := make(map[string]bool, len(decisions))
	for _, d := range decisions {
		command.Refusals = append(command.Refusals, d.Refusal)
		refused[d.Team] = true
		if last, known := c.teams.loggedAt[d.Team]; !known || now.Sub(last) >= refusalLineInterval {
			c.teams.loggedAt[d.Team] = now
			c.logDecision("TeamRefused", specifier.TaskID{}, 0, "", fmt.Sprintf(
				"team %s: share %.2f, turn %s, rate %.3g, accepted %.3g and offered %.3g jobs a second, %d steps late",
				d.Team, d.Share, d.Turn.Round(time.Millisecond), d.Rate, d.Arrivals, d.Offered, d.Late))
		}
	}
	for team := range c.teams.loggedAt {
		if !refused[team] {
			delete(c.teams.loggedAt, team)
			c.logDecision("TeamAccepted", specifier.TaskID{}, 0, "", "team "+team)
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
