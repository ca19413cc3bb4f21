package ticketer

import "egretring.example/egretring/describer"

// State is the configuration after the tickets up to a number. It is immutable; its zero value is the empty
// configuration.
type State struct {
	applied        int64
	lastWriteID    string
	services       table[describer.ServiceID, describer.Service]
	jobs           table[describer.JobID, describer.Job]
	quotas         table[describer.TeamID, describer.Quota]
	limits         table[describer.TeamID, Limit]
	routes         table[RouteID, Route]
	drainedServers table[describer.BackendServerID, DrainedServer]
	drainedZones   table[describer.AvailabilityZoneID, DrainedZone]
	deadInstances  table[describer.InstanceID, DeadInstance]
	receipts       table[string, Receipt]
}

// Applied returns the number of the last applied ticket; zero means none.
func (s State) Applied() int64 { return s.applied }

// LastWriteID returns the WriteID of the last applied ticket.
func (s State) LastWriteID() string { return s.lastWriteID }

// Service returns a service.
func (s State) Service(id describer.ServiceID) (describer.Service, bool) { return s.services.get(id) }

// Services returns all services, ordered by ID.
func (s State) Services() []describer.Service { return s.services.values() }

// Job returns a job.
func (s State) Job(id describer.JobID) (describer.Job, bool) { return s.jobs.get(id) }

// Jobs returns all jobs, ordered by ID.
func (s State) Jobs() []describer.Job { return s.jobs.values() }

// Quota returns the quota of a team.
func (s State) Quota(team describer.TeamID) (describer.Quota, bool) { return s.quotas.get(team) }

// Quotas returns all quotas, ordered by team.
func (s State) Quotas() []describer.Quota { return s.quotas.values() }

// Limit returns the limit of a team.
func (s State) Limit(team describer.TeamID) (Limit, bool) { return s.limits.get(team) }

// Limits returns all limits, ordered by team.
func (s State) Limits() []Limit { return s.limits.values() }

// Route returns a route.
func (s State) Route(id RouteID) (Route, bool) { return s.routes.get(id) }

// Routes returns all routes, ordered by ID.
func (s State) Routes() []Route { return s.routes.values() }

// IsServerDrained reports whether a backend server or its zone is drained.
func (s State) IsServerDrained(server describer.BackendServer) bool {
	_, drained := s.drainedServers.get(server.ID)
	return drained || s.IsZoneDrained(server.AvailabilityZone)
}

// DrainedServers returns all drained backend servers, ordered by ID.
func (s State) DrainedServers() []DrainedServer { return s.drainedServers.values() }

// IsZoneDrained reports whether an availability zone is drained.
func (s State) IsZoneDrained(zone describer.AvailabilityZoneID) bool {
	_, drained := s.drainedZones.get(zone)
	return drained
}

// DrainedZones returns all drained availability zones, ordered by ID.
func (s State) DrainedZones() []DrainedZone { return s.drainedZones.values() }

// IsDeclaredDead reports whether an operator has declared this or a later incarnation of an instance dead.
func (s State) IsDeclaredDead(id describer.InstanceID, incarnation describer.Incarnation) bool {
	dead, ok := s.deadInstances.get(id)
	return ok && incarnation <= dead.Incarnation
}

// DeadInstances returns all instances that are declared dead, ordered by ID.
func (s State) DeadInstances() []DeadInstance { return s.deadInstances.values() }
