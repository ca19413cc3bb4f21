package scheduler

import (
	"slices"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/keeper"
	"egretring.example/egretring/planner"
)

// planBook is the plan as the planning member has it, and what of it is still to be written.
type planBook struct {
	jobs     map[describer.JobID]*bookedJob
	versions [planShards]int64
	// dirty are the numbers of the shards to be written, the longest waiting first.
	dirty []int
	// unanswered is the write that may have taken effect; it is repeated as it was.
	unanswered *shardWrite
}

type bookedJob struct {
	job        describer.Job
	generation int64
	zones      map[describer.AvailabilityZoneID]indexSet
	leaving    map[describer.AvailabilityZoneID]indexSet
	// leavingAt is the revision of the shard that named all tasks of leaving; a missing one was not written yet.
	leavingAt map[describer.AvailabilityZoneID]int64
	finished  indexSet
	neverRuns string
	withdrawn bool
}

func newPlanBook() *planBook {
	return &planBook{jobs: make(map[describer.JobID]*bookedJob)}
}

func newBookedJob(job describer.Job) *bookedJob {
	return &bookedJob{
		job: job, zones: make(map[describer.AvailabilityZoneID]indexSet),
		leaving:   make(map[describer.AvailabilityZoneID]indexSet),
		leavingAt: make(map[describer.AvailabilityZoneID]int64), finished: make(indexSet),
	}
}

func (b *planBook) load(number int, entry keeper.Entry, shard PlanShard) {
	b.versions[number] = entry.Version
	for _, planned := range shard.Jobs {
		j := newBookedJob(planned.Job)
		for _, tasks := range planned.Zones {
			j.zones[tasks.Zone] = setOf(tasks.Spans)
		}
		for _, tasks := range planned.Leaving {
			j.leaving[tasks.Zone] = setOf(tasks.Spans)
			j.leavingAt[tasks.Zone] = entry.Revision
		}
		j.finished, j.withdrawn, j.generation = setOf(planned.Finished), planned.Withdrawn, planned.Generation
		b.jobs[planned.Job.ID] = j
		if planned.NeverRuns != "" {
			// The new planner judges the job again.
			b.touch(planned.Job.ID)
		}
	}
}

// restored returns the plan for a new planner.
func (b *planBook) restored() []planner.RestoredJob {
	var list []planner.RestoredJob
	for _, id := range b.jobIDs() {
		j := b.jobs[id]
		if j.withdrawn {
			continue
		}
		restored := planner.RestoredJob{Job: j.job, Finished: j.finished.ordered()}
		for _, tasks := range zoneTasks(j.zones) {
			for _, span := range tasks.Spans {
				restored.Parts = append(restored.Parts, planner.RestoredPart{
					Zone: tasks.Zone, First: span.First, Count: span.Count,
				})
			}
		}
		list = append(list, restored)
	}
	return list
}

