package conductor

import (
	"slices"
	"time"

	"egretring.example/egretring/specifier"
)

// advice holds the responses of the advice service about the servers for a step.
type advice struct {
	// granted has the ticket of each server that may run the step, and refused the incarnation of each that may not. What was
	// said about an incarnation is void for the next one, which may be of another kind.
	granted map[specifier.ServerID]ticket
	refused map[specifier.ServerID]int64
	// calls is the number of calls in flight, and pendingUntil when they are given up.
	calls        int
	pendingUntil time.Time
	// validUntil is when the ticket that is valid longest expires.
	validUntil time.Time
	// retryAt is the earliest time of the next search for servers to request advice for, after a search found none.
	retryAt time.Time
	// placedAt is when a task of the step was last placed.
	placedAt time.Time
}

// usable reports whether any ticket is still valid for long enough to start a run with it.
func (a *advice) usable(now time.Time) bool {
	return a.validUntil.After(now.Add(ticketMargin))
}

type ticket struct {
	text        string
	validUntil  time.Time
	incarnation int64
}

// ticketFor returns the ticket for the present incarnation of a server, which may have expired, and reports whether there is one.
func (a *advice) ticketFor(server specifier.Server) (ticket, bool) {
	if a == nil {
		return ticket{}, false
	}
	t, granted := a.granted[server.ID]
	return t, granted && t.incarnation == server.Incarnation
}

// refuses reports whether the present incarnation of a server may not run the step.
func (a *advice) refuses(server specifier.Server) bool {
	if a == nil {
		return false
	}
	incarnation, refused := a.refused[server.ID]
	return refused && incarnation == server.Incarnation
}

// usable reports whether the ticket is still valid for long enough to start a run with it.
func (t ticket) usable(now time.Time) bool {
	return !t.validUntil.Before(now.Add(ticketMargin))
}

func (j *job) adviceFor(id specifier.StepID) *advice {
	adv := j.advice[id]
	if adv == nil {
		adv = &advice{granted: make(map[specifier.ServerID]ticket), refused: make(map[specifier.ServerID]int64)}
		j.advice[id] = adv
	}
	return adv
}

func (j *job) ticket(step specifier.StepID, server specifier.Server) string {
	t, granted := j.advice[step].ticketFor(server)
	if !granted {
		return ""
	}
	return t.text
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
		if s != nil && t.incarnation == s.server.Incarnation && t.usable(now) && s.usable(now) &&
			s.server.Service == w.job.queue.Service && s.mayRun(w) {
			servers = append(servers, s)
		}
	}
	return servers
}

// needsLongCall reports whether every advice call for the step is long.
func (w *waitingStep) needsLongCall() bool {
	return w.job.queue.Advice.Fixed > longAdvice
}

// requestAdvice requests tickets when too few servers that could take the step have one. Calls for a gang are made at the
// same time, so that their tickets are valid together.
func (c *Conductor) requestAdvice(p *pass, w *waitingStep) {
	adv := w.job.adviceFor(w.step.ID)
	names := c.serversToRequest(p, w, adv)
	if len(names) == 0 {
		adv.retryAt = p.now.Add(adviceRetryInterval)
		return
	}
	calls := (len(names) + maxAdviceServers - 1) / maxAdviceServers
	if calls > 1 && min(p.freeAdvisors, p.freeForLong) < min(calls, c.advisors.LongCalls()) {
		c.reserveAdvisors(p, w)
		return
	}
	c.endReservation(p, w)
	size := (len(names) + calls - 1) / calls
	for chunk := range slices.Chunk(names, size) {
		if !c.callForAdvice(p, w, adv, chunk) {
			return
		}
	}
}

// callForAdvice makes an advice call. It reports false when no advisor may make it.
func (c *Conductor) callForAdvice(p *pass, w *waitingStep, adv *advice, names []specifier.ServerID) bool {
	expected := w.adviceTime(len(names))
	timeout := adviceTimeFactor*expected + adviceTimeout
	busyUntil := p.now.Add(timeout + adviceResponseGrace)
	long := expected > longAdvice
	advisor, ok := c.advisors.Take(p.now, busyUntil, long)
	if !ok {
		return false
	}
	p.freeAdvisors--
	if long {
		p.freeForLong--
	}
	adv.calls++
	adv.pendingUntil = busyUntil
	incarnations := make(map[specifier.ServerID]int64, len(names))
	for _, id := range names {
		if s := c.sessions[id]; s != nil {
			s.named(p.now.Add(expected + ticketMargin))
			incarnations[id] = s.server.Incarnation
		}
	}
	c.emit(Advise{
		Advisor: advisor, Step: w.step.ID, Servers: names, Incarnations: incarnations, ExpectedTime: expected, Timeout: timeout,
	})
	return true
}

// adviceTime returns how long an advice call for the step that names a number of servers should take.
func (w *waitingStep) adviceTime(servers int) time.Duration {
	cost := w.job.queue.Advice
	return cost.Fixed + time.Duration(servers)*cost.PerServer
}

