package conductor

import (
	"cmp"
	"slices"
	"time"

	"egretring.example/egretring/arbiter"
	"egretring.example/egretring/lifecycler"
	"egretring.example/egretring/matcher"
	"egretring.example/egretring/specifier"
)

// place places the tasks that fit, in the order of the waiting steps, and requests the advice that the steps need. The
// time between passes over all steps grows with the time that they take, so that a backlog does not take a whole processor.
// Between these passes, urgent steps are placed that are new or have got tickets.
func (c *Conductor) place(now time.Time) {
	if now.Before(c.placeNotBefore) {
		return
	}
	switch {
	case !now.Before(c.fullPassNotBefore) && (c.replan || !now.Before(c.placeAgainAt)):
		c.placeAll(now)
	case c.hasFresh:
		c.placeFresh(now)
	default:
		return
	}
	c.hasFresh = false
	c.placeNotBefore = now.Add(minPassInterval)
}

// placeAll is a pass over all waiting steps.
func (c *Conductor) placeAll(now time.Time) {
	c.replan, c.startsLimited, c.placeAgainAt = false, false, now.Add(placeInterval)
	c.fullPassNotBefore = c.passRate.begin(now, len(c.waitingSteps)*len(c.sessions))
	c.counted.Passes++
	p := c.newPass(now)
	c.markBeyond(now)
	c.chooseClaims(now)
	p.permitted = c.permittedSteps()
	c.findContended(p)
	c.updateSpeeds(p)
	if c.migrate(p) {
		p.permitted = c.permittedSteps()
	}
	c.updateHolds(p)
	c.setTeamCapacity(p)
	p.withinWaits = false
	order := c.inPlacementOrder(now)
	for r, ok := order.Next(); ok; r, ok = order.Next() {
		r.Value.fresh = false
		c.placeNext(p, r.Value)
	}
	c.teams.withinWaits = p.withinWaits
	c.refreshStale()
	if c.startsLimited {
		c.counted.LimitedPasses++
	}
	c.logWaits(p)
}

// placeFresh is a pass over the fresh urgent steps. Servers stay held as in the last pass over all steps.
func (c *Conductor) placeFresh(now time.Time) {
	c.markBeyond(now)
	p := c.newPass(now)
	var fresh []*arbiter.Rank[*waitingStep]
	for _, w := range c.waitingSteps {
		if w.fresh && w.urgent() && !p.yields(w) {
			w.fresh = false
			fresh = append(fresh, w.rankAt(now))
		}
	}
	order := arbiter.Arrange(c.teams.arbiter, fresh, false)
	c.counted.UrgentPasses++
	for r, ok := order.Next(); ok; r, ok = order.Next() {
		c.placeNext(p, r.Value)
	}
}

// NextPlan returns when Plan should be called again for deferred work, if there is any.
func (c *Conductor) NextPlan() (time.Time, bool) {
	next, due := c.placeNotBefore, c.replan || c.hasFresh
	if !c.hasFresh && c.fullPassNotBefore.After(next) {
		next = c.fullPassNotBefore
	}
	if at, ok := c.nextCommit(); ok && (!due || at.Before(next)) {
		next, due = at, true
	}
	if c.renewalPass.skipped && (!due || c.renewalPass.next.Before(next)) {
		next, due = c.renewalPass.next, true
	}
	return next, due
}

// placeNext places the next step in the order and notes whether steps beyond rates have to yield to it.
func (c *Conductor) placeNext(p *pass, w *waitingStep) {
	c.placeStep(p, w)
	p.withinWaits = p.withinWaits || c.teams.configured && w.couldUseMore(p.now)
}

func (c *Conductor) placeStep(p *pass, w *waitingStep) {
	if p.now.Before(w.job.blockedUntil) {
		return
	}
	if !c.expectsQuota(p, w) {
		return
	}
	if !p.mayStart(w) {
		c.startsLimited = true
		return
	}
	if c.decideNearWait(p, w) {
		return
	}
	w.preference = c.preference(p.now, w)
	service := w.job.queue.Service
	advised := w.job.queue.Advice.Needed
	if advised && p.mayRequestAdvice(w) {
		c.requestAdvice(p, w)
	}
	if w.startable < w.required() || !w.need().Fits(p.maxFree[service]) {
		return
	}
	var candidates []*session
	if advised {
		candidates = c.serversWithTicket(p.now, w)
	} else {
		candidates = p.candidates(w)
	}
	candidates = w.withoutFar(p.now, w.withoutHeld(p.now, candidates))
	placed := false
	if w.step.Spec.Gang {
		placed = c.placeGang(p, w, candidates)
	} else {
		placed = c.placeTasks(p, w, candidates)
	}
	if placed {
		p.updateMaxFree(service)
	}
}

// mayRequestAdvice reports whether advice may be requested for the step in this pass.
func (p *pass) mayRequestAdvice(w *waitingStep) bool {
	if p.freeAdvisors <= 0 || w.needsLongCall() && p.freeForLong <= 0 || !p.mayTakeAdvisor(w) || !p.leavesAdvisors(w) {
		return false
	}
	adv := w.job.adviceFor(w.step.ID)
	return !p.now.Before(adv.pendingUntil) && !p.now.Before(adv.retryAt)
}

