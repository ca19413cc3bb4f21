package conductor

import (
	"cmp"
	"slices"
	"time"

	"egretring.example/egretring/lifecycler"
	"egretring.example/egretring/specifier"
)

// pass is one attempt to place all waiting steps.
type pass struct {
	now time.Time
	// usable are the servers of each service that may get new runs.
	usable map[string][]*session
	// heldFor are servers whose room a gang of this priority waits for.
	heldFor map[specifier.ServerID]int
	// widest is, for each service, the most room of each kind that any usable server has.
	widest map[string]specifier.Resources
	// advisable is the number of advisors that are still free, and longAdvisable how many of them may make a long call.
	advisable     int
	longAdvisable int
}

func (c *Conductor) newPass(now time.Time) *pass {
	p := &pass{
		now: now, usable: make(map[string][]*session), heldFor: make(map[specifier.ServerID]int),
		widest: make(map[string]specifier.Resources),
	}
	p.advisable, p.longAdvisable = c.advisors.Free(now)
	for _, s := range c.sessions {
		if s.usable(now) {
			p.usable[s.server.Service] = append(p.usable[s.server.Service], s)
		}
	}
	for service, servers := range p.usable {
		slices.SortFunc(servers, func(a, b *session) int { return cmp.Compare(a.server.ID, b.server.ID) })
		p.measure(service)
	}
	return p
}

// candidates returns the servers that may run the unit's step as far as no advice is needed.
func (p *pass) candidates(u *unit) []*session {
	var found []*session
	for _, s := range p.usable[u.job.queue.Service] {
		if s.server.HasLabel(u.step.Spec.RequiredLabel) {
			found = append(found, s)
		}
	}
	return found
}

// measure finds the widest room on the usable servers of a service.
func (p *pass) measure(service string) {
	var widest specifier.Resources
	for _, s := range p.usable[service] {
		widest = widest.Widest(s.room())
	}
	p.widest[service] = widest
}

// place starts what fits, in the order of the waiting steps, and asks for the advice that they need. Passes keep a
// distance that grows with the number of waiting steps, so that a backlog does not take the whole processor.
func (c *Conductor) place(now time.Time) {
	if now.Before(c.placeNotBefore) || (!c.replan && now.Before(c.placeAgainAt)) {
		return
	}
	c.replan, c.placeAgainAt = false, now.Add(placeInterval)
	c.placeNotBefore = now.Add(min(max(time.Duration(len(c.units))*passTimePerStep, shortestPassInterval), placeInterval))
	p := c.newPass(now)
	for _, u := range c.ordered(now) {
		c.placeUnit(p, u)
	}
}

// NextPlan returns when Plan should be called again for what was put off, if there is anything.
func (c *Conductor) NextPlan() (time.Time, bool) {
	next, due := c.placeNotBefore, c.replan
	if len(c.dirty) > 0 && (!due || c.commitNotBefore.Before(next)) {
		next, due = c.commitNotBefore, true
	}
	if c.holdPass.skipped && (!due || c.holdPass.next.Before(next)) {
		next, due = c.holdPass.next, true
	}
	return next, due
}

func (c *Conductor) placeUnit(p *pass, u *unit) {
	service := u.job.queue.Service
	advised := u.job.queue.Advice.Needed
	if advised && p.mayAsk(u) && c.requestAdvice(p.now, u, p.candidates(u)) {
		p.asked(u)
	}
	if !u.need().Fits(p.widest[service]) {
		return
	}
	var candidates []*session
	if advised {
		candidates = c.granted(p.now, u)
	} else {
		candidates = p.candidates(u)
	}
	candidates = p.withoutHeld(u, candidates)
	placed := false
	if u.step.Spec.Gang {
		placed = c.placeGang(p, u, candidates)
	} else {
		placed = c.placeTasks(u, candidates)
	}
	if placed {
		p.measure(service)
	}
}

