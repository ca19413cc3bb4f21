package generator

import (
	"time"

	"egretring.example/egretring/describer"
)

// Arrival is one request that a caller sends.
type Arrival struct {
	// Offset is the time of arrival after the start of the load.
	Offset time.Duration
	// ID is unique within a load; the backend servers count runs by it.
	ID               string
	Service          describer.ServiceID
	Kind             describer.KindID
	Class            describer.Class
	Team             describer.TeamID
	AvailabilityZone describer.AvailabilityZoneID
	Repeatable       bool
	// Key is the idempotency key of a request that is not repeatable, and empty otherwise.
	Key string
	// Timeout is the time from the arrival to the deadline.
	Timeout time.Duration
	// RunTime is how long the request runs on a backend server.
	RunTime time.Duration
	// CancelAfter is the time from the arrival until the caller cancels the request; zero means never.
	CancelAfter   time.Duration
	BodyBytes     int
	ResponseBytes int
}

// Request returns the request as the dispatcher receives it, for a load that started at the given time.
func (a Arrival) Request(id describer.RequestID, start time.Time) describer.Request {
	return describer.Request{
		ID:             id,
		Service:        a.Service,
		Kind:           a.Kind,
		Team:           a.Team,
		Class:          a.Class,
		Deadline:       start.Add(a.Offset + a.Timeout),
		Repeatable:     a.Repeatable,
		IdempotencyKey: a.Key,
	}
}

// Path returns the URL path of the request.
func (a Arrival) Path() string {
	return "/" + string(a.Service) + "/" + string(a.Kind)
}
