package describer

// InstanceID names an entry instance.
type InstanceID string

// AvailabilityZoneID names an availability zone.
type AvailabilityZoneID string

// BackendServerID names a backend server.
type BackendServerID string

// RackID names a rack inside an availability zone.
type RackID string

// ServiceID names a service that callers can reach.
type ServiceID string

// KindID names a kind of request of a service, such as the short or the long requests.
type KindID string

// TeamID names a team, the owner of requests, jobs and quotas.
type TeamID string

// RequestID identifies one request inside one entry instance.
type RequestID uint64

// Incarnation numbers the starts of one instance; a later start has a larger number.
type Incarnation int64

// Epoch numbers the versions of an assignment; it is the fencing token of task starts.
type Epoch int64
