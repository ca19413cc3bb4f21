package placer

import (
	"slices"
	"time"

	"egretring.example/egretring/describer"
)

const (
	// reserveAfter is how long a job must have fitted nowhere before it may get the zone's reservation.
	reserveAfter = time.Second
	// overdueAfter is how long after its start time a reservation waits for tasks that run longer than expected before
	// they are evicted.
	overdueAfter = 2 * time.Second
	// reservationTimeout is how long after its start time an unfulfilled reservation is cancelled, after which
	// it is the turn of the next job. A reservation cannot be fulfilled if, for example, a backend server has failed. It
	// is also how much sooner a job must start to replace a reservation.
	reservationTimeout = 30 * time.Second
	// maxWaitForUnknown is how long a reservation waits for batch tasks of unknown or very long run time before it may
	// evict them.
	maxWaitForUnknown = 5 * time.Minute
	// maxOverrun is the longest remaining run time that is expected of a task which may not be evicted and runs longer
	// than expected or for an unknown time. It is longer than maxWaitForUnknown, so that capacity freed by evictions is
	// preferred.
	maxOverrun = 2 * maxWaitForUnknown
	// minCandidates and candidatesPerTask are how many backend servers are compared for a reservation. More are checked
	// only while too few of them can hold a task.
	minCandidates     = 256
	candidatesPerTask = 8
	// serviceTasks is the maximum number of tasks of a service for which capacity is reserved at a time.
	serviceTasks = 8
	// checksPerPass bounds the cost of the searches for a reservation in one pass when many jobs do not fit.
	checksPerPass = 4096
)

// reservation keeps capacity on some backend servers for one job, beginning at a start time. A zone has at most one
// reservation, so two partially placed jobs never wait for each other.
type reservation struct {
	holder   *entry
	startsAt time.Time
	servers  []*server
	// tasks is the number of tasks of the holder for which capacity is reserved.
	tasks int
	// due is true once the start time has come, after which no other task may be started in the reserved capacity.
	due     bool
	evicted bool
}

// slotTime is the expected time at which a backend server has capacity for one more task of the holder.
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

// reserveForBlocked creates the reservation for the job whose turn is first among those that have fitted nowhere for at
// least reserveAfter; an urgent job does not wait for that. It replaces a reservation that is to start late by one for a
// service or urgent job that would start sooner, and a distant one by that for any job; the earlier holder keeps its turn.
func (p *Placer) reserveForBlocked(now time.Time) {
	if len(p.servers) == 0 || p.reservation != nil && !p.reservation.mayYield(now) {
		return
	}
	checks := 0
	for _, e := range p.waitingForReservation(now) {
		if p.reservation != nil && !p.reservation.mayYieldTo(now, e) {
			continue
		}
		slots, checked := p.findSlots(now, e)
		if len(slots) > 0 && (p.reservation == nil || p.reservation.yieldsTo(slots)) {
			p.cancelReservation()
			p.reserveSlots(e, slots)
			return
		}
		e.reserveAt = now.Add(reserveAfter)
		if len(slots) == 0 {
			// The job would not fit even after running tasks end. It waits without a reservation and so delays no other
			// job.
			e.loseTurn(now)
			e.job.limitNeed()
		}
		if checks += checked; checks >= checksPerPass {
			return
		}
	}
}

// waitingForReservation returns the blocked entries in the order of their turns.
func (p *Placer) waitingForReservation(now time.Time) []*entry {
	var waiting []*entry
	for _, e := range p.pending {
		if e.blockedSince.IsZero() || now.Sub(e.blockedSince) < e.maxWait(reserveAfter) || now.Before(e.reserveAt) {
			continue
		}
		waiting = append(waiting, e)
	}
	slices.SortStableFunc(waiting, func(a, b *entry) int { return a.turn.Compare(b.turn) })
	return waiting
}

// loseTurn puts the entry behind the others that wait for the reservation, as if it had been submitted now.
func (e *entry) loseTurn(now time.Time) {
	e.turn = priorityTime(now, e.job)
}

