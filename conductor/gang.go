package conductor

import (
	"slices"

	"egretring.example/egretring/matcher"
)

// placeGang places all tasks of a gang or none, and reports whether it placed them.
func (c *Conductor) placeGang(p *pass, w *waitingStep, servers []*session) bool {
	chosen := c.chooseForGang(p, w, servers)
	if chosen == nil || c.hasRuns(w) {
		if w.tier == onTime && w.mayHoldInAdvance() && p.mayHold(w) {
			c.holdCapacity(p, w, servers)
		}
		return false
	}
	run := w.step.NextRun(0)
	for i, s := range chosen {
		c.reserve(p, w, s, w.waiting[i], run)
	}
	c.changed(w.job)
	return true
}

// chooseForGang returns a server for each task, or nil when not all fit. A gang with suspects waits for some time for servers
// on which no other run can cause a crash.
func (c *Conductor) chooseForGang(p *pass, w *waitingStep, servers []*session) []*session {
	if !fitsOn(servers, len(w.waiting), w.fits) {
		return nil
	}
	if !slices.ContainsFunc(w.waiting, w.isSuspect) {
		return w.chooseByRack(servers)
	}
	if p.now.Before(w.job.suspectsNotBefore) {
		return nil
	}
	quiet := slices.DeleteFunc(slices.Clone(servers), func(s *session) bool { return !s.outlivedAll() })
	if chosen := w.chooseByRack(quiet); chosen != nil || !w.hasWaitedFor(p.now, gangTrialPatience) {
		return chosen
	}
	chosen := w.chooseByRack(servers)
	w.pairSuspects(chosen)
	return chosen
}

// chooseByRack returns a server for each task, or nil when not all fit. A gang with SameRack goes to servers with one
// common label if all of its tasks fit there, and anywhere otherwise.
func (w *waitingStep) chooseByRack(servers []*session) []*session {
	if !w.step.Spec.SameRack {
		return w.fill(servers)
	}
	racks := make(map[string][]*session)
	for _, s := range servers {
		for _, label := range s.server.Labels {
			racks[label] = append(racks[label], s)
		}
	}
	for _, rack := range sortedKeys(racks) {
		if chosen := w.fill(racks[rack]); chosen != nil {
			return chosen
		}
	}
	return w.fill(servers)
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// fill returns a server for each task, or nil when not all fit.
func (w *waitingStep) fill(servers []*session) []*session {
	preference := w.preference
	if preference != matcher.None {
		preference = preference.ForGang(len(w.waiting), w.places(servers))
	}
	w.sortServers(servers, preference)
	var chosen []*session
	for _, s := range servers {
		for range min(w.fits(s), len(w.waiting)-len(chosen)) {
			chosen = append(chosen, s)
		}
		if len(chosen) == len(w.waiting) {
			return chosen
		}
	}
	return nil
}

// places returns how many tasks fit the servers of each class.
func (w *waitingStep) places(servers []*session) matcher.Places {
	var places matcher.Places
	for _, s := range servers {
		places[s.class] += w.fits(s)
	}
	return places
}

// mayHold reports whether the step is the first of its priority for which servers are held in this pass. Several gangs would hold
// what the others need.
func (p *pass) mayHold(w *waitingStep) bool {
	key := holdKey{w.job.queue.Service, w.job.queue.Priority}
	first := !p.held[key]
	p.held[key] = true
	return first
}

// holdCapacity withholds the servers with the most free capacity from steps without a higher priority, for a gang that
// does not fit yet. It takes as many servers as would fit the gang when empty.
func (c *Conductor) holdCapacity(p *pass, w *waitingStep, servers []*session) {
	slices.SortFunc(servers, compareFreeCapacity)
	expected := 0
	for i, s := range servers {
		if expected >= len(w.waiting) {
			servers = servers[:i]
			break
		}
		expected += w.fitsEmpty(s)
	}
	c.hold(p, w, servers)
}
