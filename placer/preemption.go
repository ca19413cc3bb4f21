package placer

import (
	"time"

	"egretring.example/egretring/describer"
)

const (
	// preemptionCandidates is how many backend servers are compared for the least work lost.
	preemptionCandidates = 16
	// preemptionsPerPass bounds the cost of a pass when much urgent work arrives at once.
	preemptionsPerPass = 256
)

// eviction is a set of tasks whose eviction makes room on a backend server.
type eviction struct {
	server  *server
	victims []*placement
	cost    int64
}

// preemptForEach makes room for urgent tasks by evicting others, and returns how many tasks got a place. An evicted
// task leaves a hole that stays with the urgent task, which is announced when the hole is free.
func (p *Placer) preemptForEach(now time.Time, e *entry, indices []int) int {
	if e.job.description.Class != describer.Urgent {
		return 0
	}
	for i, index := range indices {
		if i == preemptionsPerPass {
			p.dirty = true
			return i
		}
		chosen, found := p.cheapestEviction(now, e.job.need)
		if !found {
			return i
		}
		for _, place := range chosen.victims {
			p.evict(place, Preempted)
		}
		p.put(now, e.job, index, chosen.server, true)
		p.announceWaiting(chosen.server)
	}
	return len(indices)
}

// cheapestEviction looks for room behind the lowest class first.
func (p *Placer) cheapestEviction(now time.Time, need describer.Resources) (eviction, bool) {
	for class := describer.Deferrable; class > describer.Urgent; class-- {
		if found, ok := p.cheapestInClass(now, need, class); ok {
			return found, true
		}
	}
	return eviction{}, false
}

func (p *Placer) cheapestInClass(now time.Time, need describer.Resources, lowest describer.Class) (eviction, bool) {
	var best eviction
	candidates := 0
	if len(p.racks) == 0 {
		return best, false
	}
	p.spreadFrom = (p.spreadFrom + 1) % len(p.racks)
	p.evictRoom[lowest].visit(need, p.spreadFrom, func(rack int) bool {
		for _, s := range p.racks[rack] {
			found, ok := p.evictionOn(now, s, need, lowest)
			if !ok {
				continue
			}
			candidates++
			if best.server == nil || found.cost < best.cost {
				best = found
			}
		}
		return candidates >= preemptionCandidates
	})
	return best, best.server != nil
}

// evictionOn returns the eviction of tasks of a class and below that makes room on a backend server.
func (p *Placer) evictionOn(now time.Time, s *server, need describer.Resources, lowest describer.Class) (eviction, bool) {
	if !need.Fits(s.roomAfterEviction(lowest)) {
		return eviction{}, false
	}
	// Free room that is negative is already promised to tasks that wait for others to leave.
	missing := need.Minus(s.Capacity.Minus(s.allocated))
	found := eviction{server: s}
	if missing.Fits(describer.Resources{}) {
		return found, true
	}
	found.victims = p.victimsNow(now, s, missing, lowest)
	for _, place := range found.victims {
		found.cost += p.costOf(now, place)
	}
	return found, found.victims != nil
}

// victimsNow chooses the victims among the tasks that are not already leaving: the room of those is given away.
func (p *Placer) victimsNow(now time.Time, s *server, missing describer.Resources, lowest describer.Class) []*placement {
	leaving := describer.Resources{}
	for _, place := range s.placements {
		if place.leaving {
			leaving = leaving.Plus(place.need)
		}
	}
	return p.victims(now, s, missing.Plus(leaving), func(place *placement) bool {
		return place.isPreemptible(lowest)
	})
}

// isPreemptible reports whether the task may be evicted for urgent work that may evict a class and those below it.
func (p *placement) isPreemptible(lowest describer.Class) bool {
	description := p.job.description
	return description.Class >= lowest && description.Policy != describer.ServiceJob && !p.waiting
}

// costOf is the work at risk when a task is evicted; a task of a gang job takes the whole gang with it.
func (p *Placer) costOf(now time.Time, place *placement) int64 {
	if !place.job.isGang() {
		return place.workAtRisk(now)
	}
	cost := int64(0)
	for _, member := range place.job.placements {
		cost += member.workAtRisk(now)
	}
	return cost
}

// evict asks a task to leave, and with a task of a gang job the whole gang.
func (p *Placer) evict(place *placement, reason EvictionReason) {
	if !place.job.isGang() {
		p.evictOne(place, reason)
		return
	}
	for _, index := range sortedIndices(place.job.placements) {
		p.evictOne(place.job.placements[index], reason)
	}
}

func (p *Placer) evictOne(place *placement, reason EvictionReason) {
	if place.leaving || place.waiting {
		return
	}
	s := p.servers[place.server]
	s.change(place, func() {
		place.leaving = true
		place.late = false
	})
	p.emit(EvictTask{Task: place.task, Reason: reason})
	p.refresh(s)
}
