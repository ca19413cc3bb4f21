package conductor

import (
	"fmt"
	"time"

	"egretring.example/egretring/accountant"
	"egretring.example/egretring/specifier"
)

// firstWaitLine is how long a step waits before the log says why. The time to the next line doubles with each line.
const firstWaitLine = time.Second

// wait is how long a step has been waiting without any of its tasks being placed.
type wait struct {
	since time.Time
	// nextLineAt is when the log says next why the step waits.
	nextLineAt time.Time
	// holdNotBefore is the earliest time of the next hold after one that expired.
	holdNotBefore time.Time
	// expiredHolds is the number of holds in which the step did not start.
	expiredHolds int
	// unfitSince is since when the step does not fit the servers of its shard; it lies in the future while the step must
	// not borrow, or cannot. borrows is set while the step may run on servers of other shards.
	unfitSince time.Time
	borrows    bool
	// borrowsSince is when borrows was set, and nextAskAt when the other shards are asked again.
	borrowsSince time.Time
	nextAskAt    time.Time
	// usesReserve is set while the step may use the servers that are kept for urgent steps, and reserveCheckAt is when that is checked again.
	usesReserve    bool
	reserveCheckAt time.Time
	// claim is what is known of the quota that accumulates for the gang.
	claim accountant.ClaimState
	// nearSince is when tasks of the step first waited for their preferred rack, and nearUntil is until when they wait for it at most, by
	// the last decision.
	nearSince, nearUntil time.Time
	// asked describes the last wish in the log.
	asked string
}

// postponeHold records that the step has not started in the time of a hold. The time to the next one doubles.
func (w *wait) postponeHold(now time.Time) {
	w.holdNotBefore = now.Add(holdTimeout << min(w.expiredHolds, maxHoldBackoff))
	w.expiredHolds++
}

// waitFigures are the inputs of the decision not to place a step.
type waitFigures struct {
	// Tasks is the number of waiting tasks.
	Tasks int
	Tier  tier
	// Servers are the usable servers with the required label.
	Servers int
	// Tickets are the servers with a valid ticket, Admitted those that advice has admitted, and Refused those that it has
	// refused. All servers are admitted where no advice is needed.
	Tickets, Admitted, Refused int
	// FitTickets is how many tasks fit now on the servers with a valid ticket. FitAdmitted and FitAdmittedEmpty are how
	// many would fit on the admitted servers now and without other runs; FitUnknownEmpty is the same for servers about which
	// advice was not requested.
	FitTickets, FitAdmitted, FitAdmittedEmpty, FitUnknownEmpty int
	// FitElsewhereEmpty is how many would fit the servers of other shards without any runs, except those that advice has refused.
	// What is free on them is not known.
	FitElsewhereEmpty int
	// Held are the servers that are held for other steps.
	Held         int
	FreeAdvisors int
	// CoresInUse and MemoryInUse are percentages of the usable servers of the service.
	CoresInUse, MemoryInUse int
}

// logWaits logs why the steps that have been waiting for long are not placed.
func (c *Conductor) logWaits(p *pass) {
	for _, w := range c.waitingSteps {
		if w.wait.since.IsZero() {
			w.wait.since, w.wait.nextLineAt = p.now, p.now.Add(firstWaitLine)
		}
		if p.now.Before(w.wait.nextLineAt) {
			continue
		}
		waited := p.now.Sub(w.wait.since)
		w.wait.nextLineAt = p.now.Add(waited)
		if c.isAtLimit(w) {
			c.logQuotaWait(p, w, waited)
			continue
		}
		c.logDecision("StepWaits", w.step.ID.Task(w.waiting[0]), 0, "", fmt.Sprintf("after %s, due for %s: %+v%s",
			waited.Round(time.Millisecond), p.now.Sub(w.due).Round(time.Millisecond), c.waitFigures(p, w), c.teamDetail(w)))
	}
}

func (c *Conductor) waitFigures(p *pass, w *waitingStep) waitFigures {
	figures := waitFigures{Tasks: len(w.waiting), Tier: w.tier, FreeAdvisors: p.freeAdvisors}
	advised := w.job.queue.Advice.Needed
	if advised && w.needsLongCall() {
		figures.FreeAdvisors = p.freeForLong
	}
	figures.CoresInUse, figures.MemoryInUse = percentInUse(p.usable[w.job.queue.Service])
	adv := w.job.adviceFor(w.step.ID)
	for _, s := range p.candidates(w) {
		figures.Servers++
		if w.isHeldFrom(p.now, s) {
			figures.Held++
		}
		t, granted := adv.ticketFor(s.server)
		switch {
		case !advised || granted:
			figures.Admitted++
			figures.FitAdmitted += w.fits(s)
			figures.FitAdmittedEmpty += w.fitsEmpty(s)
			if !advised || t.usable(p.now) {
				figures.Tickets++
				figures.FitTickets += w.fits(s)
			}
		case adv.refuses(s.server):
			figures.Refused++
		default:
			figures.FitUnknownEmpty += w.fitsEmpty(s)
		}
	}
	if c.sharded() {
		figures.FitElsewhereEmpty = c.tasksElsewhere(w, w.wanted())
	}
	return figures
}

// percentInUse returns how much of the servers' cores and memory is in use.
func percentInUse(servers []*session) (cores, memory int) {
	var used, capacity specifier.Resources
	for _, s := range servers {
		used, capacity = used.Plus(s.used), capacity.Plus(s.server.Capacity)
	}
	return percent(used.MilliCores, capacity.MilliCores), percent(used.MemoryMB, capacity.MemoryMB)
}

func percent(part, whole int64) int {
	return int(100 * part / max(whole, 1))
}

// fitsEmpty returns how many waiting tasks of the step the server could take without the runs of other steps.
func (w *waitingStep) fitsEmpty(s *session) int {
	return w.need().Count(s.server.Capacity, w.limitOn(s))
}

// logAdvice logs the result of an advice call.
func (c *Conductor) logAdvice(now time.Time, e Advised) {
	result := fmt.Sprintf("%d of %d servers admitted by %s", len(e.Grants), len(e.Servers), e.Advisor)
	if e.Failed {
		result = fmt.Sprintf("call for %d servers by %s failed", len(e.Servers), e.Advisor)
	}
	result += fmt.Sprintf(" after %s", now.Sub(e.SentAt).Round(time.Millisecond))
	if j := c.jobs[e.Step.Job]; j != nil {
		result += ", queue " + j.queue.Name
	}
	c.logDecision("Advised", specifier.TaskID{StepID: e.Step}, 0, "", result)
}