// mayAsk reports whether a call for advice may be made for the unit in this pass.
func (p *pass) mayAsk(u *unit) bool {
	if p.advisable <= 0 || u.asksLong() && p.longAdvisable <= 0 {
		return false
	}
	known := u.job.adviceFor(u.step.ID)
	return !p.now.Before(known.askedUntil) && !p.now.Before(known.lookAgainAt)
}

// asked notes that a call for advice is made for the unit.
func (p *pass) asked(u *unit) {
	p.advisable--
	if u.asksLong() {
		p.longAdvisable--
	}
}

// withoutHeld drops the servers that a more important gang waits for.
func (p *pass) withoutHeld(u *unit, candidates []*session) []*session {
	if len(p.heldFor) == 0 {
		return candidates
	}
	return slices.DeleteFunc(candidates, func(s *session) bool {
		priority, held := p.heldFor[s.server.ID]
		return held && u.job.queue.Priority >= priority
	})
}

// fits returns how many tasks of the step the server can take now.
func (u *unit) fits(s *session) int {
	limit := len(u.waiting)
	if bound := u.step.Spec.MaxPerServer; bound > 0 {
		limit = min(limit, bound-s.countOf(u.step.ID))
	}
	if limit <= 0 {
		return 0
	}
	return u.need().Count(s.room(), limit)
}

func (s *session) countOf(step specifier.StepID) int {
	count := 0
	for id := range s.allocations {
		if id.StepID == step {
			count++
		}
	}
	return count
}

// sortByPreference puts the servers first that suit the step best: near its data, without earlier failures of the job,
// and with the least room left over, so that wide room stays for large tasks.
func (u *unit) sortByPreference(servers []*session) {
	slices.SortFunc(servers, func(a, b *session) int {
		return cmp.Or(
			compareBool(a.server.HasLabel(u.step.Spec.PreferredRack), b.server.HasLabel(u.step.Spec.PreferredRack)),
			compareBool(!u.job.avoid[a.server.ID], !u.job.avoid[b.server.ID]),
			cmp.Compare(a.room().MilliCores, b.room().MilliCores),
			cmp.Compare(a.server.ID, b.server.ID),
		)
	})
}

// compareRoom puts the server with the most room first.
func compareRoom(a, b *session) int {
	return cmp.Or(cmp.Compare(b.room().MilliCores, a.room().MilliCores), cmp.Compare(a.server.ID, b.server.ID))
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

// placeTasks places as many waiting tasks as fit, and reports whether it placed any.
func (c *Conductor) placeTasks(u *unit, servers []*session) bool {
	servers = slices.DeleteFunc(servers, func(s *session) bool { return u.fits(s) == 0 })
	u.sortByPreference(servers)
	placed := false
	for _, index := range u.waiting {
		for _, s := range servers {
			if u.fits(s) > 0 && !placedOn(s, u.step, index) {
				c.reserve(u, s, index, u.step.NextRun(index))
				placed = true
				break
			}
		}
	}
	if placed {
		c.changed(u.job)
	}
	return placed
}

// reserve decides the start of a run; it is sent once its record is in the store.
func (c *Conductor) reserve(u *unit, s *session, index, run int) {
	u.job.Place(u.step, index, run, s.server.ID)
	a := &allocation{
		task: u.step.ID.Task(index), run: run, need: u.need(), state: reserved, version: u.job.Version(),
		order: specifier.StartOrder{
			Task: u.step.ID.Task(index), Run: run, Spec: u.job.Spec.Spec, Checkpoint: u.step.SharedCheckpoint(index),
			Ticket: u.job.ticket(u.step.ID, s.server.ID),
		},
	}
	s.add(a)
	u.job.reserved = append(u.job.reserved, &reservation{session: s, allocation: a})
	c.decide("RunPlaced", a.task, run, s.server.ID, "")
}

// placedOn reports whether a task has room on a server.
func placedOn(s *session, step *lifecycler.Step, index int) bool {
	return s.allocations[step.ID.Task(index)] != nil
}
