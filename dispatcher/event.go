package dispatcher

import (
	"egretring.example/egretring/describer"
)

// Event is an input of the Dispatcher.
type Event interface {
	isEvent()
}

// RequestArrived reports a new request from a caller or a peer.
type RequestArrived struct {
	Request describer.Request
}

// RequestCancelled reports that the caller cancelled a request.
type RequestCancelled struct {
	ID describer.RequestID
}

// AttemptEnded reports the end of an attempt.
type AttemptEnded struct {
	ID       describer.RequestID
	Attempt  int
	Evidence describer.Evidence
	// ResponseStarted is true when at least one byte of a response has been sent to the caller.
	ResponseStarted bool
	// SlotHeld is true when the backend server may still be running the request. The slot stays in use until
	// SlotsFreed.
	SlotHeld bool
	// ServerLeaving is true when the backend server announced that it is leaving.
	ServerLeaving bool
}

// SlotsFreed reports that a backend server no longer runs any of the attempts that ended with SlotHeld.
type SlotsFreed struct {
	BackendServer describer.BackendServerID
}

// RelayEnded reports the end of a relay to a peer.
type RelayEnded struct {
	ID              describer.RequestID
	Evidence        describer.Evidence
	ResponseStarted bool
}

// Share is the part of one backend server that this instance may use.
type Share struct {
	BackendServer describer.BackendServerID
	Slots         int
	Connections   int
}

// SharesChanged replaces the shares of this instance. An instance without the right to start work has no shares.
type SharesChanged struct {
	Shares []Share
}

// BackendServersChanged replaces the known backend servers of the zone.
type BackendServersChanged struct {
	Servers []describer.BackendServer
}

// BackendServersLeaving reports servers that are leaving although the instance list may not show it yet, as announced
// in the heartbeats of peers.
type BackendServersLeaving struct {
	BackendServers []describer.BackendServerID
}

// PeerLoad is the load that a peer reported.
type PeerLoad struct {
	Instance         describer.InstanceID
	AvailabilityZone describer.AvailabilityZoneID
	SameZone         bool
	FreeSlots        int
	Queued           [describer.ClassCount]int
}

// PeersReported replaces the known loads of the peers.
type PeersReported struct {
	Loads []PeerLoad
}

// ServicesChanged replaces the configured services.
type ServicesChanged struct {
	Services []describer.Service
}

// Ticked reports that the time returned by NextDeadline has been reached.
type Ticked struct{}

func (RequestArrived) isEvent()        {}
func (RequestCancelled) isEvent()      {}
func (AttemptEnded) isEvent()          {}
func (SlotsFreed) isEvent()            {}
func (RelayEnded) isEvent()            {}
func (SharesChanged) isEvent()         {}
func (BackendServersChanged) isEvent() {}
func (BackendServersLeaving) isEvent() {}
func (PeersReported) isEvent()         {}
func (ServicesChanged) isEvent()       {}
func (Ticked) isEvent()                {}
