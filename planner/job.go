package planner

import (
	"fmt"
	"time"

	"egretring.example/egretring/describer"
)

// ageingStep is how much earlier a job has to be submitted to precede a job of the next higher class in the queue.
const ageingStep = 5 * time.Minute

// job is the planning state of one job.
type job struct {
	describer.Job
	// priorityTime orders the queue. It is the time of submission, later by ageingStep for each class below Urgent.
	priorityTime time.Time
	// sequence orders jobs of the same priorityTime by their submission.
	sequence int
	waiting  spans
	// tasksByZone are the assigned tasks.
	tasksByZone map[describer.AvailabilityZoneID]*spans
	// reason is why the job can never run; it is empty for a job that can run.
	reason Reason
	// holdFrom and holdUntil are the start and end of the job's most recent hold on quota. holdDoublings is how often it
	// has ended without success.
	holdFrom      time.Time
	holdUntil     time.Time
	holdDoublings int
	// moveAt is when tasks move out of a zone that can no longer hold them; it is zero if there are none.
	moveAt time.Time
}

func newJob(now time.Time, description describer.Job, sequence int) *job {
	return &job{
		Job:          description,
		priorityTime: now.Add(time.Duration(description.Class) * ageingStep),
		sequence:     sequence,
		waiting:      spans{{count: description.Tasks}},
		tasksByZone:  make(map[describer.AvailabilityZoneID]*spans),
	}
}

func (j *job) assigned() int {
	total := 0
	for _, part := range j.tasksByZone {
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

// admissionSize returns how many tasks must fit together: all unfinished ones of a gang job, otherwise one.
func (j *job) admissionSize() int {
	if j.Policy == describer.GangJob {
		return j.assigned() + j.waiting.total()
	}
	return 1
}

func multiply(r describer.Resources, factor int) describer.Resources {
	return describer.Resources{
		MilliCores:   r.MilliCores * int64(factor),
		MemoryBytes:  r.MemoryBytes * int64(factor),
		Accelerators: r.Accelerators * int64(factor),
	}
}

// tasksPerServer returns how many tasks that each declare the same resources fit on a backend server of a capacity.
func tasksPerServer(capacity, each describer.Resources) int {
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

// impossibleReason returns why a job can never run with the current zones and quotas; the reason is empty when it can.
func (p *Planner) impossibleReason(j *job) (reason Reason, detail string) {
	known, largest := 0, 0
	for _, z := range p.zones {
		if !j.allows(z.ID) {
			continue
		}
		known++
		largest = max(largest, z.taskCapacity(j.PerTask))
	}
	quota, limited := p.quotas[j.Team]
	switch {
	case known == 0:
		return UnknownZone, fmt.Sprintf("none of the zones %v exists", j.AvailabilityZones)
	case largest == 0:
		return NoServerLargeEnough, fmt.Sprintf("no backend server has room for a task of %+v", j.PerTask)
	case largest < j.admissionSize():
		return GangTooLarge, fmt.Sprintf("the gang job has %d tasks and the largest zone holds %d",
			j.admissionSize(), largest)
	case len(p.quotas) > 0 && !limited:
		return QuotaTooSmall, fmt.Sprintf("team %q has no quota", j.Team)
	case limited && !quota.MayBorrow && !multiply(j.PerTask, j.admissionSize()).Fits(quota.Limit):
		return QuotaTooSmall, fmt.Sprintf("quota of team %q is below %d task(s)", j.Team, j.admissionSize())
	case limited && !multiply(j.PerTask, j.admissionSize()).Fits(p.totalQuota):
		return QuotaTooSmall, fmt.Sprintf("all quotas together are below %d task(s)", j.admissionSize())
	}
	return "", ""
}
