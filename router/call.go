package router

import (
	"net/http"

	"egretring.example/egretring/describer"
)

// Call is one request with its HTTP data and the information that determines where and whether it runs.
type Call struct {
	Request describer.Request
	Method  string
	// Path is the path with the query as the caller sent it.
	Path   string
	Header http.Header
	Body   []byte
	// Zones restricts the request to backend servers of these availability zones; empty means any.
	Zones []describer.AvailabilityZoneID
	// Attempt counts the caller's attempts from one; it is deduplicator.AttemptUnknown when the caller does not state it.
	Attempt int
	// RelayedBy is the peer that relayed the request; it is empty for a request of a caller.
	RelayedBy describer.InstanceID
	// Registered is true when the home of the request's idempotency key has recorded this run.
	Registered bool
}
