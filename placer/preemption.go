package placer

import (
	"time"

	"egretring.example/egretring/describer"
)

const (
	// preemptionCandidates is how many backend servers are compared to find the eviction that loses the least work.
	preemptionCandidates = 16
	// preemptionsPerPass bounds the cost of a pass when much urgent work arrives together.
	preemptionsPerPass = 256
)

// eviction is a set of tasks whose eviction frees the missing capacity on a backend server.
type eviction struct {
	server  *server
	victims []*placement
	cost    int64
}

// preemptForEach frees capacity for urgent tasks by evicting others, and returns how many tasks were assigned to a
// backend server. The capacity of the evicted tasks is allocated to the urgent task immediately; PlaceTask is emitted
// when they have left.
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
		p.addPlacement(now, e.job, index, chosen.server, true)
		p.announceWaiting(chosen.server)
	}
	return len(indices)
}

// cheapestEviction returns the eviction with the lowest cost. It first tries to evict only tasks of the lowest class,
// and adds the next higher class, except Urgent, only if that does not suffice.
func (p *Placer) cheapestEviction(now time.Time, need describer.Resources) (eviction, bool) {
	for class := describer.Deferrable; class > describer.Urgent; class-- {
		if found, ok := p.cheapestInClass(now, need, class); ok {
			return found, true
		}
	}
	return eviction{}, false
}

func (p *Placer) cheapestInClass(now time.Time, need describer.Resources, highest describer.Class) (eviction, bool) {
	var best eviction
	candidates := 0
	if len(p.racks) == 0 {
		return best, false
	}
	p.spreadFrom = (p.spreadFrom + 1) % len(p.racks)
	p.evictableCapacity[highest].visit(need, p.spreadFrom, func(rack int) bool {
		for _, s := range p.racks[rack] {
			found, ok := p.evictionOn(now, s, need, highest)
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

// evictionOn returns an eviction on a backend server that frees enough capacity for the need. It evicts no tasks of
// classes above highest.
func (p *Placer) evictionOn(now time.Time, s *server, need describer.Resources, highest describer.Class) (eviction, bool) {
	if !need.Fits(s.capacityAfterEviction(highest)) {
		return eviction{}, false
	}
	// The free capacity is negative when tasks that wait for others to leave already have a claim on it.
	missing := need.Minus(s.Capacity.Minus(s.allocated))
	found := eviction{server: s}
	if missing.Fits(describer.Resources{}) {
		return found, true
	}
	found.victims = p.victimsNow(now, s, missing, highest)
	for _, place := range found.victims {
		found.cost += p.costOf(now, place)
	}
	return found, found.victims != nil
}

// victimsNow chooses the victims among the tasks that are not leaving yet. The capacity of leaving tasks does not
// count, because it is already allocated to other tasks.
func (p *Placer) victimsNow(now time.Time, s *server, missing describer.Resources, highest describer.Class) []*placement {
	leaving := describer.Resources{}
	for _, place := range s.placements {
		if place.leaving {
			leaving = leaving.Plus(place.need)
		}
	}
	return p.victims(now, s, missing.Plus(leaving), func(place *placement) bool {
		return place.isPreemptible(highest)
	})
}

// isPreemptible reports whether the task may be evicted for urgent work, which may evict tasks of the class highest
// and the classes below it.
func (p *placement) isPreemptible(highest describer.Class) bool {
	description := p.job.description
	return description.Class >= highest && description.Policy != describer.ServiceJob && !p.waiting
}

// costOf returns the work at risk when a task is evicted. The eviction of one task of a gang job evicts the whole gang.
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

// evict emits EvictTask for a task, and for a task of a gang job it evicts the whole gang.
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
		place.overlapping = false
	})
	p.emit(EvictTask{Task: place.task, Reason: reason})
	p.refresh(s)
}
