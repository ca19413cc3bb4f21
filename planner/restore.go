package planner

import (
	"time"

	"egretring.example/egretring/describer"
)

// PlanRestored gives a new planner the whole plan of an earlier one in one event: a pass over a part of the plan would
// assign tasks again that the remaining part already assigns.
type PlanRestored struct {
	Jobs []RestoredJob
}

// RestoredJob is the restored plan of one job.
type RestoredJob struct {
	Job      describer.Job
	Parts    []RestoredPart
	Finished []int
}

// RestoredPart is a range of tasks that are assigned to a zone.
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
		if j.reason != "" {
			p.evaluate(j)
		}
	}
	p.scheduleMoves(now)
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
		if j.tasksByZone[z.ID] == nil {
			j.tasksByZone[z.ID] = &spans{}
		}
		j.tasksByZone[z.ID].add(spans{{first: index, count: 1}})
		p.account(j, z, 1)
	}
}