// maxWait returns how long the entry waits for other tasks; an urgent job does not wait.
func (e *entry) maxWait(wait time.Duration) time.Duration {
	if e.job.description.Class == describer.Urgent {
		return 0
	}
	return wait
}

// reserve computes the earliest start time of a job and reserves capacity for it, if it would fit after running tasks
// end.
func (p *Placer) reserve(now time.Time, e *entry) {
	if slots, _ := p.findSlots(now, e); len(slots) > 0 {
		p.reserveSlots(e, slots)
	}
}

// reservedCount returns for how many tasks of the entry capacity is reserved at a time: for a service for several, because
// a reservation for each of them in turn would take as long as several runs of other tasks.
func (e *entry) reservedCount() int {
	if e.job.isService() {
		return min(len(e.indices), serviceTasks)
	}
	return e.taskCount()
}

// findSlots returns the earliest slots for the tasks of a job in the order of their times, or none if the job would not
// fit even after running tasks end. It also returns the number of checked backend servers.
func (p *Placer) findSlots(now time.Time, e *entry) (slots []slotTime, checked int) {
	count := e.reservedCount()
	enough := minCandidates + candidatesPerTask*count
	for ; checked < len(p.servers) && (checked < enough || len(slots) < count); checked++ {
		p.reserveFrom = (p.reserveFrom + 1) % len(p.servers)
		slots = p.servers[p.reserveFrom].appendSlots(slots, now, e)
	}
	if len(slots) < e.taskCount() {
		return nil, checked
	}
	count = min(count, len(slots))
	slices.SortStableFunc(slots, func(a, b slotTime) int { return a.at.Compare(b.at) })
	return slots[:count], checked
}

// reserveSlots creates the reservation of slots for a job.
func (p *Placer) reserveSlots(e *entry, slots []slotTime) {
	p.reservation = &reservation{holder: e, startsAt: startOf(slots), tasks: len(slots)}
	for _, slot := range slots {
		p.reserveOn(slot.server, e.job.need)
	}
}

// startOf returns the time at which all slots, which are in the order of their times, are expected to be free.
func startOf(slots []slotTime) time.Time {
	return slots[len(slots)-1].at
}

// isDistant reports whether the reservation starts so late that others should not wait for it. It is near again before the
// capacity becomes free, so that the holder does not starve.
func (r *reservation) isDistant(now time.Time) bool {
	return r.startsAt.Sub(now) > maxOverrun
}

// mayYield reports whether the reservation may be replaced by that of another job.
func (r *reservation) mayYield(now time.Time) bool {
	return !r.due && (r.isDistant(now) || r.holder.job.description.Class != describer.Urgent && !r.holder.job.isService())
}

// mayYieldTo reports whether the reservation may be replaced by that of a job: any job if the reservation is distant, a service,
// or an urgent job whose turn is before that of the holder, so that the holder does not starve under a stream of urgent jobs.
func (r *reservation) mayYieldTo(now time.Time, e *entry) bool {
	return r.isDistant(now) || e.job.isService() || e.job.description.Class == describer.Urgent && e.turn.Before(r.holder.turn)
}

// yieldsTo reports whether a reservation of the slots would start so much earlier that it replaces this one.
func (r *reservation) yieldsTo(slots []slotTime) bool {
	return startOf(slots).Add(reservationTimeout).Before(r.startsAt)
}

// appendSlots appends the times at which the backend server is expected to have capacity for tasks of the entry, as its
// running tasks end. A batch task that the holder may evict counts as ended after maxWaitForUnknown at the latest.
func (s *server) appendSlots(slots []slotTime, now time.Time, e *entry) []slotTime {
	if !s.accepts() || s.ejected || !e.job.need.Fits(s.Capacity) {
		return slots
	}
	ends := make([]*placement, 0, len(s.placements))
	for _, place := range s.placements {
		if place.leaving || place.job.description.Policy != describer.ServiceJob {
			ends = append(ends, place)
		}
	}
	endOf := func(place *placement) time.Time { return place.freeAt(now, e) }
	slices.SortFunc(ends, func(a, b *placement) int { return endOf(a).Compare(endOf(b)) })
	free, at := s.free(), now
	for i := 0; ; i++ {
		for e.job.need.Fits(free) {
			free = free.Minus(e.job.need)
			slots = append(slots, slotTime{server: s, at: at})
			if e.job.need == (describer.Resources{}) {
				break
			}
		}
		if i == len(ends) {
			return slots
		}
		free, at = free.Plus(ends[i].need), endOf(ends[i])
	}
}

