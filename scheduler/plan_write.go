package scheduler

import (
	"cmp"
	"crypto/rand"
	"slices"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/keeper"
)

// shardWrite is the writing of a plan shard.
type shardWrite struct {
	number  int
	version int64
	shard   PlanShard
}

// next returns the write to do now, if any.
func (b *planBook) next(epoch int64) (shardWrite, bool) {
	if b.unanswered != nil {
		return *b.unanswered, true
	}
	if len(b.dirty) == 0 {
		return shardWrite{}, false
	}
	number := b.dirty[0]
	b.dirty = b.dirty[1:]
	write := shardWrite{number: number, version: b.versions[number]}
	write.shard = PlanShard{WriteID: rand.Text(), Epoch: epoch}
	for _, id := range b.jobIDs() {
		if planShardOf(id) == number {
			write.shard.Jobs = append(write.shard.Jobs, b.jobs[id].planned())
		}
	}
	b.unanswered = &write
	return write, true
}

// done notes that a write took effect.
func (b *planBook) done(write shardWrite, entry keeper.Entry) {
	b.versions[write.number] = entry.Version
	b.unanswered = nil
	for _, planned := range write.shard.Jobs {
		j := b.jobs[planned.Job.ID]
		if j == nil {
			continue
		}
		for _, tasks := range planned.Leaving {
			if j.leavingAt[tasks.Zone] == 0 && containsAll(setOf(tasks.Spans), j.leaving[tasks.Zone]) {
				j.leavingAt[tasks.Zone] = entry.Revision
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

func (j *bookedJob) planned() PlannedJob {
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
