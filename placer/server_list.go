package placer

import (
	"time"

	"egretring.example/egretring/describer"
)

// changeServers applies a new list of backend servers. A backend server that is missing from the list is kept while it
// has tasks, because they may still run there.
func (p *Placer) changeServers(now time.Time, list []describer.BackendServer) {
	seen := make(map[describer.BackendServerID]bool, len(list))
	rebuild := false
	for _, described := range list {
		seen[described.ID] = true
		number, known := p.numbers[described.ID]
		if !known {
			p.servers = append(p.servers, &server{BackendServer: described})
			rebuild = true
			continue
		}
		s := p.servers[number]
		rebuild = rebuild || s.Rack != described.Rack || s.Capacity != described.Capacity
		p.changeState(s, described)
	}
	for _, s := range p.servers {
		if !seen[s.ID] && s.State != describer.Gone {
			p.changeState(s, s.WithState(describer.Gone))
			rebuild = true
		}
	}
	var holder *entry
	if p.reservation != nil && !p.reservation.isPossible() {
		holder = p.reservation.holder
		p.cancelReservation()
	}
	if rebuild {
		p.rebuild()
	}
	if holder != nil {
		p.reserve(now, holder)
	}
	p.dirty = true
}

func (p *Placer) changeState(s *server, described describer.BackendServer) {
	left := s.State == describer.Live && described.State != describer.Live
	s.BackendServer = described
	if left {
		p.evacuate(s)
	}
	p.refresh(s)
}

// evacuate removes the tasks from a backend server that accepts no more work: waiting tasks are submitted again, and
// running tasks are evicted if the backend server is leaving. Tasks on a backend server that is gone are lost; the
// caller releases them when it is certain that they have ended.
func (p *Placer) evacuate(s *server) {
	for i := len(s.placements) - 1; i >= 0; i-- {
		place := s.placements[i]
		switch {
		case place.waiting:
			p.removePlacement(place)
			p.submit(place.startedAt, place.job.description, []int{place.task.Index})
		case s.State == describer.Leaving:
			p.evict(place, ServerLeaving)
		}
	}
}

// rebuild renumbers the backend servers and rebuilds the indexes.
func (p *Placer) rebuild() {
	kept := make([]*server, 0, len(p.servers))
	for _, s := range p.servers {
		if s.State != describer.Gone || len(s.placements) > 0 {
			kept = append(kept, s)
		}
	}
	p.servers = kept
	p.numbers = make(map[describer.BackendServerID]int, len(kept))
	racks := p.numberRacks()
	p.largest = describer.Resources{}
	for number, s := range p.servers {
		s.number = number
		p.numbers[s.ID] = number
		p.largest = larger(p.largest, s.Capacity)
		for _, place := range s.placements {
			place.server = number
		}
	}
	p.unreservedCapacity = newRackTree(racks)
	for class := range p.evictableCapacity {
		p.evictableCapacity[class] = newRackTree(racks)
	}
	p.unreservedCells = newCellIndex(len(p.servers), p.largest)
	p.backfillCells = newCellIndex(len(p.servers), p.largest)
	for _, s := range p.servers {
		p.refresh(s)
	}
}

// numberRacks numbers the racks, and recounts the tasks of each job by rack.
func (p *Placer) numberRacks() int {
	numbers := make(map[describer.RackID]int)
	p.racks = nil
	for _, j := range p.jobs {
		clear(j.racks)
	}
	for _, s := range p.servers {
		rack, known := numbers[s.Rack]
		if !known {
			rack = len(p.racks)
			numbers[s.Rack] = rack
			p.racks = append(p.racks, nil)
		}
		s.rack = rack
		p.racks[rack] = append(p.racks[rack], s)
		for _, place := range s.placements {
			place.job.racks[rack]++
		}
	}
	return len(p.racks)
}

// refresh updates the indexes after a change of the allocations on a backend server.
func (p *Placer) refresh(s *server) {
	p.unreservedCells.update(s.number, s.unreserved())
	free := noCapacity
	if s.hasReserved {
		free = s.free()
	}
	p.backfillCells.update(s.number, free)
	unreserved := noCapacity
	var evictable [describer.ClassCount]describer.Resources
	for _, member := range p.racks[s.rack] {
		unreserved = larger(unreserved, member.unreserved())
		for class := describer.Standard; class <= describer.Deferrable; class++ {
			evictable[class] = larger(evictable[class], member.capacityAfterEviction(class))
		}
	}
	p.unreservedCapacity.update(s.rack, unreserved)
	for class := describer.Standard; class <= describer.Deferrable; class++ {
		p.evictableCapacity[class].update(s.rack, evictable[class])
	}
}

// capacityAfterEviction returns the capacity that would be free if all preemptible tasks of a class and the classes
// below it were evicted.
func (s *server) capacityAfterEviction(class describer.Class) describer.Resources {
	if !s.accepts() {
		return noCapacity
	}
	return s.free().Plus(s.preemptible[class])
}

func (p *Placer) setEjected(id describer.BackendServerID, ejected bool, probes int) {
	number, known := p.numbers[id]
	if !known {
		return
	}
	s := p.servers[number]
	s.ejected, s.probes = ejected, probes
	if probes > 0 {
		p.probing = append(p.probing, s)
	}
	p.refresh(s)
	p.dirty = true
}

// Summary holds the totals of a placer.
type Summary struct {
	PendingTasks int
	PlacedTasks  int
	Capacity     describer.Resources
	Allocated    describer.Resources
	// ReservedIdle is the free capacity that is kept for the holder of the reservation.
	ReservedIdle describer.Resources
}

// Summary returns the current totals.
func (p *Placer) Summary() Summary {
	var sum Summary
	for _, e := range p.pending {
		sum.PendingTasks += len(e.indices)
	}
	for _, s := range p.servers {
		sum.PlacedTasks += len(s.placements)
		sum.Capacity = sum.Capacity.Plus(s.Capacity)
		sum.Allocated = sum.Allocated.Plus(s.allocated)
		if s.hasReserved && s.accepts() {
			held := smaller(s.reserved, s.free())
			sum.ReservedIdle = sum.ReservedIdle.Plus(larger(held, describer.Resources{}))
		}
	}
	return sum
}
