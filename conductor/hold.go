package conductor

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"egretring.example/egretring/specifier"
)

const (
	// holdAfter is how long a step waits before servers are held for it, and holdAfterContended how long while jobs that can
	// still meet their objective compete for the capacity.
	holdAfter          = 3 * time.Second
	holdAfterContended = 30 * time.Second
	// backlogAfter is how long a step waits before it counts as competing for capacity; advice takes up to half a second.
	backlogAfter = 500 * time.Millisecond
	// busyPercent is how much of a service's capacity is in use when it counts as busy.
	busyPercent = 50
	// holdTimeout is how long servers are held for a step that does not start. A straggler on one of them may take
	// longer, and other steps wait for their turn.
	holdTimeout = 20 * time.Second
	// maxHoldBackoff bounds how often the time to the next hold of a step doubles after holds that have expired, and
	// holdPause is how long no servers are held for any step of the service after one, so that others can start.
	maxHoldBackoff = 5
	holdPause      = 10 * time.Second
	// holdRetryInterval is how long a step that no hold would help is skipped.
	holdRetryInterval = time.Second
	// holdInterval is how often the held servers are chosen anew; each choice sorts the servers.
	holdInterval = 50 * time.Millisecond
	// restoredWithin is how long after an election the steps are first seen that waited before it.
	restoredWithin = time.Second
	// holdSpare divides the tasks of a gang to get the number of tasks for which spare servers are held, so that a
	// straggler on one server does not delay the gang.
	holdSpare = 4
	// heldPatience is how long tasks that last, and all steps while a service is idle, leave held servers to the steps for which
	// they are held. The platform wants such tasks to run again within six seconds.
	heldPatience = 2 * time.Second
	// idleAfter is how long a service has not been busy when it counts as idle. Servers are often free for a moment between the runs
	// of two gangs. The platform accepts 3 s without a start while much capacity is free.
	idleAfter = time.Second
	// backfillMargin is how long before the expected start of a step the runs on the servers that are held for it should end.
	backfillMargin = 200 * time.Millisecond
)

// hold withholds servers from other steps, except those of a higher priority, for a step that has waited for long. Without
// it, smaller steps would take the capacity that the step needs whenever a part of it becomes free. Servers are held for one
// step of a service only, so that others can start on the remaining ones.
type hold struct {
	step    specifier.StepID
	begunAt time.Time
	// expiresAt is when the hold ends if the step has not started.
	expiresAt time.Time
	servers   []*session
}

// holder is the step that a server is held for in a pass, and the priority of its queue.
type holder struct {
	step     specifier.StepID
	priority int
	// startAt is when the tasks of the step are expected to fit the servers that are held for it.
	startAt time.Time
	// yields is set while the service is idle.
	yields bool
}

// required returns how many of the waiting tasks have to fit for the step to start: all tasks of a gang, or one.
func (w *waitingStep) required() int {
	if w.step.Spec.Gang {
		return len(w.waiting)
	}
	return 1
}

// withSpare returns the required number of tasks and some more.
func (w *waitingStep) withSpare() int {
	return w.required() + w.required()/holdSpare
}

// hasHold reports whether servers are held for the step, or would be if advice admitted more of them.
func (c *Conductor) hasHold(w *waitingStep) bool {
	h := c.holds[w.job.queue.Service]
	return h != nil && h.step == w.step.ID || c.needsAdvice[w.job.queue.Service].step == w.step.ID
}

