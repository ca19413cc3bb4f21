package router

import (
	"net/http"
	"time"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/forwarder"
)

// maxRequestIDBytes limits the request IDs that are kept; a caller may send longer ones.
const maxRequestIDBytes = 128

// EndedRequest describes a request that was refused or relayed, or that failed.
type EndedRequest struct {
	// RequestID is the request ID in the header Egretring-Request, or the ID of the trace when that is too long to be
	// kept.
	RequestID string
	Trace     string
	Request   describer.Request
	// RelayedTo is the peer to which the request was relayed; it is empty without a relay.
	RelayedTo describer.InstanceID
	// At is when the request arrived.
	At       time.Time
	Duration time.Duration
	// Err is nil when the whole response was sent.
	Err error
}

// ensureRequestID returns the request ID of a call. A call without one gets the ID of its trace, also in its header.
// For an ID that is too long to be kept, the ID of the trace is returned and the header stays.
func ensureRequestID(call *Call, trace string) string {
	id := call.Header.Get(forwarder.HeaderRequest)
	if id == "" {
		call.Header = call.Header.Clone()
		if call.Header == nil {
			call.Header = make(http.Header)
		}
		call.Header.Set(forwarder.HeaderRequest, trace)
		return trace
	}
	if len(id) > maxRequestIDBytes {
		return trace
	}
	return id
}
