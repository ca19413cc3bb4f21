package conductor

import (
	"fmt"
	"math"
	"slices"
	"time"

	"egretring.example/egretring/calibrator"
	"egretring.example/egretring/matcher"
	"egretring.example/egretring/specifier"
)

const (
	// reserveInterval is how often the servers are chosen that are kept for urgent steps. Each choice scans the allocations of all
	// servers, and urgent steps start and end within half a second.
	reserveInterval = 200 * time.Millisecond
	// reserveCheckAfter is how long a step waits before it is checked whether it fits without the reserved servers, and
	// reserveCheckInterval how often that is repeated.
	reserveCheckAfter    = 2 * time.Second
	reserveCheckInterval = 3 * time.Second
	// promptResponse is the time within which a server responds to a renewal when there is something to report. A response that took longer
	// was sent at the end of a run.
	promptResponse = 25 * time.Millisecond
	// maxRunUncertainty is the part of a run time by which it may be uncertain to count for the speed of its server. It is less than the
	// spread of the tasks of a step.
	maxRunUncertainty = 0.25
	// maxSpeedLines is the number of changes of the speed of a server that are logged each reserveInterval. The changes of 350 servers after a
	// takeover are logged within 3 s.
	maxSpeedLines = 25
)

// speeds is what the owner knows about the speeds of its servers, and how it uses that.
type speeds struct {
	calibrator *calibrator.Calibrator
	// reserves has what is kept for urgent steps of each service.
	reserves map[string]*matcher.Reserve
	pass     throttle
	// inEffect is set while speeds take effect.
	inEffect bool
	// record limits how often the speeds are stored, and recorded is set while any are.
	record   throttle
	recorded bool
	// unlogged are the changes that wait for their line in the log.
	unlogged []calibrator.Change
	// ignored is set to place all steps as if the servers were alike.
	ignored bool
}

// WithEqualServers makes the Conductor treat all servers as equally fast. It is the baseline of measurements.
func WithEqualServers() Option {
	return func(s *settings) { s.equalServers = true }
}

func newSpeeds(ignored bool) speeds {
	return speeds{
		calibrator: calibrator.New(), reserves: make(map[string]*matcher.Reserve), pass: throttle{interval: reserveInterval},
		record: throttle{interval: recordSpeedsInterval}, ignored: ignored,
	}
}

// observeRun passes the time of a run that has ended to the calibrator, if the server has done all work of the run and the time is known
// well enough. Members of a gang all end with the slowest one, so that their times say nothing about a single server.
func (c *Conductor) observeRun(now time.Time, s *session, a *allocation, j *job, end specifier.EndedTask) {
	if a == nil || a.run != end.Run || end.Reason != specifier.RunDone || a.stopping || !a.answered || a.startedAt.IsZero() ||
		a.incarnation != s.server.Incarnation || a.order.Checkpoint != "" || a.task.Step >= len(j.Spec.Steps) {
		return
	}
	step := &j.Spec.Steps[a.task.Step]
	if step.LongRunning || !s.server.HasLabel(step.PreferredRack) {
		return
	}
	longest := now.Sub(a.startedAt)
	shortest := s.endsAfter.Sub(a.resolvedAt)
	run := (longest + shortest) / 2
	if float64(longest-shortest) > maxRunUncertainty*float64(run) {
		return
	}
	if step.Gang && step.Count > 1 {
		c.observeGang(j, a.task.StepID, step, run)
		return
	}
	c.speeds.calibrator.Observe(now, calibrator.Observation{
		Server: s.id, Step: a.task.StepID, Queue: j.queue.Name, Estimate: step.Estimate, Run: run,
	})
}

// observeGang passes the time of a gang to the calibrator at the first end of a member, if the speeds of all its servers are known.
func (c *Conductor) observeGang(j *job, id specifier.StepID, step *specifier.Step, run time.Duration) {
	gang, ok := j.Step(id)
	if !ok || gang.Finished() || !c.speeds.inEffect {
		return
	}
	slowest := math.Inf(1)
	for i := range gang.Tasks {
		known := c.speeds.calibrator.Of(gang.Tasks[i].Server)
		if known.Class == calibrator.Unknown {
			return
		}
		slowest = min(slowest, known.Factor)
	}
	c.speeds.calibrator.ObserveGang(j.queue.Name, step.Estimate, run, slowest)
}

