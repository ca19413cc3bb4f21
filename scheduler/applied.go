package scheduler

import (
	"reflect"

	"egretring.example/egretring/committer"
	"egretring.example/egretring/describer"
	"egretring.example/egretring/starter"
)

// appliedPlan is the part of the plan that the starter of a placing term has received, and the progress that the zone
// reports about it.
type appliedPlan struct {
	zone    describer.AvailabilityZoneID
	version int
	// revisions are the store revisions of the applied shards.
	revisions [planShards]int64
	jobs      map[describer.JobID]*appliedJob
	// finished are the tasks that do not run again.
	finished map[describer.JobID]indexSet
}

type appliedJob struct {
	planned PlannedJob
	// assignedTasks are the tasks that were assigned to the starter.
	assignedTasks indexSet
}

func newAppliedPlan(zone describer.AvailabilityZoneID) appliedPlan {
	return appliedPlan{
		zone: zone, jobs: make(map[describer.JobID]*appliedJob),
		finished: make(map[describer.JobID]indexSet),
	}
}

// recover adds the finished tasks that were read from the store.
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

// update returns the events that bring the starter from the applied plan to a newer one. Only shards whose revision has
// changed are compared.
func (a *appliedPlan) update(plan planView, version int) []starter.Event {
	a.version = version
	var events []starter.Event
	for number, shardView := range plan {
		if shardView == nil || shardView.revision == a.revisions[number] {
			continue
		}
		a.revisions[number] = shardView.revision
		for id := range a.jobs {
			if _, planned := shardView.jobs[id]; !planned && planShardOf(id) == number {
				events = append(events, withdrawals(id, a.jobs[id].assignedTasks)...)
				delete(a.jobs, id)
				delete(a.finished, id)
			}
		}
		for _, planned := range shardView.jobs {
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
		known = &appliedJob{assignedTasks: make(indexSet)}
		a.jobs[id] = known
	}
	added, removed := make(indexSet), make(indexSet)
	for index := range wanted {
		if !known.assignedTasks[index] || !reflect.DeepEqual(known.planned.Job, planned.Job) {
			added[index] = true
		}
	}
	for index := range known.assignedTasks {
		if !wanted[index] {
			removed[index] = true
		}
	}
	if known.planned.Generation != 0 && known.planned.Generation != planned.Generation {
		delete(a.finished, id)
	}
	known.planned, known.assignedTasks = planned, wanted
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

// progress returns what the zone reports to the planning member: finished tasks that the plan does not list as finished
// yet, and tasks that were withdrawn from the zone and no longer run here.
func (a *appliedPlan) progress(stateMachine *starter.Starter) []JobProgress {
	var list []JobProgress
	for id, job := range a.jobs {
		reported := JobProgress{
			Job: id, Generation: job.planned.Generation, Revision: a.revisions[planShardOf(id)],
		}
		recorded := setOf(job.planned.Finished)
		finished := make(indexSet)
		for index := range a.finished[id] {
			if !recorded[index] {
				finished[index] = true
			}
		}
		reported.Finished = finished.spans()
		left := make(indexSet)
		for index := range setOf(spansIn(job.planned.Leaving, a.zone)) {
			state, attempt := stateMachine.StateOf(describer.TaskID{Job: id, Index: index})
			if state == starter.Pending && attempt == 0 && !job.assignedTasks[index] {
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
