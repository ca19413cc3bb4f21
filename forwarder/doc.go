// Package forwarder exchanges one request with a backend server or a peer over HTTP and reports what was observed.
package forwarder