// noteEndsAfter records the time after which the runs have ended whose ends a response lists for the first time: that of the response
// before, or of this one if the server has waited for an end before it responded.
func (s *session) noteEndsAfter(now, sentAt time.Time) {
	s.endsAfter = s.clockReadAt
	if now.Sub(sentAt) > promptResponse {
		s.endsAfter = now
	}
}

// forgetSpeed discards what is known about the speed of a server that has restarted, left or changed its kind.
func (c *Conductor) forgetSpeed(s *session) {
	c.speeds.calibrator.Forget(s.id)
	s.class, s.reserved = calibrator.Unknown, false
}

// sameKind reports whether two entries describe servers of the same capacity and labels.
func sameKind(a, b specifier.Server) bool {
	return a.Capacity == b.Capacity && slices.Equal(a.Labels, b.Labels)
}

// updateSpeeds estimates the speeds anew, and chooses the servers that are kept for urgent steps.
func (c *Conductor) updateSpeeds(p *pass) {
	if c.speeds.ignored || !c.speeds.pass.begin(p.now) {
		return
	}
	known := c.speeds.calibrator
	if known.Update(p.now) {
		c.applyClasses(p.now)
	}
	c.logSpeeds()
	c.recordSpeeds(p.now)
	if !c.speeds.inEffect {
		return
	}
	c.chooseReserved(p)
	c.checkReserve(p)
}

// applyClasses gives the servers their classes.
func (c *Conductor) applyClasses(now time.Time) {
	known := c.speeds.calibrator
	for _, change := range known.TakeChanges() {
		if s := c.sessions[change.Server]; s != nil {
			s.class = change.Class
			c.speeds.unlogged = append(slices.DeleteFunc(c.speeds.unlogged, func(older calibrator.Change) bool {
				return older.Server == change.Server
			}), change)
		}
	}
	if known.InEffect() == c.speeds.inEffect {
		return
	}
	c.speeds.inEffect = known.InEffect()
	ratio, count := known.Spread()
	slow, fast := known.ClassFactors()
	c.logDecision("SpeedsApplied", specifier.TaskID{}, 0, "", fmt.Sprintf(
		"%t; the 90th percentile of the speeds of %d servers is %.2f times the 10th; slow servers %.2f, fast ones %.2f of the average",
		c.speeds.inEffect, count, ratio, slow, fast))
	if !c.speeds.inEffect {
		for _, s := range c.sessions {
			s.reserved = false
		}
	}
}

// logSpeeds logs changes of the classes of servers.
func (c *Conductor) logSpeeds() {
	n := min(len(c.speeds.unlogged), maxSpeedLines)
	for _, change := range c.speeds.unlogged[:n] {
		c.logDecision("ServerSpeed", specifier.TaskID{}, 0, change.Server, fmt.Sprintf(
			"counts as %s since %s, before as %s; speed %.2f of the average, deviation %.2f, %d ends",
			change.Class, change.Since.Format(time.RFC3339Nano), change.Before, change.Factor, change.Deviation, change.Ends))
	}
	c.speeds.unlogged = slices.Delete(c.speeds.unlogged, 0, n)
}

// chooseReserved chooses the fast servers of each service that are kept for urgent steps. Borrowed servers are not.
func (c *Conductor) chooseReserved(p *pass) {
	for _, s := range c.sessions {
		s.urgentUse = c.urgentUse(s)
		s.wasReserved, s.reserved = s.reserved, false
	}
	for service, servers := range p.usable {
		reserve := c.speeds.reserves[service]
		if reserve == nil {
			reserve = &matcher.Reserve{}
			c.speeds.reserves[service] = reserve
		}
		var used, freeOnFast specifier.Resources
		var candidates []matcher.Candidate
		for _, s := range servers {
			used = used.Plus(s.urgentUse)
			if s.class == calibrator.Fast {
				freeOnFast = freeOnFast.Plus(s.freeCapacity())
			}
			if s.class == calibrator.Fast && !s.foreign {
				candidates = append(candidates, matcher.Candidate{
					Server: s.id, Capacity: s.server.Capacity, Others: s.used.Minus(s.urgentUse), Reserved: s.wasReserved,
				})
			}
		}
		reserve.Observe(p.now, used, c.urgentWaiting(p.now, service))
		reserve.ObserveFree(freeOnFast)
		for _, id := range matcher.Choose(candidates, reserve.Amount()) {
			c.sessions[id].reserved = true
		}
	}
}

