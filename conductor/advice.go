package conductor

import (
	"slices"
	"time"

	"egretring.example/egretring/specifier"
)

// advice holds the responses of the advice service about the servers for a step.
type advice struct {
	// granted has the ticket of each server that may run the step; refused are the servers that may not.
	granted map[specifier.ServerID]ticket
	refused map[specifier.ServerID]bool
	// pendingUntil is set while a call is in flight; at that time the call is given up.
	pendingUntil time.Time
	// validUntil is when the ticket that is valid longest expires.
	validUntil time.Time
	// retryAt is the earliest time of the next search for servers to request advice for, after a search found none.
	retryAt time.Time
}

// usable reports whether any ticket is still valid for long enough to start a run with it.
func (a *advice) usable(now time.Time) bool {
	return a.validUntil.After(now.Add(ticketMargin))
}

type ticket struct {
	text       string
	validUntil time.Time
}

// usable reports whether the ticket is still valid for long enough to start a run with it.
func (t ticket) usable(now time.Time) bool {
	return !t.validUntil.Before(now.Add(ticketMargin))
}

func (j *job) adviceFor(id specifier.StepID) *advice {
	adv := j.advice[id]
	if adv == nil {
		adv = &advice{granted: make(map[specifier.ServerID]ticket), refused: make(map[specifier.ServerID]bool)}
		j.advice[id] = adv
	}
	return adv
}

func (j *job) ticket(step specifier.StepID, server specifier.ServerID) string {
	if adv := j.advice[step]; adv != nil {
		return adv.granted[server].text
	}
	return ""
}

func (c *Conductor) dropTicket(step specifier.StepID, server specifier.ServerID) {
	j := c.jobs[step.Job]
	if j == nil || j.advice[step] == nil {
		return
	}
	if t, ok := j.advice[step].granted[server]; ok {
		t.validUntil = time.Time{}
		j.advice[step].granted[server] = t
	}
}

// serversWithTicket returns the usable servers that have a ticket for the step which is still valid for long enough.
func (c *Conductor) serversWithTicket(now time.Time, w *waitingStep) []*session {
	adv := w.job.adviceFor(w.step.ID)
	var servers []*session
	if !adv.usable(now) {
		return servers
	}
	for id, t := range adv.granted {
		s := c.sessions[id]
		if s != nil && t.usable(now) && s.usable(now) &&
			s.server.HasLabel(w.step.Spec.RequiredLabel) && s.server.Service == w.job.queue.Service && s.mayRun(w) {
			servers = append(servers, s)
		}
	}
	return servers
}

// needsLongCall reports whether every advice call for the step is long.
func (w *waitingStep) needsLongCall() bool {
	return w.job.queue.Advice.Fixed > longAdvice
}

// requestAdvice requests tickets when too few servers that could take the step have one. It reports whether it did.
func (c *Conductor) requestAdvice(now time.Time, w *waitingStep, servers []*session) bool {
	adv := w.job.adviceFor(w.step.ID)
	var names []specifier.ServerID
	// The tickets of a step that has missed its objective and fits nowhere would expire unused, and its call would
	// occupy an advisor that other steps need.
	if w.tier == onTime || w.couldFit(adv, servers) {
		names = w.serversToRequest(now, adv, servers)
	}
	if len(names) == 0 {
		adv.retryAt = now.Add(adviceRetryInterval)
		return false
	}
	cost := w.job.queue.Advice
	expected := cost.Fixed + time.Duration(len(names))*cost.PerServer
	timeout := adviceTimeFactor*expected + adviceTimeout
	busyUntil := now.Add(timeout + adviceResponseGrace)
	advisor, ok := c.advisors.Take(now, busyUntil, expected > longAdvice)
	if !ok {
		return false
	}
	adv.pendingUntil = busyUntil
	c.emit(Advise{Advisor: advisor, Step: w.step.ID, Servers: names, ExpectedTime: expected, Timeout: timeout})
	return true
}

// couldFit reports whether any task of the step, or all tasks of a gang, would fit if advice admitted all servers that it
// has not refused.
func (w *waitingStep) couldFit(adv *advice, servers []*session) bool {
	needed := 1
	if w.step.Spec.Gang {
		needed = len(w.waiting)
	}
	fitting := 0
	for _, s := range servers {
		if !adv.refused[s.server.ID] {
			fitting += w.fits(s)
		}
		if fitting >= needed {
			return true
		}
	}
	return false
}

// callSize returns how many of the servers, in their order, a call should name to admit the given number of tasks.
func (w *waitingStep) callSize(servers []*session, tasks int) int {
	fitting := 0
	for n, s := range servers {
		if n >= adviceServers && fitting >= adviceOverRequest*tasks {
			return n
		}
		fitting += w.fits(s)
	}
	return len(servers)
}

// serversToRequest returns the servers to name in the next call for a step, or none when the present tickets suffice.
func (w *waitingStep) serversToRequest(now time.Time, adv *advice, servers []*session) []specifier.ServerID {
	var expired, unknown []*session
	fitting := 0
	for _, s := range servers {
		t, granted := adv.granted[s.server.ID]
		switch {
		case adv.refused[s.server.ID]:
		case !granted:
			unknown = append(unknown, s)
		case t.validUntil.After(now.Add(2 * ticketMargin)):
			fitting += w.fits(s)
		default:
			expired = append(expired, s)
		}
	}
	wanted := len(w.waiting)
	if fitting >= wanted {
		return nil
	}
	slices.SortFunc(expired, compareFreeCapacity)
	slices.SortFunc(unknown, compareFreeCapacity)
	var names []specifier.ServerID
	for _, s := range expired {
		if fitting >= 2*wanted || len(names) == maxAdviceServers {
			break
		}
		names = append(names, s.server.ID)
		fitting += w.fits(s)
	}
	if fitting >= wanted {
		return names
	}
	limit := max(0, min(w.callSize(unknown, wanted-fitting), maxAdviceServers-len(names)))
	// All members of a gang need tickets that are valid at the same time, which the tickets of successive calls may not
	// be.
	if !w.step.Spec.Gang && time.Duration(limit)*w.job.queue.Advice.PerServer > longAdvice {
		limit = min(limit, adviceServers)
	}
	for _, s := range unknown[:limit] {
		names = append(names, s.server.ID)
	}
	return names
}

// applyAdvice records the tickets of an advice call and the servers that the call refused, and frees its advisor.
func (c *Conductor) applyAdvice(now time.Time, e Advised) {
	c.advisors.Finish(now, e.Advisor, e.Failed)
	c.replan = true
	c.logAdvice(e)
	j := c.jobs[e.Step.Job]
	if j == nil || j.State().Final() {
		return
	}
	adv := j.adviceFor(e.Step)
	adv.pendingUntil = time.Time{}
	if e.Failed {
		return
	}
	if len(e.Grants) > 0 && e.ValidUntil.After(adv.validUntil) {
		adv.validUntil = e.ValidUntil
	}
	for _, grant := range e.Grants {
		adv.granted[grant.Server] = ticket{text: grant.Ticket, validUntil: e.ValidUntil}
	}
	for _, server := range e.Servers {
		if _, granted := adv.granted[server]; !granted {
			adv.refused[server] = true
		}
	}
}
