package placer

import (
	"time"

	"egretring.example/egretring/describer"
)

// placement is the allocation of a task on a backend server. The task runs there, or waits for evicted tasks to leave.
type placement struct {
	task   describer.TaskID
	job    *job
	server int
	need   describer.Resources
	// startResources is the amount that was sent to the backend server with the start. At least this much stays
	// allocated, so that the sum that the backend server itself keeps stays within its capacity too.
	startResources describer.Resources
	// slot is the index of the placement in the list of its backend server.
	slot      int
	startedAt time.Time
	endsAt    time.Time
	// endKnown is false for a service and for a task of unknown run time.
	endKnown bool
	// waiting is true until the evicted tasks have left and PlaceTask has been emitted.
	waiting bool
	// overlapping is true when the task is expected to run beyond the start of the reservation of its backend server.
	overlapping bool
	// leaving is true after the eviction of the task has been requested.
	leaving   bool
	throttled bool
	// used is the most recently measured use.
	used describer.Resources
}

// endsBefore reports whether the task is leaving or is expected to have ended by the given time.
func (p *placement) endsBefore(at time.Time) bool {
	return p.leaving || p.endKnown && !p.endsAt.After(at)
}

// workAtRisk returns the work, in milli-core milliseconds, that is lost if the task has to start again. It is an
// integer so that the sum over a gang job does not depend on the order.
func (p *placement) workAtRisk(now time.Time) int64 {
	return now.Sub(p.startedAt).Milliseconds() * max(p.need.MilliCores, 1)
}

// server holds the allocations on one backend server.
type server struct {
	describer.BackendServer
	number int
	rack   int
	// allocated is the need of all tasks with a placement here, including those that wait for others to leave.
	allocated describer.Resources
	// occupied is the need of the tasks for which PlaceTask has been emitted, including those that are leaving.
	occupied describer.Resources
	// preemptible is the need of the tasks that may be evicted, indexed by class: each element is the sum over the
	// tasks of its class and the classes below it.
	preemptible [describer.ClassCount]describer.Resources
	placements  []*placement
	waiting     int
	ejected     bool
	probes      int
	// reserved is the capacity that is kept for the holder of the reservation; overlapping is the need of the tasks
	// that are expected to run beyond the start of the reservation.
	reserved    describer.Resources
	overlapping describer.Resources
	hasReserved bool
	// overloadActionAt is when a task was last throttled or evicted because of a high measured use.
	overloadActionAt time.Time
}

func (s *server) accepts() bool {
	return s.State == describer.Live && (!s.ejected || s.probes > 0)
}

// free returns the capacity that is not allocated to any task.
func (s *server) free() describer.Resources {
	if !s.accepts() {
		return noCapacity
	}
	return s.Capacity.Minus(s.allocated)
}

// unreserved returns the free capacity for tasks that may run beyond the start of the reservation.
func (s *server) unreserved() describer.Resources {
	if !s.hasReserved || !s.accepts() {
		return s.free()
	}
	return smaller(s.free(), s.Capacity.Minus(s.reserved).Minus(s.overlapping))
}

func (s *server) add(p *placement) {
	p.slot = len(s.placements)
	s.placements = append(s.placements, p)
	s.account(p, 1)
}

func (s *server) remove(p *placement) {
	last := s.placements[len(s.placements)-1]
	s.placements[p.slot] = last
	last.slot = p.slot
	s.placements[len(s.placements)-1] = nil
	s.placements = s.placements[:len(s.placements)-1]
	s.account(p, -1)
}

// account adds a placement to the sums, or subtracts it if sign is -1.
func (s *server) account(p *placement, sign int64) {
	change := scaled(p.need, sign)
	s.allocated = s.allocated.Plus(change)
	if p.waiting {
		s.waiting += int(sign)
	} else {
		s.occupied = s.occupied.Plus(change)
	}
	if p.overlapping {
		s.overlapping = s.overlapping.Plus(change)
	}
	if p.job.description.Policy == describer.ServiceJob || p.waiting || p.leaving {
		return
	}
	for class := describer.Class(0); class <= p.job.description.Class; class++ {
		s.preemptible[class] = s.preemptible[class].Plus(change)
	}
}

// change applies a change to a placement and updates the sums.
func (s *server) change(p *placement, apply func()) {
	s.account(p, -1)
	apply()
	s.account(p, 1)
}

func scaled(r describer.Resources, factor int64) describer.Resources {
	return describer.Resources{
		MilliCores:   r.MilliCores * factor,
		MemoryBytes:  r.MemoryBytes * factor,
		Accelerators: r.Accelerators * factor,
	}
}
