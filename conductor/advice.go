package conductor

import (
	"slices"
	"time"

	"egretring.example/egretring/specifier"
)

// advice is what is known about the servers that may run a step.
type advice struct {
	// granted has the ticket of each server that may run the step; refused servers may not.
	granted map[specifier.ServerID]ticket
	refused map[specifier.ServerID]bool
	// askedUntil is set while a call is under way.
	askedUntil time.Time
	// validUntil is when the last ticket expires.
	validUntil time.Time
	// lookAgainAt is when it is looked again for servers to ask about, after none was found.
	lookAgainAt time.Time
}

// usable reports whether any ticket is still valid for long enough.
func (a *advice) usable(now time.Time) bool {
	return a.validUntil.After(now.Add(ticketMargin))
}

type ticket struct {
	text       string
	validUntil time.Time
}

func (j *job) adviceFor(id specifier.StepID) *advice {
	known := j.advice[id]
	if known == nil {
		known = &advice{granted: make(map[specifier.ServerID]ticket), refused: make(map[specifier.ServerID]bool)}
		j.advice[id] = known
	}
	return known
}

func (j *job) ticket(step specifier.StepID, server specifier.ServerID) string {
	if known := j.advice[step]; known != nil {
		return known.granted[server].text
	}
	return ""
}

func (c *Conductor) dropTicket(step specifier.StepID, server specifier.ServerID) {
	j := c.jobs[step.Job]
	if j == nil || j.advice[step] == nil {
		return
	}
	if known, ok := j.advice[step].granted[server]; ok {
		known.validUntil = time.Time{}
		j.advice[step].granted[server] = known
	}
}

// granted returns the usable servers with a ticket that is still valid for long enough.
func (c *Conductor) granted(now time.Time, u *unit) []*session {
	known := u.job.adviceFor(u.step.ID)
	var servers []*session
	if !known.usable(now) {
		return servers
	}
	for id, t := range known.granted {
		s := c.sessions[id]
		if s != nil && !t.validUntil.Before(now.Add(ticketMargin)) && s.usable(now) && s.server.HasLabel(u.step.Spec.RequiredLabel) &&
			s.server.Service == u.job.queue.Service {
			servers = append(servers, s)
		}
	}
	return servers
}

// asksLong reports whether every call for the unit's step is long.
func (u *unit) asksLong() bool {
	return u.job.queue.Advice.Fixed > longAdvice
}

// requestAdvice asks for tickets when too few servers that could take the step have one. It reports whether it asked.
func (c *Conductor) requestAdvice(now time.Time, u *unit, servers []*session) bool {
	known := u.job.adviceFor(u.step.ID)
	var names []specifier.ServerID
	// The tickets of a step that has missed its objective and finds no room would expire unused, and its call would keep an
	// advisor from others.
	if u.tier == onTime || u.hasRoom(known, servers) {
		names = u.serversToAsk(now, known, servers)
	}
	if len(names) == 0 {
		known.lookAgainAt = now.Add(adviceLookInterval)
		return false
	}
	cost := u.job.queue.Advice
	expected := cost.Fixed + time.Duration(len(names))*cost.PerServer
	timeout := adviceTimeFactor*expected + adviceTimeout
	busyUntil := now.Add(timeout + adviceReportTime)
	advisor, ok := c.advisors.Take(now, busyUntil, expected > longAdvice)
	if !ok {
		return false
	}
	known.askedUntil = busyUntil
	c.emit(Advise{Advisor: advisor, Step: u.step.ID, Servers: names, ExpectedTime: expected, Timeout: timeout})
	return true
}

// hasRoom reports whether any task of the step, or all of a gang, would fit if advice admitted all servers that it has not
// refused.
func (u *unit) hasRoom(known *advice, servers []*session) bool {
	needed := 1
	if u.step.Spec.Gang {
		needed = len(u.waiting)
	}
	room := 0
	for _, s := range servers {
		if !known.refused[s.server.ID] {
			room += u.fits(s)
		}
		if room >= needed {
			return true
		}
	}
	return false
}

// enough returns how many of the servers, the first to name first, a call should name to admit a number of tasks.
func (u *unit) enough(servers []*session, tasks int) int {
	room := 0
	for n, s := range servers {
		if n >= adviceServers && room >= refusedPerGrant*tasks {
			return n
		}
		room += u.fits(s)
	}
	return len(servers)
}

// serversToAsk returns the servers to name in the next call for a step, or none when tickets suffice.
func (u *unit) serversToAsk(now time.Time, known *advice, servers []*session) []specifier.ServerID {
	var expired, unknown []*session
	room := 0
	for _, s := range servers {
		t, granted := known.granted[s.server.ID]
		switch {
		case known.refused[s.server.ID]:
		case !granted:
			unknown = append(unknown, s)
		case t.validUntil.After(now.Add(2 * ticketMargin)):
			room += u.fits(s)
		default:
			expired = append(expired, s)
		}
	}
	wanted := len(u.waiting)
	if room >= wanted {
		return nil
	}
	slices.SortFunc(expired, compareRoom)
	slices.SortFunc(unknown, compareRoom)
	var names []specifier.ServerID
	for _, s := range expired {
		if room >= 2*wanted || len(names) == mostAdviceServers {
			break
		}
		names = append(names, s.server.ID)
		room += u.fits(s)
	}
	if room >= wanted {
		return names
	}
	limit := max(0, min(u.enough(unknown, wanted-room), mostAdviceServers-len(names)))
	// All members of a gang need tickets that are valid at the same time, which those of several calls in a row may not be.
	if !u.step.Spec.Gang && time.Duration(limit)*u.job.queue.Advice.PerServer > longAdvice {
		limit = min(limit, adviceServers)
	}
	for _, s := range unknown[:limit] {
		names = append(names, s.server.ID)
	}
	return names
}

// advised takes over the answer to a call.
func (c *Conductor) advised(now time.Time, e Advised) {
	c.advisors.Finish(now, e.Advisor, e.Failed)
	c.replan = true
	j := c.jobs[e.Step.Job]
	if j == nil || j.State().Final() {
		return
	}
	known := j.adviceFor(e.Step)
	known.askedUntil = time.Time{}
	if e.Failed {
		return
	}
	if len(e.Grants) > 0 && e.ValidUntil.After(known.validUntil) {
		known.validUntil = e.ValidUntil
	}
	for _, grant := range e.Grants {
		known.granted[grant.Server] = ticket{text: grant.Ticket, validUntil: e.ValidUntil}
	}
	for _, server := range e.Servers {
		if _, granted := known.granted[server]; !granted {
			known.refused[server] = true
		}
	}
}
