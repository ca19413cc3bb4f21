package placer

import (
	"time"

	"egretring.example/egretring/describer"
)

const (
	// passInterval is the shortest time between two passes over the pending tasks, so that one pass uses the capacity
	// of all releases that arrive together.
	passInterval = 10 * time.Millisecond
	// idleInterval is the time between two passes over the pending tasks and the reservation when nothing changes.
	idleInterval = 200 * time.Millisecond
)

// Placer assigns the tasks of one zone to backend servers.
type Placer struct {
	servers []*server
	numbers map[describer.BackendServerID]int
	racks   [][]*server
	// largest is the largest capacity of a backend server in each dimension.
	largest            describer.Resources
	unreservedCapacity rackTree
	evictableCapacity  [describer.ClassCount]rackTree
	unreservedCells    *cellIndex
	backfillCells      *cellIndex
	jobs               map[describer.JobID]*job
	pending            []*entry
	reservation        *reservation
	probing            []*server
	dirty              bool
	lastPass           time.Time
	spreadFrom         int
	// reserveFrom is the backend server at which the next search for a reservation begins.
	reserveFrom int
	commands    []Command
}

// New returns a placer without backend servers.
func New() *Placer {
	p := &Placer{
		numbers: make(map[describer.BackendServerID]int),
		jobs:    make(map[describer.JobID]*job),
	}
	p.rebuild()
	return p
}

// Handle applies one event at time now and returns the commands it causes.
func (p *Placer) Handle(now time.Time, event Event) []Command {
	p.commands = nil
	p.apply(now, event)
	if p.dirty && !now.Before(p.lastPass.Add(passInterval)) || !now.Before(p.lastPass.Add(idleInterval)) {
		p.pass(now)
	}
	return p.commands
}

// NextDeadline returns the earliest time at which Handle must be called with Ticked, and whether there is one.
func (p *Placer) NextDeadline() (time.Time, bool) {
	if len(p.pending) == 0 {
		return time.Time{}, false
	}
	if p.dirty {
		return p.lastPass.Add(passInterval), true
	}
	return p.lastPass.Add(idleInterval), true
}

func (p *Placer) apply(now time.Time, event Event) {
	switch e := event.(type) {
	case ServersChanged:
		p.changeServers(now, e.Servers)
	case ServerEjected:
		p.setEjected(e.Server, true, 0)
	case ServerProbed:
		p.setEjected(e.Server, true, 1)
	case ServerReadmitted:
		p.setEjected(e.Server, false, 0)
	case TasksSubmitted:
		p.submit(now, e.Job, e.Indices)
	case TasksWithdrawn:
		p.withdraw(e.Job, e.Indices)
	case JobRemoved:
		p.removeJob(e.Job)
	case TaskRecovered:
		p.recoverTask(e)
	case TaskStarted:
		p.started(now, e.Task)
	case TaskReleased:
		p.release(now, e)
	case UsageReported:
		p.observe(now, e)
	}
}

func (p *Placer) emit(command Command) {
	p.commands = append(p.commands, command)
}

// placementOf returns the placement of a task, or nil.
func (p *Placer) placementOf(task describer.TaskID) *placement {
	j := p.jobs[task.Job]
	if j == nil {
		return nil
	}
	return j.placements[task.Index]
}

// addPlacement allocates capacity on a backend server to a task. For a waiting task, PlaceTask is emitted later, when
// the evicted tasks have left.
func (p *Placer) addPlacement(now time.Time, j *job, index int, s *server, waiting bool) *placement {
	place := &placement{
		task:           describer.TaskID{Job: j.description.ID, Index: index},
		job:            j,
		server:         s.number,
		need:           j.need,
		startResources: j.need,
		startedAt:      now,
		waiting:        waiting,
	}
	p.estimateEnd(place)
	s.add(place)
	j.placements[index] = place
	j.racks[s.rack]++
	if s.probes > 0 && !j.isGang() {
		s.probes--
	}
	p.refresh(s)
	return place
}

// estimateEnd sets the expected end of a task from its start.
func (p *Placer) estimateEnd(place *placement) {
	runTime, known := place.job.runTime.expected(place.job.description)
	place.endKnown = known
	place.endsAt = place.startedAt.Add(runTime)
	s := p.servers[place.server]
	place.overlapping = s.hasReserved && !place.endsBefore(p.reservation.startsAt)
}

// removePlacement frees the capacity that is allocated to a task.
func (p *Placer) removePlacement(place *placement) {
	s := p.servers[place.server]
	s.remove(place)
	delete(place.job.placements, place.task.Index)
	place.job.racks[s.rack]--
	if place.job.racks[s.rack] == 0 {
		delete(place.job.racks, s.rack)
	}
	p.refresh(s)
}

func (p *Placer) announce(place *placement) {
	p.emit(PlaceTask{Task: place.task, Server: p.servers[place.server].ID, Resources: place.need})
}

func (p *Placer) recoverTask(e TaskRecovered) {
	number, known := p.numbers[e.Server]
	j := p.jobOf(e.Job)
	if !known || j.placements[e.Index] != nil {
		return
	}
	place := p.addPlacement(e.StartedAt, j, e.Index, p.servers[number], false)
	place.startResources = larger(place.startResources, e.Resources)
	p.resize(p.servers[number], place)
}

func (p *Placer) started(now time.Time, task describer.TaskID) {
	place := p.placementOf(task)
	if place == nil {
		return
	}
	s := p.servers[place.server]
	s.change(place, func() {
		place.startedAt = now
		p.estimateEnd(place)
	})
	p.refresh(s)
}

func (p *Placer) release(now time.Time, e TaskReleased) {
	place := p.placementOf(e.Task)
	if place == nil {
		return
	}
	if e.Completed {
		place.job.runTime.observe(now.Sub(place.startedAt))
	}
	p.removePlacement(place)
	p.placeWaiting(now, p.servers[place.server])
	p.dirty = true
}

// placeWaiting emits PlaceTask for the waiting tasks whose capacity has become free. It evicts more tasks if the
// learned need of other tasks has grown into the capacity of a waiting one.
func (p *Placer) placeWaiting(now time.Time, s *server) {
	if s.waiting == 0 {
		return
	}
	p.announceWaiting(s)
	missing := s.Capacity.Minus(s.allocated)
	missing = scaled(missing, -1)
	for _, place := range p.victims(now, s, missing, func(place *placement) bool {
		return s.waiting > 0 && place.isPreemptible(describer.Standard)
	}) {
		p.evict(place, Preempted)
	}
}

// announceWaiting emits PlaceTask for the waiting tasks whose capacity has become free.
func (p *Placer) announceWaiting(s *server) {
	for i := 0; s.waiting > 0 && i < len(s.placements); i++ {
		place := s.placements[i]
		if !place.waiting || !s.occupied.Plus(place.need).Fits(s.Capacity) {
			continue
		}
		s.change(place, func() { place.waiting = false })
		p.announce(place)
	}
	p.refresh(s)
}
