package scheduler

import (
	"slices"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/keeper"
	"egretring.example/egretring/planner"
)

// planTable is the planning member's working copy of the plan, with the shards that are still to be written.
type planTable struct {
	jobs map[describer.JobID]*jobPlan
	// versions are the store versions of the shards, for the compare-and-swap of the next write.
	versions [planShards]int64
	// dirty are the numbers of the shards to be written, the one that has waited longest first.
	dirty []int
	// postponed are the shards that are not written yet, because a job of theirs was just submitted or changed.
	postponed map[int]postponement
	// unconfirmed is a write whose outcome is unknown; it is retried unchanged until it is confirmed.
	unconfirmed *shardWrite
}

// jobPlan is the plan of one job, with task indices as sets.
type jobPlan struct {
	job        describer.Job
	generation int64
	zones      map[describer.AvailabilityZoneID]indexSet
	leaving    map[describer.AvailabilityZoneID]indexSet
	// leavingRevision is, by zone, the store revision of the shard that listed all tasks of leaving; a zone has none
	// until such a shard is written.
	leavingRevision map[describer.AvailabilityZoneID]int64
	finished        indexSet
	neverRuns       string
	withdrawn       bool
}

func newPlanTable() *planTable {
	return &planTable{jobs: make(map[describer.JobID]*jobPlan), postponed: make(map[int]postponement)}
}

func newJobPlan(job describer.Job) *jobPlan {
	return &jobPlan{
		job: job, zones: make(map[describer.AvailabilityZoneID]indexSet),
		leaving:         make(map[describer.AvailabilityZoneID]indexSet),
		leavingRevision: make(map[describer.AvailabilityZoneID]int64), finished: make(indexSet),
	}
}

// load adds the jobs of a shard that was read from the store.
func (t *planTable) load(number int, entry keeper.Entry, shard PlanShard) {
	t.versions[number] = entry.Version
	for _, planned := range shard.Jobs {
		j := newJobPlan(planned.Job)
		for _, tasks := range planned.Zones {
			j.zones[tasks.Zone] = setOf(tasks.Spans)
		}
		for _, tasks := range planned.Leaving {
			j.leaving[tasks.Zone] = setOf(tasks.Spans)
			j.leavingRevision[tasks.Zone] = entry.Revision
		}
		j.finished, j.withdrawn, j.generation = setOf(planned.Finished), planned.Withdrawn, planned.Generation
		t.jobs[planned.Job.ID] = j
		if planned.NeverRuns != "" {
			// The new planner checks again whether the job can run, so its reason is written anew.
			t.markDirty(planned.Job.ID)
		}
	}
}