// isEvictableFor reports whether the task may be evicted for the holder of a reservation.
func (p *placement) isEvictableFor(holder *entry) bool {
	return p.job.description.Policy == describer.BatchJob && p.job.description.Class >= holder.job.description.Class &&
		!p.waiting
}

// freeAt returns the expected time at which the task has ended or may be evicted. A task that may not be
// evicted and runs longer than expected is expected to run on for as long as it has done so, and one of unknown run time
// for as long as it has run.
func (p *placement) freeAt(now time.Time, holder *entry) time.Time {
	if p.leaving {
		return now
	}
	latest := now.Add(holder.maxWait(maxWaitForUnknown))
	if p.isEvictableFor(holder) && (!p.endKnown || p.endsAt.After(latest)) {
		return latest
	}
	switch {
	case !p.endKnown:
		return now.Add(min(now.Sub(p.startedAt), maxOverrun))
	case !p.endsAt.Before(now):
		return p.endsAt
	case p.isEvictableFor(holder):
		return now
	}
	return now.Add(min(now.Sub(p.endsAt), maxOverrun))
}

// reserveOn adds capacity on a backend server to the reservation.
func (p *Placer) reserveOn(s *server, need describer.Resources) {
	if !s.hasReserved {
		s.hasReserved = true
		p.reservation.servers = append(p.reservation.servers, s)
		for _, place := range s.placements {
			s.change(place, func() { place.overlapping = !place.endsBefore(p.reservation.startsAt) })
		}
	}
	s.reserved = s.reserved.Plus(need)
	p.refresh(s)
}

// cancelReservation cancels the reservation, if there is one, and frees the reserved capacity.
func (p *Placer) cancelReservation() {
	if p.reservation == nil {
		return
	}
	for _, s := range p.reservation.servers {
		s.hasReserved = false
		s.reserved = describer.Resources{}
		for _, place := range s.placements {
			place.overlapping = false
		}
		s.overlapping = describer.Resources{}
		p.refresh(s)
	}
	p.reservation = nil
	p.dirty = true
}

// updateReservation places the tasks of the holder as soon as the reserved capacity is free, evicts overdue tasks, and
// cancels the reservation if it is not fulfilled in time.
func (p *Placer) updateReservation(now time.Time) {
	r := p.reservation
	if r == nil {
		return
	}
	holder := r.holder
	if !r.due && !now.Before(r.startsAt) {
		p.markDue(r)
	}
	if r.isFree() {
		p.cancelReservation()
		count := min(r.tasks, len(holder.indices))
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
		// The next holder is chosen before the pass can give the reserved capacity to other tasks.
		p.cancelReservation()
		holder.loseTurn(now)
		p.reserveForBlocked(now)
	case !now.Before(r.startsAt.Add(holder.maxWait(overdueAfter))) && !r.evicted:
		r.evicted = true
		p.evictOverdue(now, r)
	}
}

// markDue marks all tasks that are still on the reserved backend servers and not leaving as overlapping the
// reservation, because they run longer than expected. Otherwise the capacity of each task that ends would be given to
// another one while they occupy the reserved capacity.
func (p *Placer) markDue(r *reservation) {
	r.due = true
	for _, s := range r.servers {
		for _, place := range s.placements {
			s.change(place, func() { place.overlapping = !place.leaving })
		}
		p.refresh(s)
	}
}

// isFree reports whether the reserved capacity is free on each backend server.
func (r *reservation) isFree() bool {
	for _, s := range r.servers {
		if !s.reserved.Fits(s.free()) {
			return false
		}
	}
	return true
}

// isPossible reports whether each backend server of the reservation accepts work and is large enough.
func (r *reservation) isPossible() bool {
	for _, s := range r.servers {
		if s.State != describer.Live || !s.reserved.Fits(s.Capacity) {
			return false
		}
	}
	return true
}
