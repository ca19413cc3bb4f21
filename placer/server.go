package placer

import (
	"time"

	"egretring.example/egretring/describer"
)

// placement is a task that has a place, or waits at its place for others to leave.
type placement struct {
	task   describer.TaskID
	job    *job
	server int
	need   describer.Resources
	// told is the room that the backend server was told at the start; less is never kept, so that the backend server's
	// own sum stays within its capacity too.
	told describer.Resources
	// slot is the position in the list of the backend server.
	slot      int
	startedAt time.Time
	endsAt    time.Time
	// endKnown is false for a service and for a task of unknown run time.
	endKnown bool
	// waiting is true until the evicted tasks have left and the place has been announced.
	waiting bool
	// late is true when the task is expected to run beyond the start of the reservation of its backend server.
	late bool
	// leaving is true after the task has been asked to leave.
	leaving   bool
	throttled bool
	// used is the last measured use.
	used describer.Resources
}

// endsBefore reports whether the task is expected to have ended by a time.
func (p *placement) endsBefore(at time.Time) bool {
	return p.leaving || p.endKnown && !p.endsAt.After(at)
}

// workAtRisk is the work, in milli-core milliseconds, that is lost if the task has to start again. It is an integer so
// that the sum over a gang job does not depend on the order.
func (p *placement) workAtRisk(now time.Time) int64 {
	return now.Sub(p.startedAt).Milliseconds() * max(p.need.MilliCores, 1)
}

// server is the ledger of one backend server.
type server struct {
	describer.BackendServer
	number int
	rack   int
	// allocated is the need of all tasks with a place here, including those that wait for others to leave.
	allocated describer.Resources
	// occupied is the need of the announced tasks, including those that are leaving.
	occupied describer.Resources
	// preemptible is the need of the tasks that may be evicted, by the most urgent class that may be evicted.
	preemptible [describer.ClassCount]describer.Resources
	placements  []*placement
	waiting     int
	setAside    bool
	probes      int
	// reserved is kept for the holder of the reservation; late is the need of tasks that run beyond its start.
	reserved    describer.Resources
	late        describer.Resources
	hasReserved bool
	// strainedAt is when the last action against a high real use was taken.
	strainedAt time.Time
}

func (s *server) accepts() bool {
	return s.State == describer.Live && (!s.setAside || s.probes > 0)
}

// free is the room that no task has been given.
func (s *server) free() describer.Resources {
	if !s.accepts() {
		return noRoom
	}
	return s.Capacity.Minus(s.allocated)
}

// open is the room for tasks that may run beyond the start of the reservation.
func (s *server) open() describer.Resources {
	if !s.hasReserved || !s.accepts() {
		return s.free()
	}
	return smaller(s.free(), s.Capacity.Minus(s.reserved).Minus(s.late))
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

// account adds a placement to the sums, or takes it out with sign -1.
func (s *server) account(p *placement, sign int64) {
	change := scaled(p.need, sign)
	s.allocated = s.allocated.Plus(change)
	if p.waiting {
		s.waiting += int(sign)
	} else {
		s.occupied = s.occupied.Plus(change)
	}
	if p.late {
		s.late = s.late.Plus(change)
	}
	if p.job.description.Policy == describer.ServiceJob || p.waiting || p.leaving {
		return
	}
	for class := describer.Class(0); class <= p.job.description.Class; class++ {
		s.preemptible[class] = s.preemptible[class].Plus(change)
	}
}

// change applies a change of a placement and keeps the sums right.
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