// urgentUse returns what urgent steps use on a server.
func (c *Conductor) urgentUse(s *session) specifier.Resources {
	var used specifier.Resources
	for _, a := range s.allocations {
		if j := c.jobs[a.task.Job]; j != nil && j.queue.Priority == 0 {
			used = used.Plus(a.need)
		}
	}
	return used
}

// urgentWaiting returns what the urgent steps of a service need that wait and can still meet their objective.
func (c *Conductor) urgentWaiting(now time.Time, service string) specifier.Resources {
	var waiting specifier.Resources
	for _, w := range c.waitingSteps {
		if w.urgent() && w.job.queue.Service == service && w.tierAt(now) == onTime {
			waiting = waiting.Plus(w.need().Times(len(w.waiting))).Min(maxWanted)
		}
	}
	return waiting
}

// checkReserve lets steps that would not fit the cell without the reserved servers use these, so that they start eventually.
func (c *Conductor) checkReserve(p *pass) {
	for _, w := range c.waitingSteps {
		if w.urgent() || p.now.Before(w.wait.reserveCheckAt) || !w.hasWaitedFor(p.now, reserveCheckAfter) {
			continue
		}
		w.wait.reserveCheckAt = p.now.Add(reserveCheckInterval)
		fits := func(s *session) int { return c.fitsLater(w, s) }
		w.wait.usesReserve = false
		unreserved := c.mayAdmit(p, w)
		w.wait.usesReserve = true
		w.wait.usesReserve = !fitsOn(unreserved, w.required(), fits) && fitsOn(c.mayAdmit(p, w), w.required(), fits)
	}
}

// mayAdmit returns the usable servers that may run the step and that advice has not refused.
func (c *Conductor) mayAdmit(p *pass, w *waitingStep) []*session {
	admitted, unknown := c.admittedServers(p, w)
	return slices.Concat(admitted, unknown)
}

// isReservedFrom reports whether the server is kept for urgent steps and the step is none.
func (s *session) isReservedFrom(w *waitingStep) bool {
	return s.reserved && !w.urgent() && !w.wait.usesReserve
}

// preference returns the order in which a step prefers servers of different speeds.
func (c *Conductor) preference(now time.Time, w *waitingStep) matcher.Preference {
	if !c.speeds.inEffect {
		return matcher.None
	}
	known := c.speeds.calibrator
	slow, fast := known.ClassFactors()
	return matcher.Prefer(matcher.Step{
		Urgent: w.urgent(), Estimate: w.step.Spec.Estimate, Correction: known.Correction(w.job.queue.Name, w.step.Spec.Gang), Slack: w.latestStart.Sub(now),
		Gang: w.step.Spec.Gang, Spare: c.speeds.reserves[w.job.queue.Service].Spare(),
	}, matcher.Speeds{Slow: slow, Fast: fast})
}

// compareSpeed orders the server of the preferred speed first.
func compareSpeed(preference matcher.Preference, a, b *session) int {
	if preference == matcher.None {
		return 0
	}
	return preference.Rank(a.class, a.reserved) - preference.Rank(b.class, b.reserved)
}

// compareNamed orders the server first that a call should name for its speed: one on which a task should still fit after the calls in flight
// that name it, and among these one of a speed that the step prefers. Without regard to other calls, all would name the same servers. Steps that
// can run on slow servers name those with the most free capacity: calls that named slow servers first let fast ones idle while these steps
// waited.
func (w *waitingStep) compareNamed(a, b *session) int {
	if w.preference != matcher.ReservedFirst && w.preference != matcher.FastFirst {
		return 0
	}
	if order := compareBool(w.shouldFit(a), w.shouldFit(b)); order != 0 {
		return order
	}
	return compareSpeed(w.preference, a, b)
}

// shouldFit reports whether a task fits the part of the free capacity that should be left by the calls in flight that name the server.
func (w *waitingStep) shouldFit(s *session) bool {
	free := s.freeCapacity()
	return w.need().Fits(free) && float64(w.need().MilliCores) <= float64(free.MilliCores)*s.expectedPart()
}

// speedDetail describes the speed of a server in the line about a run that is placed there.
func (c *Conductor) speedDetail(s *session) string {
	if !c.speeds.inEffect {
		return ""
	}
	if s.reserved {
		return "speed fast, reserved"
	}
	return "speed " + s.class.String()
}