// isHeldFrom reports whether the server is held for another step of the same or a higher priority that could start before a run of
// this step, started now, should end. Tasks that last, and all steps while the service is idle, use held servers after a short wait.
func (w *waitingStep) isHeldFrom(now time.Time, s *session) bool {
	h := s.holder
	if h == nil || h.step == w.step.ID || w.job.queue.Priority < h.priority {
		return false
	}
	if (w.step.Spec.LongRunning || h.yields) && w.hasWaitedFor(now, heldPatience) {
		return false
	}
	return w.step.Spec.LongRunning || now.Add(w.step.Spec.Estimate+backfillMargin).After(h.startAt)
}

// withoutHeld removes the servers that are held for other steps.
func (w *waitingStep) withoutHeld(now time.Time, servers []*session) []*session {
	return slices.DeleteFunc(servers, func(s *session) bool { return w.isHeldFrom(now, s) })
}

// fits returns how many waiting tasks of the step the server can take now.
func (w *waitingStep) fits(s *session) int {
	if limit := w.limitOn(s); limit > 0 && !s.onTrial() && (s.claimedBy == nil || s.claimedBy == w.job) {
		return w.need().Count(s.freeCapacity(), limit)
	}
	return 0
}

// limitOn returns how many waiting tasks of the step the server may take, whatever its capacity.
func (w *waitingStep) limitOn(s *session) int {
	limit := len(w.waiting)
	if bound := w.step.Spec.MaxPerServer; bound > 0 {
		limit = min(limit, max(0, bound-s.taskCount(w.step.ID)))
	}
	return limit
}

func (s *session) taskCount(step specifier.StepID) int {
	count := 0
	for id := range s.allocations {
		if id.StepID == step {
			count++
		}
	}
	return count
}

// sortServers sorts the servers by how well they suit the step: those near its data first, then those without earlier failures of the
// job, then those of a preferred speed, then those with the least free cores, so that large tasks find large free capacity elsewhere.
func (w *waitingStep) sortServers(servers []*session, preference matcher.Preference) {
	slices.SortFunc(servers, func(a, b *session) int {
		return cmp.Or(
			compareBool(a.server.HasLabel(w.step.Spec.PreferredRack), b.server.HasLabel(w.step.Spec.PreferredRack)),
			compareBool(!w.job.avoid[a.server.ID], !w.job.avoid[b.server.ID]),
			compareSpeed(preference, a, b),
			cmp.Compare(a.freeCapacity().MilliCores, b.freeCapacity().MilliCores),
			cmp.Compare(a.server.ID, b.server.ID),
		)
	})
}

// compareFreeCapacity orders the server with the most free cores first.
func compareFreeCapacity(a, b *session) int {
	return cmp.Or(cmp.Compare(b.freeCapacity().MilliCores, a.freeCapacity().MilliCores), cmp.Compare(a.server.ID, b.server.ID))
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
func (c *Conductor) placeTasks(p *pass, w *waitingStep, servers []*session) bool {
	servers = slices.DeleteFunc(servers, func(s *session) bool { return w.fits(s) == 0 })
	w.sortServers(servers, w.preference)
	placed := false
	var suspects []int
	for _, index := range w.waiting {
		if w.isSuspect(index) {
			suspects = append(suspects, index)
			continue
		}
		if !p.mayStart(w) {
			c.startsLimited = true
			break
		}
		if w.startable <= 0 {
			break
		}
		i := slices.IndexFunc(servers, func(s *session) bool { return !placedOn(s, w.step, index) })
		if i < 0 {
			continue
		}
		s := servers[i]
		c.reserve(p, w, s, index, w.step.NextRun(index))
		placed = true
		if w.fits(s) == 0 {
			servers = slices.Delete(servers, i, i+1)
		}
	}
	placed = c.placeSuspects(p, w, suspects, servers) || placed
	if placed {
		c.changed(w.job)
	}
	return placed
}

// reserve places a run and allocates its capacity; its start order is sent once its record is in the store.
func (c *Conductor) reserve(p *pass, w *waitingStep, s *session, index, run int) {
	p.startsLeft--
	w.startable--
	w.job.Place(w.step, index, lifecycler.Placement{Run: run, Server: s.server, LongLease: p.now.Before(s.longLeaseUntil)})
	a := &allocation{
		task: w.step.ID.Task(index), run: run, need: w.need(), state: reserved, version: w.job.Version(),
		team: w.job.Spec.Team, counted: w.step.Spec.Need, urgent: w.urgent(),
		order: specifier.StartOrder{
			Task: w.step.ID.Task(index), Run: run, Spec: w.job.Spec.Spec, Checkpoint: w.step.SharedCheckpoint(index),
			Ticket: w.job.ticket(w.step.ID, s.server),
		},
	}
	s.add(a)
	c.charge(w, a)
	if w.isSuspect(index) {
		a.protected = w.step.Tasks[index].CrashesOften()
		s.trial = a
	}
	w.job.reserved = append(w.job.reserved, &reservation{session: s, allocation: a})
	c.counted.Placed++
	if adv := w.job.advice[w.step.ID]; adv != nil {
		adv.placedAt = p.now
	}
	c.logDecision("RunPlaced", a.task, run, s.server.ID, c.speedDetail(s))
}

// placedOn reports whether a run of the task has an allocation on the server.
func placedOn(s *session, step *lifecycler.Step, index int) bool {
	return s.allocations[step.ID.Task(index)] != nil
}
