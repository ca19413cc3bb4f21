package conductor

import (
	"time"

	"egretring.example/egretring/arbiter"
	"egretring.example/egretring/specifier"
)

// advisorReservation keeps advisors for a gang that needs several calls at the same time: steps after it in the order of placement would
// otherwise take each advisor as soon as it is free. It lasts for one long call, in which busy advisors become free, and is followed by
// as long a pause, because the gang may wait for advisors that steps before it occupy or that cannot work.
type advisorReservation struct {
	step specifier.StepID
	// until is when the reservation ends, and notBefore the earliest time of the next one.
	until, notBefore time.Time
}

// reserveAdvisors keeps advisors for the step, unless a reservation is in force or has just ended.
func (c *Conductor) reserveAdvisors(p *pass, w *waitingStep) {
	if p.now.Before(c.reservation.notBefore) || w.startable < w.required() {
		return
	}
	longest := w.adviceTime(maxAdviceServers)
	c.reservation = advisorReservation{step: w.step.ID, until: p.now.Add(longest), notBefore: p.now.Add(2 * longest)}
	p.advisorsFor = w
}

// endReservation ends the reservation of a step that makes its calls.
func (c *Conductor) endReservation(p *pass, w *waitingStep) {
	if c.reservation.step == w.step.ID {
		c.reservation.until, p.advisorsFor = p.now, nil
	}
}

// stepWithAdvisors returns the step for which advisors are reserved, if there is one.
func (c *Conductor) stepWithAdvisors(now time.Time) *waitingStep {
	if !now.Before(c.reservation.until) {
		return nil
	}
	return c.permittedStep(c.reservation.step)
}

// mayTakeAdvisor reports whether no advisors are reserved for a step before this one in the order of placement.
func (p *pass) mayTakeAdvisor(w *waitingStep) bool {
	return p.advisorsFor == nil || p.advisorsFor == w || arbiter.Before(&w.rank, &p.advisorsFor.rank)
}
