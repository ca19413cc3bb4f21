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

// withoutFar removes the servers away from the preferred rack of a step while a wait for a near one pays.
func (c *Conductor) withoutFar(p *pass, w *waitingStep, servers []*session) []*session {
	rack := w.step.Spec.PreferredRack
	if rack == "" || w.step.Spec.LongRunning || !c.forecaster.Applies() {
		return servers
	}
	c.forecaster.Prefer(p.now, rack)
	isFar := func(s *session) bool { return !s.server.HasLabel(rack) }
	near := slices.DeleteFunc(slices.Clone(servers), isFar)
	free := countTasks(near, w.fits)
	if free >= len(w.waiting) || !c.waitsForRack(p, w, len(w.waiting)-free) {
		return servers
	}
	return near
}

// waitsForRack decides whether the tasks of a step that do not fit the near servers wait for them.
func (c *Conductor) waitsForRack(p *pass, w *waitingStep, tasks int) bool {
	if w.urgent() && p.now.After(w.latestStart) || !p.hasRack(w) {
		return false
	}
	// Servers that are held for the step would be idle.
	if c.hasHold(w) {
		return false
	}
	need := w.need().MilliCores
	wanted := p.wantedOnRack[w.step.Spec.PreferredRack] + need*int64(tasks)
	forecast := c.forecaster.Decide(p.now, forecaster.Choice{
		Rack: w.step.Spec.PreferredRack, RunTime: w.step.Spec.Estimate, WantedMilliCores: wanted, LatestStart: w.latestStart,
		Contended: p.contended[w.job.queue.Service], WaitingSince: w.nearSince(),
	})
	if !forecast.Wait {
		return false
	}
	p.wantOnRack(w.step.Spec.PreferredRack, wanted)
	if w.wait.nearSince.IsZero() {
		w.wait.nearSince = p.now
		c.logDecision("NearWait", w.step.ID.Task(w.waiting[0]), 0, "", fmt.Sprintf(
			"%d tasks wait for rack %s until %s at most: near in %s, gain %s, %d millicores wanted, contended %t", tasks,
			w.step.Spec.PreferredRack, forecast.WaitUntil.Sub(p.now).Round(time.Millisecond), forecast.NearIn.Round(time.Millisecond),
			forecast.Gain.Round(time.Millisecond), wanted, p.contended[w.job.queue.Service]))
	}
	return true
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

// hasRack reports whether a usable server on the preferred rack of a step may run it.
func (p *pass) hasRack(w *waitingStep) bool {
	return slices.ContainsFunc(p.usable[w.job.queue.Service], func(s *session) bool {
		return s.server.HasLabel(w.step.Spec.PreferredRack) && s.mayRun(w) && !w.job.advice[w.step.ID].refuses(s.server)
	})
}

// wantOnRack records what the steps up to now that wait for a rack want of it, in thousandths of a core.
func (p *pass) wantOnRack(rack string, milliCores int64) {
	if p.wantedOnRack == nil {
		p.wantedOnRack = make(map[string]int64)
	}
	p.wantedOnRack[rack] = milliCores
}
