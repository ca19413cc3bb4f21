package conductor

import "slices"

// placeGang places all tasks of a gang or none, and reports whether it did.
func (c *Conductor) placeGang(p *pass, u *unit, servers []*session) bool {
	chosen := u.chooseForGang(servers)
	if chosen == nil {
		if u.tier == onTime && len(servers) > 0 {
			p.holdRoom(u, servers)
		}
		return false
	}
	run := u.step.NextRun(0)
	for i, s := range chosen {
		c.reserve(u, s, u.waiting[i], run)
	}
	c.changed(u.job)
	return true
}

// chooseForGang returns a server for each task, or nil when not all fit.
func (u *unit) chooseForGang(servers []*session) []*session {
	if !u.step.Spec.SameRack {
		return u.fill(servers)
	}
	racks := make(map[string][]*session)
	for _, s := range servers {
		for _, label := range s.server.Labels {
			racks[label] = append(racks[label], s)
		}
	}
	for _, rack := range sortedKeys(racks) {
		if chosen := u.fill(racks[rack]); chosen != nil {
			return chosen
		}
	}
	return u.fill(servers)
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

func (u *unit) fill(servers []*session) []*session {
	u.sortByPreference(servers)
	var chosen []*session
	for _, s := range servers {
		for range min(u.fits(s), len(u.waiting)-len(chosen)) {
			chosen = append(chosen, s)
		}
		if len(chosen) == len(u.waiting) {
			return chosen
		}
	}
	return nil
}

// holdRoom keeps the servers with the most room for a gang that does not fit yet.
func (p *pass) holdRoom(u *unit, servers []*session) {
	slices.SortFunc(servers, compareRoom)
	expected := 0
	for _, s := range servers {
		if expected >= len(u.waiting) {
			return
		}
		expected += u.need().Count(s.server.Capacity, len(u.waiting))
		if _, held := p.heldFor[s.server.ID]; !held {
			p.heldFor[s.server.ID] = u.job.queue.Priority
		}
	}
}
