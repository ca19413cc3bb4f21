package planner

import (
	"time"

	"egretring.example/egretring/describer"
)

// queuePercent is how much of a zone's capacity is given to it in batch tasks. A little more than it holds keeps the
// zone busy; the rest stays with the planner, which gives it to the zone that has room first.
const queuePercent = 110

// zone is the plan of one availability zone.
type zone struct {
	Zone
	capacity describer.Resources
	assigned describer.Resources
	lost     bool
	safeAt   time.Time
}

func newZone(description Zone) *zone {
	z := &zone{}
	z.describe(description)
	return z
}

func (z *zone) describe(description Zone) {
	z.Zone = description
	z.capacity = describer.Resources{}
	for _, shape := range description.Shapes {
		z.capacity = z.capacity.Plus(times(shape.Capacity, shape.Count))
	}
}

// room returns how many tasks of a size the empty zone holds.
func (z *zone) room(each describer.Resources) int {
	room := 0
	for _, shape := range z.Shapes {
		room += holds(shape.Capacity, each) * shape.Count
	}
	return room
}

// takes reports whether more tasks of a job may be given to the zone now. Only batch jobs wait for room here: services
// and gang jobs get room in the zone by its reservation, urgent jobs by preemption.
func (z *zone) takes(j *job) bool {
	if j.Policy != describer.BatchJob || j.Class == describer.Urgent {
		return true
	}
	limit := describer.Resources{
		MilliCores:   z.capacity.MilliCores * queuePercent / 100,
		MemoryBytes:  z.capacity.MemoryBytes * queuePercent / 100,
		Accelerators: z.capacity.Accelerators * queuePercent / 100,
	}
	return z.assigned.Plus(j.PerTask).Fits(limit)
}

// load is the assigned share of the capacity, of the dimension that is used most.
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

// chooseZone returns the zone for the next task of a job: for a service the one with the fewest of its tasks, otherwise
// the one with the lowest load. Gang jobs need a zone that holds all their tasks.
func (p *Planner) chooseZone(j *job) *zone {
	var best *zone
	for _, z := range p.zones {
		if z.lost || !j.allows(z.ID) || z.room(j.PerTask) < j.atOnce() || !z.takes(j) {
			continue
		}
		if best == nil || p.better(j, z, best) {
			best = z
		}
	}
	return best
}

func (p *Planner) better(j *job, a, b *zone) bool {
	if j.Policy == describer.ServiceJob {
		inA, inB := j.in(a.ID), j.in(b.ID)
		if inA != inB {
			return inA < inB
		}
	}
	return a.load() < b.load()
}

func (j *job) in(zone describer.AvailabilityZoneID) int {
	if part := j.parts[zone]; part != nil {
		return part.total()
	}
	return 0
}
