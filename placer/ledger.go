package placer

import "egretring.example/egretring/describer"

// changeServers takes over the list of backend servers. A backend server that has left the list stays in the ledger
// while it has tasks, because they may still run there.
func (p *Placer) changeServers(list []describer.BackendServer) {
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
	if rebuild {
		p.rebuild()
	}
	p.dirty = true
}

func (p *Placer) changeState(s *server, described describer.BackendServer) {
	left := s.State == describer.Live && described.State != describer.Live
	s.BackendServer = described
	if left {
		p.clear(s)
	}
	p.refresh(s)
}

// clear moves the tasks of a backend server that accepts no more work elsewhere. Tasks on a backend server that is
// gone are lost; the caller releases them when it is certain that they have ended.
func (p *Placer) clear(s *server) {
	for i := len(s.placements) - 1; i >= 0; i-- {
		place := s.placements[i]
		switch {
		case place.waiting:
			p.take(place)
			p.submit(place.startedAt, place.job.description, []int{place.task.Index})
		case s.State == describer.Leaving:
			p.evict(place, ServerLeaving)
		}
	}
}

// rebuild numbers the backend servers and builds the indexes anew.
func (p *Placer) rebuild() {
	p.cancelReservation()
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
	p.openRoom = newRackTree(racks)
	for class := range p.evictRoom {
		p.evictRoom[class] = newRackTree(racks)
	}
	p.openCells = newCellIndex(len(p.servers), p.largest)
	p.backfill = newCellIndex(len(p.servers), p.largest)
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

// refresh brings the indexes up to date with the ledger of a backend server.
func (p *Placer) refresh(s *server) {
	p.openCells.update(s.number, s.open())
	room := noRoom
	if s.hasReserved {
		room = s.free()
	}
	p.backfill.update(s.number, room)
	open := noRoom
	var evictable [describer.ClassCount]describer.Resources
	for _, member := range p.racks[s.rack] {
		open = larger(open, member.open())
		for class := describer.Standard; class <= describer.Deferrable; class++ {
			evictable[class] = larger(evictable[class], member.roomAfterEviction(class))
		}
	}
	p.openRoom.update(s.rack, open)
	for class := describer.Standard; class <= describer.Deferrable; class++ {
		p.evictRoom[class].update(s.rack, evictable[class])
	}
}

// roomAfterEviction is the room if all tasks of a class and the classes below it were evicted.
func (s *server) roomAfterEviction(class describer.Class) describer.Resources {
	if !s.accepts() {
		return noRoom
	}
	return s.free().Plus(s.preemptible[class])
}

func (p *Placer) changeAside(id describer.BackendServerID, aside bool, probes int) {
	number, known := p.numbers[id]
	if !known {
		return
	}
	s := p.servers[number]
	s.setAside, s.probes = aside, probes
	if probes > 0 {
		p.probing = append(p.probing, s)
	}
	p.refresh(s)
	p.dirty = true
}

// Summary counts what the placer holds.
type Summary struct {
	PendingTasks int
	PlacedTasks  int
	Capacity     describer.Resources
	Allocated    describer.Resources
	// HeldIdle is the free room that is kept for the holder of the reservation.
	HeldIdle describer.Resources
}

// Summary returns the counts at this time.
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
			sum.HeldIdle = sum.HeldIdle.Plus(larger(held, describer.Resources{}))
		}
	}
	return sum
}
