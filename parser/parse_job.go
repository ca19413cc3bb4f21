package parser

import (
	"fmt"

	"github.com/tailscale/hujson"

	"egretring.example/egretring/describer"
)

func readJob(r *reader, path, name string, value hujson.Value) describer.Job {
	job := describer.Job{ID: describer.JobID(name)}
	r.object(path, value,
		field{"ID", false, r.repeatedName(name)},
		field{"Team", true, func(p string, v hujson.Value) { job.Team = describer.TeamID(r.name(p, v, plainName)) }},
		field{"Class", true, r.class(&job.Class)},
		field{"Policy", true, func(p string, v hujson.Value) { job.Policy = readPolicy(r, p, v) }},
		field{"Tasks", true, func(p string, v hujson.Value) { job.Tasks = int(r.integer(p, v, 1, maxTasks)) }},
		field{"PerTask", true, func(p string, v hujson.Value) { job.PerTask = readResources(r, p, v, taskBounds) }},
		field{"ExpectedSeconds", false, func(p string, v hujson.Value) {
			job.ExpectedSeconds = r.integer(p, v, 0, maxExpectedSeconds)
		}},
		field{"AvailabilityZones", false, r.zones(&job.AvailabilityZones)},
		field{"MaxAttempts", false, func(p string, v hujson.Value) {
			job.MaxAttempts = int(r.integer(p, v, 0, maxAttempts))
		}},
	)
	return job
}

func readPolicy(r *reader, path string, value hujson.Value) describer.JobPolicy {
	literal, _ := value.Value.(hujson.Literal)
	policy := describer.JobPolicy(literalText(literal))
	switch policy {
	case describer.ServiceJob, describer.BatchJob, describer.GangJob:
	default:
		r.fail(value, path, fmt.Sprintf("%.40s is not a policy", string(literal)), "Service, Batch or Gang")
	}
	return policy
}

// resourceBounds are the minimum and maximum amounts of each resource.
type resourceBounds struct {
	minimum describer.Resources
	maximum describer.Resources
}

var (
	// The minimum is above zero so that each task requests some processor time and memory; otherwise a job could occupy
	// a backend server without requesting any resources.
	taskBounds = resourceBounds{
		minimum: describer.Resources{MilliCores: 1, MemoryBytes: 1},
		maximum: describer.Resources{
			MilliCores: maxTaskMilliCores, MemoryBytes: maxTaskMemoryBytes, Accelerators: maxTaskAccelerators,
		},
	}
	quotaBounds = resourceBounds{
		maximum: describer.Resources{
			MilliCores: maxQuotaMilliCores, MemoryBytes: maxQuotaMemoryBytes, Accelerators: maxQuotaAccelerators,
		},
	}
)

func readResources(r *reader, path string, value hujson.Value, bounds resourceBounds) describer.Resources {
	var resources describer.Resources
	minimum, maximum := bounds.minimum, bounds.maximum
	r.object(path, value,
		field{"MilliCores", true, func(p string, v hujson.Value) {
			resources.MilliCores = r.integer(p, v, minimum.MilliCores, maximum.MilliCores)
		}},
		field{"MemoryBytes", true, func(p string, v hujson.Value) {
			resources.MemoryBytes = r.integer(p, v, minimum.MemoryBytes, maximum.MemoryBytes)
		}},
		field{"Accelerators", false, func(p string, v hujson.Value) {
			resources.Accelerators = r.integer(p, v, minimum.Accelerators, maximum.Accelerators)
		}},
	)
	return resources
}

func readQuota(r *reader, path, name string, value hujson.Value) describer.Quota {
	quota := describer.Quota{Team: describer.TeamID(name)}
	r.object(path, value,
		field{"Team", false, r.repeatedName(name)},
		field{"Limit", true, func(p string, v hujson.Value) { quota.Limit = readResources(r, p, v, quotaBounds) }},
		field{"MayBorrow", false, func(p string, v hujson.Value) { quota.MayBorrow = r.boolean(p, v) }},
	)
	return quota
}
