package conductor

import (
	"fmt"
	"slices"
	"time"

	"egretring.example/egretring/forecaster"
)

// WithFarFactor sets the factor of the run time of tasks away from their preferred rack. Up to 1 no task waits for a near server.
func WithFarFactor(factor float64) Option {
	return func(s *settings) { s.farFactor = factor }
}

// nearServers are the servers on the preferred rack of a step that may run it.
type nearServers struct {
	// exist is set if there are any.
	exist bool
	// fitting is how many waiting tasks fit them now, and startable how many of these have a ticket if one is needed.
	fitting, startable int
}

func (p *pass) near(w *waitingStep) nearServers {
	var near nearServers
	adv := w.job.advice[w.step.ID]
	for _, s := range p.usable[w.job.queue.Service] {
		if !s.server.HasLabel(w.step.Spec.PreferredRack) || !s.mayRun(w) || adv.refuses(s.server) {
			continue
		}
		near.exist = true
		if w.isHeldFrom(p.now, s) {
			continue
		}
		fitting := w.fits(s)
		near.fitting += fitting
		if t, granted := adv.ticketFor(s.server); !w.job.queue.Advice.Needed || granted && t.usable(p.now) {
			near.startable += fitting
		}
	}
	return near
}

// decideNearWait decides whether the step waits for its preferred rack, and reports whether no task of it can start there now. Far
// servers are not for a step that waits, until nearUntil.
func (c *Conductor) decideNearWait(p *pass, w *waitingStep) bool {
	w.wait.nearUntil = time.Time{}
	spec := &w.step.Spec
	if spec.PreferredRack == "" || spec.LongRunning || spec.Gang || !c.forecaster.Applies() {
		return false
	}
	c.forecaster.Prefer(p.now, spec.PreferredRack)
	// Servers that are held for the step would be idle.
	if w.urgent() && p.now.After(w.latestStart) || c.hasHold(w) || !w.need().Fits(p.maxFree[w.job.queue.Service]) {
		return false
	}
	near := p.near(w)
	if !near.exist || near.startable >= len(w.waiting) {
		return false
	}
	return c.waitsForRack(p, w, len(w.waiting)-near.startable) && near.fitting == 0
}

// waitsForRack decides whether the tasks of a step that do not fit the near servers wait for them.
func (c *Conductor) waitsForRack(p *pass, w *waitingStep, tasks int) bool {
	rack := w.step.Spec.PreferredRack
	wanted := p.wantedOnRack[rack] + w.need().MilliCores*int64(tasks)
	forecast := c.forecaster.Decide(p.now, forecaster.Choice{
		Rack: rack, RunTime: w.step.Spec.Estimate, WantedMilliCores: wanted, LatestStart: w.latestCall(),
		Contended: p.contended[w.job.queue.Service], WaitingSince: w.nearSince(),
	})
	if !forecast.Wait {
		return false
	}
	p.wantOnRack(rack, wanted)
	w.wait.nearUntil = forecast.WaitUntil
	if w.wait.nearSince.IsZero() {
		w.wait.nearSince = p.now
		c.logDecision("NearWait", w.step.ID.Task(w.waiting[0]), 0, "", fmt.Sprintf(
			"%d tasks wait for rack %s until %s at most: near in %s, gain %s, %d millicores wanted, contended %t", tasks,
			rack, forecast.WaitUntil.Sub(p.now).Round(time.Millisecond), forecast.NearIn.Round(time.Millisecond),
			forecast.Gain.Round(time.Millisecond), wanted, p.contended[w.job.queue.Service]))
	}
	return true
}

// latestCall returns when an advice call for the step has to begin for its job to meet its objective, or its latest start where no advice
// is needed. A step that waits for its rack has no valid tickets for other servers.
func (w *waitingStep) latestCall() time.Time {
	if !w.job.queue.Advice.Needed {
		return w.latestStart
	}
	return w.latestStart.Add(-w.adviceTime(objectiveAdviceServers))
}

// waitsForNear reports whether the step waits for a server on its preferred rack. Meanwhile it borrows no servers and none are held for it.
func (w *waitingStep) waitsForNear(now time.Time) bool {
	return now.Before(w.wait.nearUntil)
}

// withoutFar removes the servers away from the preferred rack of a step that waits for it.
func (w *waitingStep) withoutFar(now time.Time, servers []*session) []*session {
	if !w.waitsForNear(now) {
		return servers
	}
	return slices.DeleteFunc(servers, func(s *session) bool { return !s.server.HasLabel(w.step.Spec.PreferredRack) })
}

// nearSince returns since when the step has waited for its preferred rack without a start of a task; zero if it has not waited for it.
func (w *waitingStep) nearSince() time.Time {
	if w.wait.nearSince.IsZero() || w.wait.since.IsZero() {
		return time.Time{}
	}
	if w.wait.nearSince.After(w.wait.since) {
		return w.wait.nearSince
	}
	return w.wait.since
}

// wantOnRack records what the steps up to now that wait for a rack want of it, in thousandths of a core.
func (p *pass) wantOnRack(rack string, milliCores int64) {
	if p.wantedOnRack == nil {
		p.wantedOnRack = make(map[string]int64)
	}
	p.wantedOnRack[rack] = milliCores
}
