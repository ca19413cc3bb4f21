package scheduler

import (
	"cmp"
	"crypto/rand"
	"slices"
	"time"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/keeper"
)

// shardWrite is a compare-and-swap write of a plan shard over a version of its key.
type shardWrite struct {
	number  int
	version int64
	shard   PlanShard
}

// nextWrite returns the write to do now, if any: the unconfirmed one again, otherwise that of the next dirty shard that
// is not postponed.
func (t *planTable) nextWrite(now time.Time, epoch int64) (shardWrite, bool) {
	if t.unconfirmed != nil {
		return *t.unconfirmed, true
	}
	at := slices.IndexFunc(t.dirty, func(number int) bool { return !now.Before(t.postponed[number].until) })
	if at < 0 {
		return shardWrite{}, false
	}
	number := t.dirty[at]
	t.dirty = slices.Delete(t.dirty, at, at+1)
	delete(t.postponed, number)
	write := shardWrite{number: number, version: t.versions[number]}
	write.shard = PlanShard{WriteID: rand.Text(), Epoch: epoch}
	for _, id := range t.jobIDs() {
		if planShardOf(id) == number {
			write.shard.Jobs = append(write.shard.Jobs, t.jobs[id].planned())
		}
	}
	t.unconfirmed = &write
	return write, true
}

// completeWrite records that a write took effect. If the write listed all tasks that are now leaving a zone, reports
// about its revision or a later one may confirm that they have left.
func (t *planTable) completeWrite(write shardWrite, entry keeper.Entry) {
	t.versions[write.number] = entry.Version
	t.unconfirmed = nil
	for _, planned := range write.shard.Jobs {
		j := t.jobs[planned.Job.ID]
		if j == nil {
			continue
		}
		for _, tasks := range planned.Leaving {
			if j.leavingRevision[tasks.Zone] == 0 && containsAll(setOf(tasks.Spans), j.leaving[tasks.Zone]) {
				j.leavingRevision[tasks.Zone] = entry.Revision
			}
		}
	}
}

func containsAll(set, subset indexSet) bool {
	for index := range subset {
		if !set[index] {
			return false
		}
	}
	return true
}

func (j *jobPlan) planned() PlannedJob {
	return PlannedJob{
		Job: j.job, Generation: j.generation, Zones: zoneTasks(j.zones), Leaving: zoneTasks(j.leaving), Finished: j.finished.spans(),
		NeverRuns: j.neverRuns, Withdrawn: j.withdrawn,
	}
}

func zoneTasks(tasks map[describer.AvailabilityZoneID]indexSet) []ZoneTasks {
	var list []ZoneTasks
	for zone, set := range tasks {
		if len(set) > 0 {
			list = append(list, ZoneTasks{Zone: zone, Spans: set.spans()})
		}
	}
	slices.SortFunc(list, func(a, b ZoneTasks) int { return cmp.Compare(a.Zone, b.Zone) })
	return list
}
