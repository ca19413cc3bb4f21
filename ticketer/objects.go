package ticketer

import "egretring.example/egretring/describer"

// RouteID is the first path segment under which callers reach a routed service.
type RouteID string

// Limit limits the requests of a team over all services.
type Limit struct {
	Team describer.TeamID
	// RequestsInProgress is the maximum number of requests of the team in progress in each entry instance.
	RequestsInProgress int
}

// Route makes a service reachable under another name, its ID.
type Route struct {
	ID      RouteID
	Service describer.ServiceID
	// AvailabilityZones restricts the route to backend servers of these zones; empty means any.
	AvailabilityZones []describer.AvailabilityZoneID
}

// DrainedServer is a backend server that receives no new work.
type DrainedServer struct {
	BackendServer describer.BackendServerID
	Reason        string
}

// DrainedZone is an availability zone whose backend servers receive no new work.
type DrainedZone struct {
	AvailabilityZone describer.AvailabilityZoneID
	Reason           string
}

// DeadInstance is an operator's declaration that an entry instance no longer runs.
type DeadInstance struct {
	Instance describer.InstanceID
	// Incarnation is the last incarnation that is declared dead; a later incarnation is not affected.
	Incarnation describer.Incarnation
	Reason      string
}
