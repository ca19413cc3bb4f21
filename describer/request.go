package describer

import "time"

// Request is the metadata of a caller's request on the request path. It does not include the body.
type Request struct {
	ID             RequestID
	Service        ServiceID
	Kind           KindID
	Team           TeamID
	Class          Class
	Deadline       time.Time
	Repeatable     bool
	IdempotencyKey string
	// Relayed is true for a request that a peer has relayed; it is not relayed again.
	Relayed bool
}

// WithDeadline returns a copy with another deadline.
func (r Request) WithDeadline(deadline time.Time) Request {
	r.Deadline = deadline
	return r
}

// WithRelayed returns a copy that is marked as relayed by a peer.
func (r Request) WithRelayed() Request {
	r.Relayed = true
	return r
}
