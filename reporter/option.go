package reporter

import "egretring.example/egretring/describer"

// Option is an option of New.
type Option func(*Reporter)

// WithInstance sets the ID of the entry instance that serves the reports.
func WithInstance(id describer.InstanceID) Option {
	return func(r *Reporter) { r.instance = id }
}

// WithInstances sets the source of entry instances.
func WithInstances(source InstanceSource) Option {
	return func(r *Reporter) { r.instances = source }
}

// WithZones sets the source of availability zones.
func WithZones(source ZoneSource) Option {
	return func(r *Reporter) { r.zones = source }
}

// WithServers sets the source of backend servers.
func WithServers(source ServerSource) Option {
	return func(r *Reporter) { r.servers = source }
}

// WithServices sets the source of service loads.
func WithServices(source ServiceSource) Option {
	return func(r *Reporter) { r.services = source }
}

// WithJobs sets the source of jobs.
func WithJobs(source JobSource) Option {
	return func(r *Reporter) { r.jobs = source }
}

// WithTasks sets the source of tasks.
func WithTasks(source TaskSource) Option {
	return func(r *Reporter) { r.tasks = source }
}

// WithTeams sets the source of teams.
func WithTeams(source TeamSource) Option {
	return func(r *Reporter) { r.teams = source }
}

// WithReasons adds a source of reasons.
func WithReasons(source ReasonSource) Option {
	return func(r *Reporter) { r.reasons = append(r.reasons, source) }
}
