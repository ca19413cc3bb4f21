package placer

import (
	"time"

	"egretring.example/egretring/describer"
)

const (
	// maxBlocked bounds the needs that are kept in each list of blockedNeeds.
	maxBlocked = 16
	// gangRetryInterval is the shortest time between two placement attempts of a gang job that fits nowhere.
	gangRetryInterval = 200 * time.Millisecond
	// spreadCandidates is how many racks are compared for a task of a service.
	spreadCandidates = 8
	// spreadProbes bounds the racks that are checked for one limit of tasks per rack.
	spreadProbes = 64
)

// blockedNeeds records the needs that fitted nowhere in this pass, so that equal and larger ones are skipped without a
// search. The needs of tasks that are expected to end before the reservation starts are kept apart in short, because
// these tasks may also use the reserved capacity.
type blockedNeeds struct {
	short []describer.Resources
	long  []describer.Resources
}

func (b *blockedNeeds) list(short bool) *[]describer.Resources {
	if short {
		return &b.short
	}
	return &b.long
}

func (b *blockedNeeds) contains(need describer.Resources, short bool) bool {
	for _, blocked := range *b.list(short) {
		if blocked.Fits(need) {
			return true
		}
	}
	return false
}

func (b *blockedNeeds) add(need describer.Resources, short bool) {
	list := b.list(short)
	if len(*list) < maxBlocked {
		*list = append(*list, need)
	}
}

// pass tries to place the pending tasks in queue order.
func (p *Placer) pass(now time.Time) {
	p.lastPass = now
	p.dirty = false
	p.updateReservation(now)
	var blocked blockedNeeds
	for _, e := range p.pending {
		p.placePending(now, e, &blocked)
	}
	p.removeEmptyEntries()
	p.reserveForBlocked(now)
}

// placePending places as many tasks of an entry as fit. A gang job is placed as a whole or not at all.
func (p *Placer) placePending(now time.Time, e *entry, blocked *blockedNeeds) {
	placed := 0
	if e.job.isGang() {
		if now.Before(e.retryAt) || blocked.contains(e.job.need, p.endsBeforeReservation(now, e.job)) {
			e.block(now)
			return
		}
		e.retryAt = now.Add(gangRetryInterval)
		if p.placeAll(now, e, e.indices) {
			placed = len(e.indices)
		}
	} else {
		placed = p.placeEach(now, e, blocked)
	}
	e.indices = e.indices[placed:]
	if len(e.indices) > 0 {
		e.block(now)
	} else if p.reservation != nil && p.reservation.holder == e {
		p.cancelReservation()
	}
}

func (e *entry) block(now time.Time) {
	if e.blockedSince.IsZero() {
		e.blockedSince = now
	}
}

func (p *Placer) placeEach(now time.Time, e *entry, blocked *blockedNeeds) int {
	short := p.endsBeforeReservation(now, e.job)
	for i, index := range e.indices {
		if blocked.contains(e.job.need, short) || !p.placeOne(now, e.job, index) {
			blocked.add(e.job.need, short)
			return i + p.preemptForEach(now, e, e.indices[i:])
		}
		e.blockedSince = time.Time{}
	}
	return len(e.indices)
}

func (p *Placer) placeOne(now time.Time, j *job, index int) bool {
	s := p.choose(now, j)
	if s == nil {
		return false
	}
	p.announce(p.addPlacement(now, j, index, s, false))
	return true
}

// placeAll places all given tasks of a job or none. A gang job uses the probe of an ejected backend server as a whole and
// only when it is placed.
func (p *Placer) placeAll(now time.Time, e *entry, indices []int) bool {
	placed := make([]*placement, 0, len(indices))
	for _, index := range indices {
		s := p.choose(now, e.job)
		if s == nil {
			for _, place := range placed {
				p.removePlacement(place)
			}
			return false
		}
		placed = append(placed, p.addPlacement(now, e.job, index, s, false))
	}
	for _, place := range placed {
		p.announce(place)
		if s := p.servers[place.server]; s.ejected {
			s.probes = 0
			p.refresh(s)
		}
	}
	return true
}