// serversToRequest returns the servers to request tickets for, or none when no call would help now.
func (c *Conductor) serversToRequest(p *pass, w *waitingStep, adv *advice) []specifier.ServerID {
	servers := w.withoutFar(p.now, p.candidates(w))
	if w.tier == onTime && !c.hasHold(w) {
		return w.ticketsInAdvance(p.now, adv, servers)
	}
	// The tickets of a late step that fits nowhere would expire unused, and its call would occupy an advisor that other
	// steps need.
	idle := p.freeForLong > 1 && spareAdvisors*p.freeForLong >= c.advisors.LongCalls()
	if !idle && !c.hasHold(w) && !w.couldFit(adv, servers) {
		return nil
	}
	if !w.step.Spec.Gang {
		return w.ticketsInAdvance(p.now, adv, servers)
	}
	return c.gangTickets(p, w, adv, idle)
}

func serverIDs(servers []*session) []specifier.ServerID {
	ids := make([]specifier.ServerID, 0, len(servers))
	for _, s := range servers {
		ids = append(ids, s.server.ID)
	}
	return ids
}

// couldFit reports whether any task of the step, or all tasks of a gang, would fit if advice admitted all servers that it
// has not refused.
func (w *waitingStep) couldFit(adv *advice, servers []*session) bool {
	return fitsOn(servers, w.required(), func(s *session) int {
		if adv.refuses(s.server) {
			return 0
		}
		return w.fits(s)
	})
}

// callSize returns how many of the servers, in their order, a call should name to admit the given number of tasks, given
// how many of them fit each server.
func callSize(servers []*session, tasks int, fits func(*session) int) int {
	return min(max(adviceServers, countServers(servers, adviceOverRequest*tasks, fits)), len(servers))
}

// ticketsInAdvance returns the servers to name in the next call for a step, so that it can start as soon as it fits, or none
// when the present tickets suffice.
func (w *waitingStep) ticketsInAdvance(now time.Time, adv *advice, servers []*session) []specifier.ServerID {
	var expired, unknown []*session
	fitting := 0
	for _, s := range servers {
		t, granted := adv.ticketFor(s.server)
		switch {
		case adv.refuses(s.server):
		case !granted:
			unknown = append(unknown, s)
		case t.validUntil.After(now.Add(2 * ticketMargin)):
			fitting += w.fits(s)
		default:
			expired = append(expired, s)
		}
	}
	wanted := min(len(w.waiting), w.expected)
	if fitting >= wanted {
		return nil
	}
	slices.SortFunc(expired, w.compareExpectedCapacity)
	slices.SortFunc(unknown, w.compareExpectedCapacity)
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
	limit := max(0, min(callSize(unknown, wanted-fitting, w.fits), maxAdviceServers-len(names)))
	// All members of a gang need tickets that are valid at the same time, which the tickets of successive calls may not
	// be.
	if !w.step.Spec.Gang && time.Duration(limit)*w.job.queue.Advice.PerServer > longAdvice {
		limit = min(limit, adviceServers)
	}
	return append(names, serverIDs(unknown[:limit])...)
}

// applyAdvice records the tickets of an advice call and the servers that the call refused, and frees its advisor.
func (c *Conductor) applyAdvice(now time.Time, e Advised) {
	c.advisors.Finish(now, e.Advisor, e.Failed)
	c.replan = true
	c.logAdvice(now, e)
	j := c.jobs[e.Step.Job]
	if j == nil || j.State().Final() {
		c.advised.add(now, e, nil)
		return
	}
	if w := c.waitingSteps[e.Step]; w != nil {
		w.fresh = true
		c.hasFresh = c.hasFresh || w.urgent()
	}
	adv := j.adviceFor(e.Step)
	c.advised.add(now, e, adv)
	adv.calls--
	if adv.calls <= 0 {
		adv.calls, adv.pendingUntil = 0, time.Time{}
	}
	if e.Failed {
		return
	}
	if len(e.Grants) > 0 && e.ValidUntil.After(adv.validUntil) {
		adv.validUntil = e.ValidUntil
	}
	for _, grant := range e.Grants {
		adv.grant(e.SentAt, grant.Server, ticket{text: grant.Ticket, validUntil: e.ValidUntil, incarnation: e.Incarnations[grant.Server]})
	}
	for _, server := range e.Servers {
		adv.refuse(server, e.Incarnations[server])
	}
}

// grant records a ticket that was asked for at a time, unless there was a valid one for an incarnation with a later start time.
func (a *advice) grant(askedAt time.Time, server specifier.ServerID, t ticket) {
	if known, granted := a.granted[server]; !granted || known.incarnation <= t.incarnation || known.validUntil.Before(askedAt) {
		a.granted[server] = t
	}
}

// refuse records that an incarnation may not run the step, unless it has a ticket or a later one is known.
func (a *advice) refuse(server specifier.ServerID, incarnation int64) {
	if known, granted := a.granted[server]; granted && known.incarnation >= incarnation {
		return
	}
	if known, refused := a.refused[server]; !refused || known < incarnation {
		a.refused[server] = incarnation
	}
}
