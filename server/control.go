package server

import (
	"net/http"
	"time"

	"egretring.example/egretring/forwarder"
)

const (
	// controlConnections is how many connections this instance opens to a backend server besides its share: one for task calls, which
	// are made one after the other, and one for usage reports.
	controlConnections = 2
	// controlIdleTime is how long they stay open without a call, so that those of a former placing member end soon.
	controlIdleTime = 2 * time.Second
)

// controlTransport carries task calls and usage reports. Each kind has a connection of its own, so that a usage report that takes long
// does not hold up the renewal of leases.
type controlTransport struct {
	tasks *http.Transport
	usage *http.Transport
}

// newControlClient returns the client for task calls and usage reports.
func newControlClient(dial forwarder.Dial) *http.Client {
	return &http.Client{Transport: &controlTransport{tasks: newControlTransport(dial), usage: newControlTransport(dial)}}
}

func newControlTransport(dial forwarder.Dial) *http.Transport {
	return &http.Transport{DialContext: dial, MaxConnsPerHost: controlConnections / 2, IdleConnTimeout: controlIdleTime}
}

// RoundTrip implements http.RoundTripper.
func (t *controlTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.URL.Path == forwarder.PathUsage {
		return t.usage.RoundTrip(r)
	}
	return t.tasks.RoundTrip(r)
}

// CloseIdleConnections is called by the method of http.Client.
func (t *controlTransport) CloseIdleConnections() {
	t.tasks.CloseIdleConnections()
	t.usage.CloseIdleConnections()
}

// withoutControl returns the capacity without the connections for task calls and usage reports: one of each slot, unless it is the only
// one.
func (c capacityOfServer) withoutControl() capacityOfServer {
	if c.connectionsPerSlot() > 1 {
		c.connections -= c.slots
	}
	return c
}
