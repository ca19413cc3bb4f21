package planner

import (
	"time"

	"egretring.example/egretring/describer"
)

// queuePercent is the percentage of a zone's capacity up to which batch tasks are assigned to it. Slightly more than
// the zone holds keeps it busy; the remaining tasks wait in the planner, which assigns them to the first zone with free
// capacity.
const queuePercent = 110

// batchPercent is the percentage of a zone's capacity up to which batch tasks are assigned to it also above queuePercent,
// because gang jobs and urgent ones are assigned without a limit. The reservation of the placer starts them in turn.
const batchPercent = 10

// zone is the planning state of one availability zone.
type zone struct {
	// Zone is the latest description.
	Zone
	// unlisted is true while the list of zones does not contain the zone.
	unlisted bool
	capacity describer.Resources
	assigned describer.Resources
	// services is the part of assigned that services use.
	services describer.Resources
	// batch is the part of assigned that batch jobs below class Urgent use.
	batch       describer.Resources
	unavailable bool
	safeAt      time.Time
}

func newZone(description Zone) *zone {
	z := &zone{}
	z.describe(description)
	return z
}

func (z *zone) describe(description Zone) {
	z.Zone = description
	z.unlisted = false
	z.capacity = describer.Resources{}
	for _, group := range description.ServerGroups {
		z.capacity = z.capacity.Plus(multiply(group.Capacity, group.Count))
	}
}

// isOpenTo reports whether tasks of a job may be assigned to the zone at present.
func (z *zone) isOpenTo(j *job) bool {
	return !z.unavailable && !z.unlisted && j.allows(z.ID)
}

// taskCapacity returns how many tasks that each declare the same resources the empty zone holds.
func (z *zone) taskCapacity(each describer.Resources) int {
	capacity := 0
	for _, group := range z.ServerGroups {
		capacity += tasksPerServer(group.Capacity, each) * group.Count
	}
	return capacity
}

// accepts reports whether one more task of a job may be assigned to the zone now. Only batch jobs below class Urgent
// have to wait here for free capacity: in the zone, services and gang jobs get it by reservation, urgent jobs by
// preemption. A zone below the limit accepts a task of any size that it can hold: if a large task had to fit below the
// limit, smaller ones behind it in the queue would always take the capacity first.
func (z *zone) accepts(j *job) bool {
	return !j.waitsForZone() || z.isBelow(queuePercent, z.assigned, j.PerTask) ||
		z.isBelow(batchPercent, z.batch, j.PerTask) && z.hasRoomBesideServices(j)
}

// waitsForZone reports whether the job waits here until a zone has free capacity.
func (j *job) waitsForZone() bool {
	return j.Policy == describer.BatchJob && j.Class != describer.Urgent
}

// isBelow reports whether the assigned resources that a task needs are below a percentage of the capacity.
func (z *zone) isBelow(percent int64, assigned, need describer.Resources) bool {
	return (need.MilliCores == 0 || assigned.MilliCores*100 < z.capacity.MilliCores*percent) &&
		(need.MemoryBytes == 0 || assigned.MemoryBytes*100 < z.capacity.MemoryBytes*percent) &&
		(need.Accelerators == 0 || assigned.Accelerators*100 < z.capacity.Accelerators*percent)
}

// load returns the assigned share of the zone's capacity for the resource of which the largest share is assigned.
func (z *zone) load() float64 {
	return max(
		share(z.assigned.MilliCores, z.capacity.MilliCores),
		share(z.assigned.MemoryBytes, z.capacity.MemoryBytes),
		share(z.assigned.Accelerators, z.capacity.Accelerators),
	)
}

func share(part, whole int64) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// hasRoomBesideServices reports whether the next tasks of a job fit the zone after all tasks that are not services' have
// ended.
func (z *zone) hasRoomBesideServices(j *job) bool {
	return z.services.Plus(multiply(j.PerTask, j.admissionSize())).Fits(z.capacity)
}

// chooseZone returns the zone for the next task of a job. It prefers zones with room beside their services; among them,
// for a service, the one with the fewest of its tasks, otherwise the one with the lowest load. Gang jobs need a zone that
// holds all their tasks.
func (p *Planner) chooseZone(j *job) *zone {
	var best *zone
	for _, z := range p.zones {
		if !z.isOpenTo(j) || z.taskCapacity(j.PerTask) < j.admissionSize() || !z.accepts(j) {
			continue
		}
		if best == nil || p.better(j, z, best) {
			best = z
		}
	}
	return best
}

// better reports whether zone a is preferred to zone b for the next task of a job.
func (p *Planner) better(j *job, a, b *zone) bool {
	if inA, inB := a.hasRoomBesideServices(j), b.hasRoomBesideServices(j); inA != inB {
		return inA
	}
	if j.Policy == describer.ServiceJob {
		inA, inB := j.tasksIn(a.ID), j.tasksIn(b.ID)
		if inA != inB {
			return inA < inB
		}
	}
	return a.load() < b.load()
}

func (j *job) tasksIn(zone describer.AvailabilityZoneID) int {
	if part := j.tasksByZone[zone]; part != nil {
		return part.total()
	}
	return 0
}
