package conductor

import (
	"cmp"
	"fmt"
	"slices"
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
	// unrated are restored jobs whose rate was not counted yet.
	unrated []*job
	// beyond is set while steps of jobs beyond the rate of their team may wait.
	beyond bool
	// started counts the jobs of each team beyond its rate that were started since the last decision about refusals.
	started map[string]int
	refusal throttle
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

// rate counts a job against the rate of its team.
func (c *Conductor) rate(j *job) {
	if j.Spec.Team == "" {
		return
	}
	c.rateRestored()
	j.beyondRate = !c.teams.rater.Arrive(j.Spec.AcceptedAt, j.Spec.Team)
	c.teams.beyond = c.teams.beyond || j.beyondRate
}

// rateLater notes a restored job for rateRestored.
func (c *Conductor) rateLater(j *job) {
	if j.Spec.Team != "" {
		c.teams.unrated = append(c.teams.unrated, j)
	}
}

// rateRestored counts the restored jobs against the rates, as if they had arrived when they were accepted. A backlog that a team has sent
// beyond its rate therefore stays beyond it under a new owner. Jobs that have started count as within the rate.
func (c *Conductor) rateRestored() {
	if len(c.teams.unrated) == 0 || !c.teams.configured {
		return
	}
	unrated := c.teams.unrated
	c.teams.unrated = nil
	slices.SortFunc(unrated, func(a, b *job) int {
		return cmp.Or(a.Spec.AcceptedAt.Compare(b.Spec.AcceptedAt), cmp.Compare(a.Spec.ID, b.Spec.ID))
	})
	for _, j := range unrated {
		within := c.teams.rater.Arrive(j.Spec.AcceptedAt, j.Spec.Team)
		if !within && !j.Started() {
			j.beyondRate, c.teams.beyond = true, true
			c.markStale(j)
		}
	}
}

// rateDetail describes the rate of the job's team for the log.
func (j *job) rateDetail() string {
	if !j.beyondRate {
		return ""
	}
	return "beyond the rate of team " + j.Spec.Team
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
	if w.job.beyondRate && !w.job.beyondStarted {
		w.job.beyondStarted = true
		c.teams.started[w.job.Spec.Team]++
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
	return compareBool(!a.job.beyondRate, !b.job.beyondRate)
}

// mayHoldInAdvance reports whether servers may be held for the gang although it is not late. Urgent work within rates would wait for an urgent
// gang beyond them.
func (w *waitingStep) mayHoldInAdvance() bool {
	return !w.job.beyondRate || w.job.queue.Priority > 0
}

// leavesAdvisors reports whether enough advisors are free for a call of the step. Calls beyond the rate of a team leave a part of the
// advisors to others, because a call for a gang occupies one for a second.
func (p *pass) leavesAdvisors(w *waitingStep) bool {
	if !w.job.beyondRate {
		return true
	}
	if w.needsLongCall() && spareAdvisors*p.freeForLong <= p.longCalls {
		return false
	}
	return spareAdvisors*p.freeAdvisors > p.allAdvisors
}

// decideRefusals gives tokens that teams do not use to their waiting jobs beyond the rate, and decides what is refused of teams whose jobs
// beyond the rate are late.
func (c *Conductor) decideRefusals(now time.Time) {
	if !c.teams.beyond || !c.teams.refusal.begin(now) {
		return
	}
	c.teams.beyond = false
	late := make(map[string]int)
	jobs := make(map[string][]*job)
	for _, w := range c.waitingSteps {
		if !w.job.beyondRate {
			continue
		}
		c.teams.beyond = true
		team := w.job.Spec.Team
		if w.tierAt(now) != onTime {
			late[team]++
		}
		if known := jobs[team]; len(known) == 0 || known[len(known)-1] != w.job {
			jobs[team] = append(known, w.job)
		}
	}
	var demands []rater.Demand
	for _, team := range sortedKeys(jobs) {
		c.useSpareTokens(now, team, jobs[team])
		demands = append(demands, rater.Demand{Team: team, Late: late[team], Started: c.teams.started[team]})
	}
	clear(c.teams.started)
	c.refuse(now, c.teams.rater.Decide(now, demands))
}

// useSpareTokens makes the oldest jobs beyond the rate count as within it, as far as the team leaves tokens unused.
func (c *Conductor) useSpareTokens(now time.Time, team string, jobs []*job) {
	slices.SortFunc(jobs, func(a, b *job) int {
		return cmp.Or(a.Spec.AcceptedAt.Compare(b.Spec.AcceptedAt), cmp.Compare(a.Spec.ID, b.Spec.ID))
	})
	for _, j := range slices.Compact(jobs) {
		if !c.teams.rater.TakeSpare(now, team) {
			return
		}
		j.beyondRate = false
		c.markStale(j)
		c.logDecision("JobWithinRate", specifier.TaskID{StepID: specifier.StepID{Job: j.Spec.ID}}, 0, "", "team "+team+" has sent less than its rate since")
	}
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
	if w.job.beyondRate {
		detail += ", " + w.job.rateDetail()
	}
	return detail
}
