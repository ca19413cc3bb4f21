package scheduler

import (
	"reflect"

	"egretring.example/egretring/committer"
	"egretring.example/egretring/describer"
	"egretring.example/egretring/starter"
)

// appliedPlan is what the starter of a term has been told of the plan, and what its zone reports back.
type appliedPlan struct {
	zone    describer.AvailabilityZoneID
	version int
	// revisions are the revisions of the applied shards.
	revisions [planShards]int64
	jobs      map[describer.JobID]*appliedJob
	finished  map[describer.JobID]indexSet
}

type appliedJob struct {
	planned PlannedJob
	// given are the tasks that the starter was given.
	given indexSet
}

func newAppliedPlan(zone describer.AvailabilityZoneID) appliedPlan {
	return appliedPlan{
		zone: zone, jobs: make(map[describer.JobID]*appliedJob),
		finished: make(map[describer.JobID]indexSet),
	}
}

// recover takes over the finished tasks of the store's records.
func (a *appliedPlan) recover(finished []committer.Finished) {
	for _, each := range finished {
		a.finishedOf(each.Job).addRange(each.First, each.Count)
	}
}

func (a *appliedPlan) finish(report starter.ReportFinished) {
	a.finishedOf(report.Task.Job)[report.Task.Index] = true
}

func (a *appliedPlan) finishedOf(job describer.JobID) indexSet {
	if a.finished[job] == nil {
		a.finished[job] = make(indexSet)
	}
	return a.finished[job]
}

// update returns the events that bring the starter from the applied plan to a newer one.
func (a *appliedPlan) update(plan planView, version int) []starter.Event {
	a.version = version
	var events []starter.Event
	for number, part := range plan {
		if part == nil || part.revision == a.revisions[number] {
			continue
		}
		a.revisions[number] = part.revision
		for id := range a.jobs {
			if _, planned := part.jobs[id]; !planned && planShardOf(id) == number {
				events = append(events, withdrawals(id, a.jobs[id].given)...)
				delete(a.jobs, id)
				delete(a.finished, id)
			}
		}
		for _, planned := range part.jobs {
			events = append(events, a.updateJob(planned)...)
		}
	}
	return events
}

func (a *appliedPlan) updateJob(planned PlannedJob) []starter.Event {
	id := planned.Job.ID
	wanted := planned.startable(a.zone)
	known := a.jobs[id]
	if known == nil {
		known = &appliedJob{given: make(indexSet)}
		a.jobs[id] = known
	}
	added, removed := make(indexSet), make(indexSet)
	for index := range wanted {
		if !known.given[index] || !reflect.DeepEqual(known.planned.Job, planned.Job) {
			added[index] = true
		}
	}
	for index := range known.given {
		if !wanted[index] {
			removed[index] = true
		}
	}
	if known.planned.Generation != 0 && known.planned.Generation != planned.Generation {
		delete(a.finished, id)
	}
	known.planned, known.given = planned, wanted
	events := withdrawals(id, removed)
	for _, span := range added.spans() {
		events = append(events, starter.TasksAssigned{Job: planned.Job, First: span.First, Count: span.Count})
	}
	return events
}

func withdrawals(id describer.JobID, removed indexSet) []starter.Event {
	var events []starter.Event
	for _, span := range removed.spans() {
		events = append(events, starter.TasksWithdrawn{Job: id, First: span.First, Count: span.Count})
	}
	return events
}

// progress returns what the planning member has to know: finished tasks that the plan still gives to the zone, and
// tasks that were taken from the zone and do not run here any more.
func (a *appliedPlan) progress(core *starter.Starter) []JobProgress {
	var list []JobProgress
	for id, job := range a.jobs {
		reported := JobProgress{
			Job: id, Generation: job.planned.Generation, Revision: a.revisions[planShardOf(id)],
		}
		noted := setOf(job.planned.Finished)
		finished := make(indexSet)
		for index := range a.finished[id] {
			if !noted[index] {
				finished[index] = true
			}
		}
		reported.Finished = finished.spans()
		left := make(indexSet)
		for index := range setOf(spansIn(job.planned.Leaving, a.zone)) {
			state, attempt := core.StateOf(describer.TaskID{Job: id, Index: index})
			if state == starter.Pending && attempt == 0 && !job.given[index] {
				left[index] = true
			}
		}
		reported.Left = left.spans()
		if len(reported.Finished)+len(reported.Left) > 0 {
			list = append(list, reported)
		}
	}
	return list
}
