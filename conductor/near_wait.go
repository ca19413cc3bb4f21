package conductor

import (
	"fmt"
	"slices"
	"time"

	"egretring.example/egretring/forecaster"
	"egretring.example/egretring/specifier"
)

// rackRetention is how long the ends of runs on a rack are counted after a step has preferred it. What was learned has lost nearly all
// of its weight by then.
const rackRetention = time.Minute

// nearness is what the owner knows about waits for servers near the data of tasks.
type nearness struct {
	forecaster *forecaster.Forecaster
	// racks has the racks that waiting steps have preferred, and when one last did. Only what these release is counted.
	racks map[string]time.Time
}

// WithFarFactor sets the factor of the run time of tasks away from their preferred rack. Up to 1 no task waits for a near server.
func WithFarFactor(factor float64) Option {
	return func(s *settings) { s.farFactor = factor }
}

func newNearness(farFactor float64) nearness {
	return nearness{forecaster: forecaster.New(forecaster.WithFarFactor(farFactor)), racks: make(map[string]time.Time)}
}

// noteReleased counts the capacity that the end of a run releases on a preferred rack.
func (c *Conductor) noteReleased(now time.Time, s *session, a *allocation) {
	if a == nil || len(c.nearness.racks) == 0 {
		return
	}
	for _, label := range s.server.Labels {
		if _, preferred := c.nearness.racks[label]; preferred {
			c.nearness.forecaster.Released(now, label, a.need.MilliCores)
		}
	}
}

// withoutFar removes the servers away from the preferred rack of a step while a wait for a near one pays.
func (c *Conductor) withoutFar(p *pass, w *waitingStep, servers []*session) []*session {
	rack := w.step.Spec.PreferredRack
	if rack == "" || w.step.Spec.LongRunning || c.settings.farFactor <= 1 {
		return servers
	}
	c.nearness.racks[rack] = p.now
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
	if c.hasHold(w) || c.waitedTooLong(p.now, w) {
		return false
	}
	need := w.need().MilliCores
	wanted := p.wantedOnRack[w.step.Spec.PreferredRack] + need*int64(tasks)
	forecast := c.nearness.forecaster.Decide(p.now, forecaster.Choice{
		Rack: w.step.Spec.PreferredRack, RunTime: w.step.Spec.Estimate, WantedMilliCores: wanted, LatestStart: w.latestStart,
		Contended: p.contended[w.job.queue.Service],
	})
	if !forecast.Wait {
		return false
	}
	p.wantOnRack(w.step.Spec.PreferredRack, wanted)
	if w.wait.forRackSince.IsZero() {
		w.wait.forRackSince = p.now
	}
	if !w.wait.forRack {
		w.wait.forRack = true
		c.logDecision("NearWait", w.step.ID.Task(w.waiting[0]), 0, "", fmt.Sprintf(
			"%d tasks wait for rack %s until %s at most: near in %s, gain %s, %d millicores wanted, contended %t", tasks,
			w.step.Spec.PreferredRack, forecast.WaitUntil.Sub(p.now).Round(time.Millisecond), forecast.NearIn.Round(time.Millisecond),
			forecast.Gain.Round(time.Millisecond), wanted, p.contended[w.job.queue.Service]))
	}
	return true
}

// waitedTooLong reports whether a step past its latest start has waited for its rack for as long as a run away from it takes longer. The
// forecast does not know which other steps take what the rack releases, so that the wait might not end.
func (c *Conductor) waitedTooLong(now time.Time, w *waitingStep) bool {
	if w.wait.forRackSince.IsZero() || now.Before(w.latestStart) {
		return false
	}
	longer := time.Duration(float64(w.step.Spec.Estimate) * (c.settings.farFactor - 1))
	return now.Sub(w.wait.forRackSince) > longer
}

// hasRack reports whether a usable server on the preferred rack of a step may run it.
func (p *pass) hasRack(w *waitingStep) bool {
	return slices.ContainsFunc(p.usable[w.job.queue.Service], func(s *session) bool {
		return s.server.HasLabel(w.step.Spec.PreferredRack) && s.server.HasLabel(w.step.Spec.RequiredLabel) && s.mayRun(w) &&
			!w.job.adviceRefuses(w.step.ID, s.server)
	})
}

// wantOnRack records what the steps up to now that wait for a rack want of it, in thousandths of a core.
func (p *pass) wantOnRack(rack string, milliCores int64) {
	if p.wantedOnRack == nil {
		p.wantedOnRack = make(map[string]int64)
	}
	p.wantedOnRack[rack] = milliCores
}

// adviceRefuses reports whether advice has refused a server for a step.
func (j *job) adviceRefuses(step specifier.StepID, server specifier.Server) bool {
	return j.advice[step].refuses(server)
}

// forgetRacks drops what is known about racks that no step has preferred for long, so that the state does not grow.
func (c *Conductor) forgetRacks(now time.Time) {
	for rack, preferredAt := range c.nearness.racks {
		if now.Sub(preferredAt) > rackRetention {
			delete(c.nearness.racks, rack)
		}
	}
	c.nearness.forecaster.Forget(now)
}
