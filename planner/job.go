package planner

import (
	"fmt"
	"time"

	"egretring.example/egretring/describer"
)

// ageingStep is how much longer a job of the next lower class waits before it goes first.
const ageingStep = 5 * time.Minute

// job is the plan of one job.
type job struct {
	describer.Job
	// order is the time of submission, later by ageingStep for each class below Urgent.
	order time.Time
	// sequence keeps jobs of the same order in the order of their submission.
	sequence int
	waiting  spans
	// parts are the assigned tasks by zone.
	parts map[describer.AvailabilityZoneID]*spans
	// reason is empty for a job that can run.
	reason Reason
}

func newJob(now time.Time, description describer.Job, sequence int) *job {
	return &job{
		Job:      description,
		order:    now.Add(time.Duration(description.Class) * ageingStep),
		sequence: sequence,
		waiting:  spans{{count: description.Tasks}},
		parts:    make(map[describer.AvailabilityZoneID]*spans),
	}
}

func (j *job) assigned() int {
	total := 0
	for _, part := range j.parts {
		total += part.total()
	}
	return total
}

func (j *job) allows(zone describer.AvailabilityZoneID) bool {
	for _, allowed := range j.AvailabilityZones {
		if allowed == zone {
			return true
		}
	}
	return len(j.AvailabilityZones) == 0
}

// atOnce is how many tasks must be admitted together.
func (j *job) atOnce() int {
	if j.Policy == describer.GangJob {
		return j.Tasks
	}
	return 1
}

func times(r describer.Resources, factor int) describer.Resources {
	return describer.Resources{
		MilliCores:   r.MilliCores * int64(factor),
		MemoryBytes:  r.MemoryBytes * int64(factor),
		Accelerators: r.Accelerators * int64(factor),
	}
}

// holds returns how many tasks of a size fit on a backend server of a capacity.
func holds(capacity, each describer.Resources) int {
	count := int64(1 << 30)
	if each.MilliCores > 0 {
		count = min(count, capacity.MilliCores/each.MilliCores)
	}
	if each.MemoryBytes > 0 {
		count = min(count, capacity.MemoryBytes/each.MemoryBytes)
	}
	if each.Accelerators > 0 {
		count = min(count, capacity.Accelerators/each.Accelerators)
	}
	return int(count)
}

// impossible returns why a job can never run with these zones and quotas; the reason is empty when it can.
func (p *Planner) impossible(j *job) (reason Reason, detail string) {
	known, largest := 0, 0
	for _, z := range p.zones {
		if !j.allows(z.ID) {
			continue
		}
		known++
		largest = max(largest, z.room(j.PerTask))
	}
	quota, limited := p.quotas[j.Team]
	switch {
	case known == 0:
		return UnknownZone, fmt.Sprintf("none of the zones %v exists", j.AvailabilityZones)
	case largest == 0:
		return NoServerLargeEnough, fmt.Sprintf("no backend server has room for a task of %+v", j.PerTask)
	case largest < j.atOnce():
		return GangTooLarge, fmt.Sprintf("the gang job has %d tasks and the largest zone holds %d", j.Tasks, largest)
	case len(p.quotas) > 0 && !limited:
		return QuotaTooSmall, fmt.Sprintf("team %q has no quota", j.Team)
	case limited && !quota.MayBorrow && !times(j.PerTask, j.atOnce()).Fits(quota.Limit):
		return QuotaTooSmall, fmt.Sprintf("quota of team %q is below %d task(s)", j.Team, j.atOnce())
	case limited && !times(j.PerTask, j.atOnce()).Fits(p.pool):
		return QuotaTooSmall, fmt.Sprintf("all quotas together are below %d task(s)", j.atOnce())
	}
	return "", ""
}
