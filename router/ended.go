package router

import (
	"net/http"
	"time"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/forwarder"
)

// maxNameBytes bounds the request IDs that are kept; a caller may send longer ones.
const maxNameBytes = 128

// Ended is a request that was refused, failed or was relayed.
type Ended struct {
	// Name is the request ID in the header Egretring-Request, or the ID of the trace when that is too long to be kept.
	Name    string
	Trace   string
	Request describer.Request
	// RelayedTo is the peer to which the request was relayed; it is empty without a relay.
	RelayedTo describer.InstanceID
	// At is when the request arrived.
	At       time.Time
	Duration time.Duration
	// Err is nil when the whole answer was sent.
	Err error
}

// nameRequest returns the request ID of a call. A call without one gets the ID of its trace.
func nameRequest(call *Call, trace string) string {
	name := call.Header.Get(forwarder.HeaderRequest)
	if name == "" {
		call.Header = call.Header.Clone()
		if call.Header == nil {
			call.Header = make(http.Header)
		}
		call.Header.Set(forwarder.HeaderRequest, trace)
		return trace
	}
	if len(name) > maxNameBytes {
		return trace
	}
	return name
}
