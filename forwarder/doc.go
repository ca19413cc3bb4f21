// Package forwarder exchanges one request with a backend server or a peer over HTTP, and reports the evidence
// from which it is known whether the request was run.
package forwarder
