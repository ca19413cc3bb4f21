package placer

import (
	"cmp"
	"slices"
	"time"

	"egretring.example/egretring/describer"
)

const (
	// reserveAfter is how long a job fits nowhere before it gets the zone's reservation.
	reserveAfter = time.Second
	// overdueAfter is how long after its start a reservation waits for tasks that run longer than expected.
	overdueAfter = 2 * time.Second
	// reservationTimeout is how long after its start a reservation is given up and computed anew, for example
	// because a backend server of the reservation has failed.
	reservationTimeout = 30 * time.Second
	// maxWaitForUnknown is when a reservation may evict batch tasks of unknown or very long run time.
	maxWaitForUnknown = 5 * time.Minute
	// minCandidates and candidatesPerTask bound the backend servers that are looked at for a reservation.
	minCandidates     = 256
	candidatesPerTask = 8
)

// reservation keeps room on some backend servers for one job from a time on. A zone has at most one, so two partially
// placed jobs never wait for each other.
type reservation struct {
	holder   *entry
	startsAt time.Time
	servers  []*server
	// due is true from the start time on, when no task may use the reserved room any more.
	due     bool
	evicted bool
}

// slotTime is the expected time at which a backend server has room for one more task of the holder.
type slotTime struct {
	server *server
	at     time.Time
}

// endsBeforeReservation reports whether a task of a job, started now, is expected to end before the reservation starts.
func (p *Placer) endsBeforeReservation(now time.Time, j *job) bool {
	if p.reservation == nil {
		return false
	}
	runTime, known := j.runTime.expected(j.description)
	return known && !now.Add(runTime).After(p.reservation.startsAt)
}

// reserveForBlocked gives the reservation to the first job in order that has fitted nowhere for a while.
func (p *Placer) reserveForBlocked(now time.Time) {
	if p.reservation != nil {
		return
	}
	for _, e := range p.pending {
		if e.blockedSince.IsZero() || now.Sub(e.blockedSince) < e.patience(reserveAfter) {
			continue
		}
		if p.reserve(now, e) {
			return
		}
		// The job cannot fit even when tasks end; it waits without a reservation and holds nothing up.
		e.blockedSince = now
	}
}

// patience is how long the entry waits for others; an urgent job does not wait.
func (e *entry) patience(wait time.Duration) time.Duration {
	if e.job.description.Class == describer.Urgent {
		return 0
	}
	return wait
}

// reserve computes the earliest start of a job and reserves the backend servers for it.
func (p *Placer) reserve(now time.Time, e *entry) bool {
	count := e.taskCount()
	var slots []slotTime
	for range min(len(p.servers), minCandidates+candidatesPerTask*count) {
		p.reserveFrom = (p.reserveFrom + 1) % len(p.servers)
		slots = p.servers[p.reserveFrom].appendSlots(slots, now, e)
	}
	if len(slots) < count {
		return false
	}
	slices.SortStableFunc(slots, func(a, b slotTime) int { return a.at.Compare(b.at) })
	p.reservation = &reservation{holder: e, startsAt: slots[count-1].at}
	for _, slot := range slots[:count] {
		p.hold(slot.server, e.job.need)
	}
	return true
}

// appendSlots appends the times at which the backend server has room for tasks of the entry, as its tasks end. A
// batch task that the holder may evict counts as ended after maxWaitForUnknown.
func (s *server) appendSlots(slots []slotTime, now time.Time, e *entry) []slotTime {
	if !s.accepts() || s.setAside {
		return slots
	}
	ends := make([]*placement, 0, len(s.placements))
	for _, place := range s.placements {
		if place.endKnown || place.leaving || place.mayGiveWay(e) {
			ends = append(ends, place)
		}
	}
	endOf := func(place *placement) time.Time { return place.freesAt(now, e) }
	slices.SortFunc(ends, func(a, b *placement) int { return endOf(a).Compare(endOf(b)) })
	room, at := s.free(), now
	for i := 0; ; i++ {
		for e.job.need.Fits(room) {
			room = room.Minus(e.job.need)
			slots = append(slots, slotTime{server: s, at: at})
			if e.job.need == (describer.Resources{}) {
				break
			}
		}
		if i == len(ends) {
			return slots
		}
		room, at = room.Plus(ends[i].need), endOf(ends[i])
	}
}

// mayGiveWay reports whether the task may be evicted for the holder of a reservation.
func (p *placement) mayGiveWay(holder *entry) bool {
	return p.job.description.Policy == describer.BatchJob && p.job.description.Class >= holder.job.description.Class &&
		!p.waiting
}