// restored returns the plan in the form in which a new planner takes it over; withdrawn jobs are left out.
func (t *planTable) restored() []planner.RestoredJob {
	var list []planner.RestoredJob
	for _, id := range t.jobIDs() {
		j := t.jobs[id]
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

func (t *planTable) jobIDs() []describer.JobID {
	ids := make([]describer.JobID, 0, len(t.jobs))
	for id := range t.jobs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// submitted returns a job as it was last submitted to the planner, unless it is withdrawn.
func (t *planTable) submitted(id describer.JobID) (describer.Job, bool) {
	j := t.jobs[id]
	if j == nil || j.withdrawn {
		return describer.Job{}, false
	}
	return j.job, true
}

// submit records a new or changed job and returns the tasks that have finished already. A changed job does not run its
// finished tasks again; a job that was withdrawn before and is submitted again does.
func (t *planTable) submit(job describer.Job, generation int64) []int {
	j := t.jobs[job.ID]
	if j == nil {
		j = newJobPlan(job)
		j.generation = generation
		t.jobs[job.ID] = j
	}
	if j.withdrawn {
		j.withdrawn, j.generation, j.finished = false, generation, make(indexSet)
	}
	j.job, j.neverRuns = job, ""
	t.markDirty(job.ID)
	return j.finished.ordered()
}

// withdraw marks a job as withdrawn. Its entry stays until its tasks have left their zones.
func (t *planTable) withdraw(id describer.JobID) {
	j := t.jobs[id]
	if j == nil {
		return
	}
	for zone, tasks := range j.zones {
		j.markLeaving(zone, tasks)
		delete(j.zones, zone)
	}
	j.withdrawn = true
	t.dropIfEmpty(id, j)
	t.markDirty(id)
}

// dropIfEmpty removes a withdrawn job when no task of it is leaving a zone any more.
func (t *planTable) dropIfEmpty(id describer.JobID, j *jobPlan) {
	if j.withdrawn && len(j.leaving) == 0 {
		delete(t.jobs, id)
	}
}

func (t *planTable) markDirty(id describer.JobID) {
	if number := planShardOf(id); !slices.Contains(t.dirty, number) {
		t.dirty = append(t.dirty, number)
	}
}

// execute applies a command of the planner to the table.
func (t *planTable) execute(command planner.Command) {
	switch c := command.(type) {
	case planner.AssignTasks:
		t.assign(c)
	case planner.WithdrawTasks:
		if j := t.jobs[c.Job]; j != nil && j.zones[c.Zone] != nil {
			taken := make(indexSet)
			taken.addRange(c.First, c.Count)
			j.zones[c.Zone].removeRange(c.First, c.Count)
			j.markLeaving(c.Zone, taken)
			t.markDirty(c.Job)
		}
	case planner.ReportImpossible:
		t.setNeverRuns(c.Job, string(c.Reason)+": "+c.Detail)
	case planner.ReportPossible:
		t.setNeverRuns(c.Job, "")
	}
}

func (t *planTable) assign(c planner.AssignTasks) {
	j := t.jobs[c.Job.ID]
	if j == nil {
		return
	}
	if j.zones[c.Zone] == nil {
		j.zones[c.Zone] = make(indexSet)
	}
	j.zones[c.Zone].addRange(c.First, c.Count)
	// Tasks that are assigned again to the zone which they are leaving stay there.
	if j.leaving[c.Zone] != nil {
		j.leaving[c.Zone].removeRange(c.First, c.Count)
		j.dropLeavingIfEmpty(c.Zone)
	}
	t.markDirty(c.Job.ID)
}

func (t *planTable) setNeverRuns(id describer.JobID, neverRuns string) {
	if j := t.jobs[id]; j != nil && j.neverRuns != neverRuns {
		j.neverRuns = neverRuns
		t.markDirty(id)
	}
}

// finish records finished tasks that a zone reported and returns those that were not recorded before.
func (t *planTable) finish(progress JobProgress) []int {
	j := t.jobs[progress.Job]
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
		t.markDirty(progress.Job)
	}
	return added
}

// dropFinished removes finished tasks from the zones to which the planner has assigned them in the meantime.
func (t *planTable) dropFinished(id describer.JobID) {
	for _, tasks := range t.jobs[id].zones {
		for index := range t.jobs[id].finished {
			delete(tasks, index)
		}
	}
}

// confirmLeft records that tasks have left a zone. A report about an older plan shard than the one that listed the
// tasks as leaving is ignored.
func (t *planTable) confirmLeft(zone describer.AvailabilityZoneID, progress JobProgress) {
	j := t.jobs[progress.Job]
	if j == nil || j.leavingRevision[zone] == 0 || progress.Revision < j.leavingRevision[zone] {
		return
	}
	before := len(j.leaving[zone])
	for _, span := range progress.Left {
		j.leaving[zone].removeRange(span.First, span.Count)
	}
	if len(j.leaving[zone]) < before {
		t.markDirty(progress.Job)
	}
	j.dropLeavingIfEmpty(zone)
	t.dropIfEmpty(progress.Job, j)
}

// markLeaving adds tasks to those that are leaving a zone. They have to be written before the zone can confirm them.
func (j *jobPlan) markLeaving(zone describer.AvailabilityZoneID, tasks indexSet) {
	if j.leaving[zone] == nil {
		j.leaving[zone] = make(indexSet)
	}
	for index := range tasks {
		j.leaving[zone][index] = true
	}
	delete(j.leavingRevision, zone)
	j.dropLeavingIfEmpty(zone)
}

func (j *jobPlan) dropLeavingIfEmpty(zone describer.AvailabilityZoneID) {
	if len(j.leaving[zone]) == 0 {
		delete(j.leaving, zone)
		delete(j.leavingRevision, zone)
	}
}
