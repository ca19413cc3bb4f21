package observer

import (
	"context"
	"time"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/lister"
	"egretring.example/egretring/reporter"
	"egretring.example/egretring/ticketer"
)

// Report is the state that one entry instance observes itself.
type Report struct {
	Instance reporter.InstanceView
	// HoldAgreement is true when the instance relies on a concluded hold agreement, by which the members of an epoch may
	// go on starting work while the store is unreachable for all of them.
	HoldAgreement bool
	// Members is the number of members of the assignment that the instance follows.
	Members int
	// Heard lists the peers in the zone of the instance that sent it a heartbeat recently.
	Heard    []reporter.InstanceView
	Servers  []ServerReport
	Services []reporter.ServiceLoad
	// Reasons explain the object that the requesting instance named.
	Reasons []reporter.Reason
}

// ServerReport is the state of a backend server as one entry instance of its zone observes it.
type ServerReport struct {
	BackendServer describer.BackendServerID
	// OwnedSlots is the number of slots that this instance owns, and BusySlots is how many of them are occupied.
	OwnedSlots int
	BusySlots  int
	// HeldSlots is the part of BusySlots whose attempts have ended although the server may still run them.
	HeldSlots int
	// Ejected is true while the server gets no requests or only probes because of its failures.
	Ejected bool
	// Failures counts the failures in a row.
	Failures int
	Leaving  bool
	// Slots and Connections are the capacity of a backend server from which the instance computes the owned slots.
	Slots       int
	Connections int
}

// RecentPeer is a peer that sent a heartbeat recently.
type RecentPeer struct {
	Instance    reporter.InstanceView
	PeerAddress string
}

// Configuration provides the state in force.
type Configuration interface {
	State() (ticketer.State, error)
}

// Sources are the inputs of an Observer.
type Sources struct {
	Self  describer.Instance
	Zones []describer.AvailabilityZoneID
	// Configuration provides the state in force.
	Configuration Configuration
	// Local returns the report of this instance, without reasons.
	Local func(ctx context.Context) Report
	// FetchReport fetches the report of the peer at an address; about names the object that the reasons in it explain.
	FetchReport func(ctx context.Context, address, about string) (Report, error)
	// RecentPeers returns the peers that sent a heartbeat recently.
	RecentPeers func() []RecentPeer
	// Listing returns the instance list as it was read last and the time of that read.
	Listing func() (lister.Listing, time.Time)
}