// freesAt is the expected time at which the task has ended or may be evicted.
func (p *placement) freesAt(now time.Time, holder *entry) time.Time {
	if p.leaving {
		return now
	}
	latest := now.Add(holder.patience(maxWaitForUnknown))
	if p.mayGiveWay(holder) && (!p.endKnown || p.endsAt.After(latest)) {
		return latest
	}
	if p.endsAt.Before(now) {
		return now
	}
	return p.endsAt
}

// hold adds room on a backend server to the reservation.
func (p *Placer) hold(s *server, need describer.Resources) {
	if !s.hasReserved {
		s.hasReserved = true
		p.reservation.servers = append(p.reservation.servers, s)
		for _, place := range s.placements {
			s.change(place, func() { place.late = !place.endsBefore(p.reservation.startsAt) })
		}
	}
	s.reserved = s.reserved.Plus(need)
	p.refresh(s)
}

// cancelReservation gives the reserved room back.
func (p *Placer) cancelReservation() {
	if p.reservation == nil {
		return
	}
	for _, s := range p.reservation.servers {
		s.hasReserved = false
		s.reserved = describer.Resources{}
		for _, place := range s.placements {
			place.late = false
		}
		s.late = describer.Resources{}
		p.refresh(s)
	}
	p.reservation = nil
	p.dirty = true
}

// tendReservation starts the holder as soon as its room is free, evicts overdue tasks, and gives the reservation up
// when it cannot be met.
func (p *Placer) tendReservation(now time.Time) {
	r := p.reservation
	if r == nil {
		return
	}
	holder := r.holder
	if !r.due && !now.Before(r.startsAt) {
		p.fallDue(r)
	}
	if r.isFree() {
		p.cancelReservation()
		count := holder.taskCount()
		if p.placeAll(now, holder, holder.indices[:count]) {
			holder.indices = holder.indices[count:]
			holder.blockedSince = time.Time{}
			return
		}
		p.reserve(now, holder)
		return
	}
	switch {
	case now.After(r.startsAt.Add(reservationTimeout)):
		p.cancelReservation()
	case !now.Before(r.startsAt.Add(holder.patience(overdueAfter))) && !r.evicted:
		r.evicted = true
		p.evictOverdue(now, r)
	}
}

// fallDue counts the tasks that run longer than expected as late. Otherwise the room of each task that ends would be
// given away again while they occupy the reserved room.
func (p *Placer) fallDue(r *reservation) {
	r.due = true
	for _, s := range r.servers {
		for _, place := range s.placements {
			s.change(place, func() { place.late = !place.leaving })
		}
		p.refresh(s)
	}
}

// isFree reports whether each backend server has the reserved room free.
func (r *reservation) isFree() bool {
	for _, s := range r.servers {
		if !s.reserved.Fits(s.free()) {
			return false
		}
	}
	return true
}

// evictOverdue evicts the tasks that occupy the reserved room beyond its start.
func (p *Placer) evictOverdue(now time.Time, r *reservation) {
	for _, s := range r.servers {
		missing := s.reserved.Minus(s.free())
		victims := p.victims(now, s, missing, func(place *placement) bool { return place.mayGiveWay(r.holder) })
		for _, place := range victims {
			p.evict(place, Preempted)
		}
	}
}

// victims chooses tasks on a backend server whose eviction frees the missing room: the lowest class first, and in a
// class the least work at risk. It returns nil when the allowed tasks do not suffice.
func (p *Placer) victims(
	now time.Time, s *server, missing describer.Resources, allowed func(*placement) bool,
) []*placement {
	if missing.Fits(describer.Resources{}) {
		return nil
	}
	var candidates []*placement
	for _, place := range s.placements {
		switch {
		case place.leaving:
			missing = missing.Minus(place.need)
		case allowed(place):
			candidates = append(candidates, place)
		}
	}
	slices.SortFunc(candidates, func(a, b *placement) int {
		if a.job.description.Class != b.job.description.Class {
			return int(b.job.description.Class - a.job.description.Class)
		}
		return cmp.Compare(p.costOf(now, a), p.costOf(now, b))
	})
	var chosen []*placement
	for _, place := range candidates {
		if missing.Fits(describer.Resources{}) {
			return chosen
		}
		if !relieves(place.need, missing) {
			continue
		}
		chosen = append(chosen, place)
		missing = missing.Minus(place.need)
	}
	if missing.Fits(describer.Resources{}) {
		return chosen
	}
	return nil
}

// relieves reports whether the need has a part in a dimension that is missing.
func relieves(need, missing describer.Resources) bool {
	return missing.MilliCores > 0 && need.MilliCores > 0 ||
		missing.MemoryBytes > 0 && need.MemoryBytes > 0 ||
		missing.Accelerators > 0 && need.Accelerators > 0
}