// choose returns the backend server for the next task of a job, or nil if the task fits nowhere.
func (p *Placer) choose(now time.Time, j *job) *server {
	if j.description.Policy == describer.ServiceJob {
		return p.chooseSpread(j)
	}
	if s := p.chooseProbing(j); s != nil {
		return s
	}
	return p.chooseBestFit(now, j)
}

// chooseProbing returns an ejected backend server that may be probed with a batch task of the job, or nil. Urgent tasks
// are not used as probes.
func (p *Placer) chooseProbing(j *job) *server {
	if j.description.Policy != describer.BatchJob || j.description.Class == describer.Urgent {
		return nil
	}
	for len(p.probing) > 0 && p.probing[0].probes == 0 {
		p.probing = p.probing[1:]
	}
	if len(p.probing) == 0 || !j.need.Fits(p.probing[0].unreserved()) {
		return nil
	}
	return p.probing[0]
}

// chooseBestFit returns the backend server with the least capacity left after the placement. A task that is expected to
// end before the reservation starts is backfilled into the reserved capacity first.
func (p *Placer) chooseBestFit(now time.Time, j *job) *server {
	if p.endsBeforeReservation(now, j) {
		number, _ := p.backfillCells.find(j.need, func(server int) bool { return j.need.Fits(p.servers[server].free()) })
		if number >= 0 {
			return p.servers[number]
		}
	}
	fits := func(server int) bool { return j.need.Fits(p.servers[server].unreserved()) }
	number, truncated := p.unreservedCells.find(j.need, fits)
	if number >= 0 {
		return p.servers[number]
	}
	if !truncated {
		return nil
	}
	return p.chooseFirstFit(j.need)
}

// chooseFirstFit returns the best fit in the first rack that has one. Unlike the search of cellIndex it is always
// complete.
func (p *Placer) chooseFirstFit(need describer.Resources) *server {
	var found *server
	p.unreservedCapacity.visit(need, 0, func(rack int) bool {
		found = bestFit(p.racks[rack], need)
		return found != nil
	})
	return found
}

// bestFit returns the backend server in a rack with the fewest free processors on which a need fits, or nil.
func bestFit(rack []*server, need describer.Resources) *server {
	var best *server
	for _, s := range rack {
		if need.Fits(s.unreserved()) && (best == nil || s.free().MilliCores < best.free().MilliCores) {
			best = s
		}
	}
	return best
}

// chooseSpread returns a backend server in a rack with as few tasks of the service as possible. Racks are compared in
// circular order, so that services begin in different racks. The limit of tasks per rack starts at the average. If no
// rack within the limit is found in spreadProbes racks, the next limit is tried, and finally any rack is accepted.
func (p *Placer) chooseSpread(j *job) *server {
	if len(p.racks) == 0 {
		return nil
	}
	average := len(j.placements) / len(p.racks)
	for limit := average; limit <= average+1; limit++ {
		if s := p.chooseBelowLimit(j, limit); s != nil {
			return s
		}
	}
	return p.chooseLeastUsed(j)
}

func (p *Placer) chooseBelowLimit(j *job, limit int) *server {
	var best *server
	probes, candidates := 0, 0
	p.spreadFrom = (p.spreadFrom + 1) % len(p.racks)
	p.unreservedCapacity.visit(j.need, p.spreadFrom, func(rack int) bool {
		probes++
		if j.racks[rack] > limit {
			return probes >= spreadProbes
		}
		s := bestFit(p.racks[rack], j.need)
		if s != nil && (best == nil || s.free().MilliCores < best.free().MilliCores) {
			best = s
		}
		if s != nil {
			candidates++
		}
		return probes >= spreadProbes || candidates >= spreadCandidates
	})
	return best
}

// chooseLeastUsed returns a backend server in the least used of the first racks on which a task fits.
func (p *Placer) chooseLeastUsed(j *job) *server {
	var best *server
	probes := 0
	p.unreservedCapacity.visit(j.need, p.spreadFrom, func(rack int) bool {
		s := bestFit(p.racks[rack], j.need)
		if s == nil {
			return false
		}
		probes++
		if best == nil || j.racks[rack] < j.racks[best.rack] {
			best = s
		}
		return probes >= spreadProbes
	})
	return best
}
