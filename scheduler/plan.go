package scheduler

import (
	"fmt"
	"hash/fnv"

	"egretring.example/egretring/describer"
)

// planShards is the number of plan shards. With 160,000 jobs of 400 bytes a shard stays below 1 MB.
const planShards = 128

const (
	planPrefix = "Cell/Plan/"
	plannerKey = "Cell/Planner"
)

// PlannerRecord is the value of Cell/Planner, under the store lease of the planning member. The epoch is the store's
// revision of this key, so it grows although the key disappears with the lease.
type PlannerRecord struct {
	Instance describer.InstanceID
	WriteID  string
}

// PlanShard is the value of a key Cell/Plan/<shard>.
type PlanShard struct {
	WriteID string
	// Epoch is the epoch of the writer.
	Epoch int64
	Jobs  []PlannedJob
}

// PlannedJob is the plan of one job.
type PlannedJob struct {
	Job describer.Job
	// Generation tells a job from an earlier one of the same name that was withdrawn.
	Generation int64
	Zones      []ZoneTasks `json:",omitempty"`
	// Leaving are tasks that were taken from a zone which has not confirmed yet that they do not run there. No other
	// zone starts them before.
	Leaving  []ZoneTasks `json:",omitempty"`
	Finished []Span      `json:",omitempty"`
	// NeverRuns says why the job can never run as things are.
	NeverRuns string `json:",omitempty"`
	// Withdrawn is true when the configuration no longer has the job.
	Withdrawn bool `json:",omitempty"`
}

// ZoneTasks are tasks of a job in a zone.
type ZoneTasks struct {
	Zone  describer.AvailabilityZoneID
	Spans []Span
}

// Progress is the value of a key Zones/<zone>/Progress: what the planning member has to know from a zone.
type Progress struct {
	WriteID string
	Epoch   describer.Epoch
	Jobs    []JobProgress
}

// JobProgress lists the tasks of a job that do not run again, and those of PlannedJob.Leaving that have left the zone.
type JobProgress struct {
	Job        describer.JobID
	Generation int64
	// Revision is the store's revision of the plan shard that the report is about. The planning member ignores Left of an
	// older shard than the one that first named the tasks as leaving.
	Revision int64
	Finished []Span `json:",omitempty"`
	Left     []Span `json:",omitempty"`
}

func planShardOf(job describer.JobID) int {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(job))
	return int(hash.Sum32() % planShards)
}

func planKey(shard int) string {
	return fmt.Sprintf("%s%03d", planPrefix, shard)
}

func progressKey(zone describer.AvailabilityZoneID) string {
	return fmt.Sprintf("Zones/%s/Progress", zone)
}

// startable returns the tasks that a zone may start: those assigned to it that no other zone still has. A gang job waits
// until all its tasks are startable.
func (j PlannedJob) startable(zone describer.AvailabilityZoneID) indexSet {
	set := setOf(spansIn(j.Zones, zone))
	assigned := len(set)
	for _, leaving := range j.Leaving {
		if leaving.Zone == zone {
			continue
		}
		for _, span := range leaving.Spans {
			set.removeRange(span.First, span.Count)
		}
	}
	if j.Job.Policy == describer.GangJob && len(set) < assigned {
		return make(indexSet)
	}
	for _, span := range j.Finished {
		set.removeRange(span.First, span.Count)
	}
	return set
}

func spansIn(list []ZoneTasks, zone describer.AvailabilityZoneID) []Span {
	for _, tasks := range list {
		if tasks.Zone == zone {
			return tasks.Spans
		}
	}
	return nil
}