func (b *planBook) jobIDs() []describer.JobID {
	ids := make([]describer.JobID, 0, len(b.jobs))
	for id := range b.jobs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// submitted returns the job that the planner was given.
func (b *planBook) submitted(id describer.JobID) (describer.Job, bool) {
	j := b.jobs[id]
	if j == nil || j.withdrawn {
		return describer.Job{}, false
	}
	return j.job, true
}

// submit notes a new or changed job and returns the tasks that have finished already: a changed job does not run them
// again, a job that was withdrawn before does.
func (b *planBook) submit(job describer.Job, generation int64) []int {
	j := b.jobs[job.ID]
	if j == nil {
		j = newBookedJob(job)
		j.generation = generation
		b.jobs[job.ID] = j
	}
	if j.withdrawn {
		j.withdrawn, j.generation, j.finished = false, generation, make(indexSet)
	}
	j.job, j.neverRuns = job, ""
	b.touch(job.ID)
	return j.finished.ordered()
}

// withdraw notes that a job is gone; it stays until its tasks have left.
func (b *planBook) withdraw(id describer.JobID) {
	j := b.jobs[id]
	if j == nil {
		return
	}
	for zone, tasks := range j.zones {
		j.leave(zone, tasks)
		delete(j.zones, zone)
	}
	j.withdrawn = true
	b.dropIfEmpty(id, j)
	b.touch(id)
}

func (b *planBook) dropIfEmpty(id describer.JobID, j *bookedJob) {
	if j.withdrawn && len(j.leaving) == 0 {
		delete(b.jobs, id)
	}
}

func (b *planBook) touch(id describer.JobID) {
	if number := planShardOf(id); !slices.Contains(b.dirty, number) {
		b.dirty = append(b.dirty, number)
	}
}

// obey notes a command of the planner.
func (b *planBook) obey(command planner.Command) {
	switch c := command.(type) {
	case planner.AssignTasks:
		b.assign(c)
	case planner.WithdrawTasks:
		if j := b.jobs[c.Job]; j != nil && j.zones[c.Zone] != nil {
			taken := make(indexSet)
			taken.addRange(c.First, c.Count)
			j.zones[c.Zone].removeRange(c.First, c.Count)
			j.leave(c.Zone, taken)
			b.touch(c.Job)
		}
	case planner.ReportImpossible:
		b.note(c.Job, string(c.Reason)+": "+c.Detail)
	case planner.ReportPossible:
		b.note(c.Job, "")
	}
}

func (b *planBook) assign(c planner.AssignTasks) {
	j := b.jobs[c.Job.ID]
	if j == nil {
		return
	}
	if j.zones[c.Zone] == nil {
		j.zones[c.Zone] = make(indexSet)
	}
	j.zones[c.Zone].addRange(c.First, c.Count)
	// A zone that gets its tasks back keeps them.
	if j.leaving[c.Zone] != nil {
		j.leaving[c.Zone].removeRange(c.First, c.Count)
		j.dropLeft(c.Zone)
	}
	b.touch(c.Job.ID)
}

func (b *planBook) note(id describer.JobID, neverRuns string) {
	if j := b.jobs[id]; j != nil && j.neverRuns != neverRuns {
		j.neverRuns = neverRuns
		b.touch(id)
	}
}

// finish notes finished tasks and returns those that are new.
func (b *planBook) finish(progress JobProgress) []int {
	j := b.jobs[progress.Job]
	if j == nil || j.withdrawn || j.generation != progress.Generation {
		return nil
	}
	var added []int
	for _, index := range setOf(progress.Finished).ordered() {
		if index >= j.job.Tasks || j.finished[index] {
			continue
		}
		added = append(added, index)
		j.finished[index] = true
		for _, tasks := range j.zones {
			delete(tasks, index)
		}
	}
	if len(added) > 0 {
		b.touch(progress.Job)
	}
	return added
}

// dropFinished takes finished tasks out of the zones that the planner gave them to in the meantime.
func (b *planBook) dropFinished(id describer.JobID) {
	for _, tasks := range b.jobs[id].zones {
		for index := range b.jobs[id].finished {
			delete(tasks, index)
		}
	}
}

// left notes that tasks have left a zone.
func (b *planBook) left(zone describer.AvailabilityZoneID, progress JobProgress) {
	j := b.jobs[progress.Job]
	if j == nil || j.leavingAt[zone] == 0 || progress.Revision < j.leavingAt[zone] {
		return
	}
	before := len(j.leaving[zone])
	for _, span := range progress.Left {
		j.leaving[zone].removeRange(span.First, span.Count)
	}
	if len(j.leaving[zone]) < before {
		b.touch(progress.Job)
	}
	j.dropLeft(zone)
	b.dropIfEmpty(progress.Job, j)
}

func (j *bookedJob) leave(zone describer.AvailabilityZoneID, tasks indexSet) {
	if j.leaving[zone] == nil {
		j.leaving[zone] = make(indexSet)
	}
	for index := range tasks {
		j.leaving[zone][index] = true
	}
	delete(j.leavingAt, zone)
	j.dropLeft(zone)
}

func (j *bookedJob) dropLeft(zone describer.AvailabilityZoneID) {
	if len(j.leaving[zone]) == 0 {
		delete(j.leaving, zone)
		delete(j.leavingAt, zone)
	}
}
