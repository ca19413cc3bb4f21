package ticketer

import "egretring.example/egretring/describer"

// WithApplied returns a copy with another number of the last applied ticket.
func (s State) WithApplied(number int64) State {
	s.applied = number
	return s
}

// WithService returns a copy with a service set, or deleted when it is nil.
func (s State) WithService(id describer.ServiceID, service *describer.Service) State {
	s.services = s.services.withChange(id, service)
	return s
}

// WithJob returns a copy with a job set, or deleted when it is nil.
func (s State) WithJob(id describer.JobID, job *describer.Job) State {
	s.jobs = s.jobs.withChange(id, job)
	return s
}

// WithQuota returns a copy with a quota set, or deleted when it is nil.
func (s State) WithQuota(team describer.TeamID, quota *describer.Quota) State {
	s.quotas = s.quotas.withChange(team, quota)
	return s
}

// WithLimit returns a copy with a limit set, or deleted when it is nil.
func (s State) WithLimit(team describer.TeamID, limit *Limit) State {
	s.limits = s.limits.withChange(team, limit)
	return s
}

// WithRoute returns a copy with a route set, or deleted when it is nil.
func (s State) WithRoute(id RouteID, route *Route) State {
	s.routes = s.routes.withChange(id, route)
	return s
}

// WithDrainedServer returns a copy with a backend server drained, or no longer drained when it is nil.
func (s State) WithDrainedServer(id describer.BackendServerID, drained *DrainedServer) State {
	s.drainedServers = s.drainedServers.withChange(id, drained)
	return s
}

// WithDrainedZone returns a copy with a zone drained, or no longer drained when it is nil.
func (s State) WithDrainedZone(id describer.AvailabilityZoneID, drained *DrainedZone) State {
	s.drainedZones = s.drainedZones.withChange(id, drained)
	return s
}

// WithDeadInstance returns a copy with an instance declared dead, or no longer declared dead when it is nil.
func (s State) WithDeadInstance(id describer.InstanceID, dead *DeadInstance) State {
	s.deadInstances = s.deadInstances.withChange(id, dead)
	return s
}

func (s State) withReceipt(receipt Receipt) State {
	s.receipts = s.receipts.with(receipt.ID, receipt)
	return s
}
