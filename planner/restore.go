package planner

import (
	"time"

	"egretring.example/egretring/describer"
)

// PlanRestored gives a new planner the plan of an earlier one, as a whole: a pass over a part of it would assign tasks
// that the rest of it already assigns.
type PlanRestored struct {
	Jobs []RestoredJob
}

// RestoredJob is the plan of one job.
type RestoredJob struct {
	Job      describer.Job
	Parts    []RestoredPart
	Finished []int
}

// RestoredPart is a range of tasks that a zone has.
type RestoredPart struct {
	Zone  describer.AvailabilityZoneID
	First int
	Count int
}

func (PlanRestored) isEvent() {}

func (p *Planner) restore(now time.Time, e PlanRestored) {
	for _, restored := range e.Jobs {
		p.submit(now, restored.Job)
		j := p.jobs[restored.Job.ID]
		for _, part := range restored.Parts {
			p.restorePart(j, part)
		}
		for _, index := range restored.Finished {
			j.waiting.remove(index)
		}
	}
}

// restorePart assigns tasks without a command. A zone that is no longer listed keeps its tasks.
func (p *Planner) restorePart(j *job, part RestoredPart) {
	z := p.zone(part.Zone)
	if z == nil {
		z = newZone(Zone{ID: part.Zone})
		p.zones = append(p.zones, z)
	}
	for index := part.First; index < part.First+part.Count; index++ {
		if !j.waiting.remove(index) {
			continue
		}
		if j.parts[z.ID] == nil {
			j.parts[z.ID] = &spans{}
		}
		j.parts[z.ID].add(spans{{first: index, count: 1}})
		p.account(j, z, 1)
	}
}
