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

// PlannerRecord is the value of the key Cell/Planner, which is bound to the store lease of the planning member. The
// epoch of the planning member is the store revision of this key, so it grows even though the key is deleted with the
// lease.
type PlannerRecord struct {
	Instance describer.InstanceID
	WriteID  string
}

// PlanShard is the value of a key Cell/Plan/<shard>.
type PlanShard struct {
	WriteID string
	// Epoch is the epoch of the planning member that wrote the shard.
	Epoch int64
	Jobs  []PlannedJob
}

// PlannedJob is the plan of one job.
type PlannedJob struct {
	Job describer.Job
	// Generation distinguishes a job from an earlier, withdrawn job of the same name.
	Generation int64
	Zones      []ZoneTasks `json:",omitempty"`
	// Leaving are tasks that were withdrawn from a zone which has not confirmed yet that they do not run there. No
	// other zone starts them before that confirmation.
	Leaving  []ZoneTasks `json:",omitempty"`
	Finished []Span      `json:",omitempty"`
	// NeverRuns is the reason why the job can never run with the current zones and quotas; it is empty otherwise.
	NeverRuns string `json:",omitempty"`
	// Withdrawn is true when the configuration no longer has the job.
	Withdrawn bool `json:",omitempty"`
}

// ZoneTasks are the tasks of a job in one zone.
type ZoneTasks struct {
	Zone  describer.AvailabilityZoneID
	Spans []Span
}

// Progress is the value of a key Zones/<zone>/Progress: the report of a zone's placing member to the planning member.
type Progress struct {
	WriteID string
	Epoch   describer.Epoch
	Jobs    []JobProgress
}

// JobProgress lists the tasks of a job that do not run again, and the tasks of PlannedJob.Leaving that no longer run in
// the zone.
type JobProgress struct {
	Job        describer.JobID
	Generation int64
	// Revision is the store revision of the plan shard that the report is about. The planning member ignores Left when
	// the report is about an older shard than the one that first listed the tasks as leaving.
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

// startable returns the unfinished tasks that a zone may start: those assigned to it that are not still leaving another
// zone. A gang job waits until none of its tasks in the zone is leaving another one.
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