// updateHolds applies the holds to a pass. Every holdInterval it ends the holds that have expired, holds servers for the
// step of each service that has waited longest, and chooses the held servers anew.
func (c *Conductor) updateHolds(p *pass) {
	for _, s := range c.sessions {
		s.holder = nil
	}
	for service, h := range c.holds {
		w := c.permittedStep(h.step)
		if w == nil || w.wait.since.IsZero() || w.wait.since.After(h.begunAt) {
			delete(c.holds, service)
			continue
		}
		if !p.now.Before(h.expiresAt) {
			c.logDecision("HoldExpired", h.step.Task(w.waiting[0]), 0, "", fmt.Sprintf("%d servers", len(h.servers)))
			w.wait.postponeHold(p.now)
			c.holdNotBefore[service] = p.now.Add(holdPause)
			delete(c.holds, service)
			continue
		}
		c.hold(p, w, h.servers)
	}
	if !c.holdPass.begin(p.now) {
		return
	}
	c.endAdviceTurns(p)
	for service, h := range c.holds {
		if !c.chooseHeld(p, c.waitingSteps[h.step], h) {
			delete(c.holds, service)
		}
	}
	for _, w := range c.stepsToHoldFor(p) {
		service := w.job.queue.Service
		if c.holds[service] != nil || p.now.Before(c.holdNotBefore[service]) {
			continue
		}
		if c.lacksAdvice(p, w) {
			if _, asks := c.needsAdvice[service]; !asks {
				c.needsAdvice[service] = adviceTurn{step: w.step.ID, expiresAt: p.now.Add(holdTimeout)}
				c.teams.holds++
			}
			continue
		}
		h := &hold{step: w.step.ID, begunAt: p.now, expiresAt: p.now.Add(holdTimeout)}
		if !c.chooseHeld(p, w, h) {
			w.wait.holdNotBefore = p.now.Add(holdRetryInterval)
			continue
		}
		c.holds[service] = h
		c.teams.holds++
		c.hold(p, w, h.servers)
		c.logDecision("HoldBegun", w.step.ID.Task(w.waiting[0]), 0, "", fmt.Sprintf("%d servers", len(h.servers)))
	}
}

// hold withholds servers in this pass for the step, unless they are held for another one.
func (c *Conductor) hold(p *pass, w *waitingStep, servers []*session) {
	holder := &holder{
		step: w.step.ID, priority: w.job.queue.Priority, startAt: c.expectedStart(p.now, w, servers),
		yields: p.now.Sub(c.busyAt[w.job.queue.Service]) >= idleAfter,
	}
	for _, s := range servers {
		if s.holder == nil {
			s.holder = holder
		}
	}
}

// expectedStart returns when the required tasks of a step will fit the servers, by the estimates of the runs on them.
func (c *Conductor) expectedStart(now time.Time, w *waitingStep, servers []*session) time.Time {
	var starts []time.Time
	for _, s := range servers {
		start := now
		for _, a := range s.allocations {
			if end := c.expectedEnd(a); end.After(start) {
				start = end
			}
		}
		for range w.fitsEmpty(s) {
			starts = append(starts, start)
		}
	}
	if len(starts) < w.required() {
		return now
	}
	slices.SortFunc(starts, time.Time.Compare)
	return starts[w.required()-1]
}

// expectedEnd returns when a run should end; the zero time means that it is not known.
func (c *Conductor) expectedEnd(a *allocation) time.Time {
	j := c.jobs[a.task.Job]
	if j == nil || a.task.Step >= len(j.Spec.Steps) || c.lasts(a) || a.startedAt.IsZero() {
		return time.Time{}
	}
	return a.startedAt.Add(j.Spec.Steps[a.task.Step].Estimate)
}

// stepsToHoldFor returns the steps without a hold that have waited for long, oldest first.
func (c *Conductor) stepsToHoldFor(p *pass) []*waitingStep {
	var steps []*waitingStep
	for _, w := range p.permitted {
		if w.isOverdueFor(p.now, p.holdAfter(w.job.queue.Service), c.startedAt) && !p.now.Before(w.wait.holdNotBefore) && !c.hasHold(w) &&
			!w.waitsForNear(p.now) {
			steps = append(steps, w)
		}
	}
	slices.SortFunc(steps, func(a, b *waitingStep) int {
		return cmp.Or(c.compareForHold(a, b), a.due.Compare(b.due), cmp.Compare(a.job.Spec.ID, b.job.Spec.ID), cmp.Compare(a.step.ID.Step, b.step.ID.Step))
	})
	return steps
}

// isOverdueFor reports whether the step has waited for the given time. The wait of a step of which all tasks waited when this owner
// began counts from the time at which the step was due, so that it does not begin anew with each owner.
func (w *waitingStep) isOverdueFor(now time.Time, limit time.Duration, ownerSince time.Time) bool {
	if w.wait.since.IsZero() {
		return false
	}
	since := w.wait.since
	if len(w.waiting) == w.step.Spec.Count && w.stepDue.Before(ownerSince) && since.Sub(ownerSince) < restoredWithin {
		since = w.stepDue
	}
	return now.Sub(since) >= limit
}

