package ticketer

import "egretring.example/egretring/describer"

// Snapshot is the encodable form of a State. Equal states have equal snapshots.
type Snapshot struct {
	Applied     int64
	LastWriteID string

	Services       []describer.Service
	Jobs           []describer.Job
	Quotas         []describer.Quota
	Limits         []Limit
	Routes         []Route
	DrainedServers []DrainedServer
	DrainedZones   []DrainedZone
	DeadInstances  []DeadInstance
	Receipts       []Receipt
}

// Snapshot returns the encodable form of the state.
func (s State) Snapshot() Snapshot {
	return Snapshot{
		Applied:        s.applied,
		LastWriteID:    s.lastWriteID,
		Services:       s.Services(),
		Jobs:           s.Jobs(),
		Quotas:         s.Quotas(),
		Limits:         s.Limits(),
		Routes:         s.Routes(),
		DrainedServers: s.DrainedServers(),
		DrainedZones:   s.DrainedZones(),
		DeadInstances:  s.DeadInstances(),
		Receipts:       s.receipts.values(),
	}
}

// State returns the state that the snapshot was taken from.
func (s Snapshot) State() State {
	return State{
		applied:     s.Applied,
		lastWriteID: s.LastWriteID,
		services:    tableOf(s.Services, func(v describer.Service) describer.ServiceID { return v.ID }),
		jobs:        tableOf(s.Jobs, func(v describer.Job) describer.JobID { return v.ID }),
		quotas:      tableOf(s.Quotas, func(v describer.Quota) describer.TeamID { return v.Team }),
		limits:      tableOf(s.Limits, func(v Limit) describer.TeamID { return v.Team }),
		routes:      tableOf(s.Routes, func(v Route) RouteID { return v.ID }),
		drainedServers: tableOf(s.DrainedServers, func(v DrainedServer) describer.BackendServerID {
			return v.BackendServer
		}),
		drainedZones: tableOf(s.DrainedZones, func(v DrainedZone) describer.AvailabilityZoneID {
			return v.AvailabilityZone
		}),
		deadInstances: tableOf(s.DeadInstances, func(v DeadInstance) describer.InstanceID { return v.Instance }),
		receipts:      tableOf(s.Receipts, func(v Receipt) string { return v.ID }),
	}
}