// holdAfter returns how long a step of the service waits before servers are held for it.
func (p *pass) holdAfter(service string) time.Duration {
	if p.contended[service] {
		return holdAfterContended
	}
	return holdAfter
}

// isBusy reports whether busyPercent of the servers' cores or memory is in use.
func isBusy(servers []*session) bool {
	cores, memory := percentInUse(servers)
	return max(cores, memory) >= busyPercent
}

// hasBacklog reports whether steps of the service wait whose jobs can still meet their objective.
func (p *pass) hasBacklog(service string) bool {
	for _, w := range p.permitted {
		if w.job.queue.Service == service && !w.rank.Beyond && w.tierAt(p.now) == onTime && w.hasWaitedFor(p.now, backlogAfter) {
			return true
		}
	}
	return false
}

// chooseHeld chooses the servers to hold for a step: those on which its tasks fit soonest, until the step would fit once the
// runs of others have ended, and some spare ones. It reports false when the step would not fit the admitted servers then.
func (c *Conductor) chooseHeld(p *pass, w *waitingStep, h *hold) bool {
	admitted, _ := c.admittedServers(p, w)
	fits := func(s *session) int { return c.fitsLater(w, s) }
	if !fitsOn(admitted, w.required(), fits) {
		return false
	}
	admitted = slices.DeleteFunc(admitted, func(s *session) bool { return fits(s) == 0 })
	slices.SortFunc(admitted, w.compareNearness)
	h.servers = admitted[:countServers(admitted, w.withSpare(), fits)]
	return true
}

// lacksAdvice reports whether a step would not fit the servers that advice has admitted once the runs of others have ended, but would if
// it admitted all about which it was not requested yet.
func (c *Conductor) lacksAdvice(p *pass, w *waitingStep) bool {
	admitted, unknown := c.admittedServers(p, w)
	fits := func(s *session) int { return c.fitsLater(w, s) }
	return !fitsOn(admitted, w.required(), fits) && fitsOn(slices.Concat(admitted, unknown), w.required(), fits)
}

// fitsLater returns how many waiting tasks of the step the server could take once all runs have ended that do not last until
// their job is cancelled.
func (c *Conductor) fitsLater(w *waitingStep, s *session) int {
	free := s.server.Capacity
	for _, a := range s.allocations {
		if c.lasts(a) {
			free = free.Minus(a.need)
		}
	}
	return w.need().Count(free, w.limitOn(s))
}

// lasts reports whether a run lasts until its job is cancelled.
func (c *Conductor) lasts(a *allocation) bool {
	j := c.jobs[a.task.Job]
	return j != nil && j.lasts(a.task)
}

// admittedServers returns the usable servers that may run the step, whether or not a ticket is valid now, and those about
// which advice was not requested yet.
func (c *Conductor) admittedServers(p *pass, w *waitingStep) (admitted, unknown []*session) {
	candidates := p.candidates(w)
	if !w.job.queue.Advice.Needed {
		return candidates, nil
	}
	adv := w.job.adviceFor(w.step.ID)
	for _, s := range candidates {
		if _, granted := adv.ticketFor(s.server); granted {
			admitted = append(admitted, s)
		} else if !adv.refuses(s.server) {
			unknown = append(unknown, s)
		}
	}
	return admitted, unknown
}

// compareNearness orders the server first on which more tasks of the step fit now, and then the one with the larger part
// of a further task's need free.
func (w *waitingStep) compareNearness(a, b *session) int {
	return cmp.Or(cmp.Compare(w.nearness(b), w.nearness(a)), cmp.Compare(a.server.ID, b.server.ID))
}

// nearness returns how many times the need of a task is free on the server, as a fraction.
func (w *waitingStep) nearness(s *session) float64 {
	need, free := w.need(), s.freeCapacity()
	nearness := float64(len(w.waiting))
	for _, pair := range [...][2]int64{
		{need.MilliCores, free.MilliCores}, {need.MemoryMB, free.MemoryMB}, {need.Accelerators, free.Accelerators},
	} {
		if pair[0] > 0 {
			nearness = min(nearness, float64(pair[1])/float64(pair[0]))
		}
	}
	return nearness
}
