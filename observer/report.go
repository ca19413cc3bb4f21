package observer

import (
	"context"
	"time"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/lister"
	"egretring.example/egretring/reporter"
	"egretring.example/egretring/ticketer"
)

// Report is what one entry instance knows at first hand.
type Report struct {
	Instance      reporter.InstanceView
	HoldAgreement bool
	// Members is the number of members of the assignment that the instance follows.
	Members int
	// Heard are the peers of the own zone that sent a heartbeat a short time ago.
	Heard    []reporter.InstanceView
	Servers  []ServerReport
	Services []reporter.ServiceLoad
	// Reasons explain what the asking instance wants to know.
	Reasons []reporter.Reason
}

// ServerReport is what one entry instance knows about a backend server of its zone.
type ServerReport struct {
	BackendServer describer.BackendServerID
	// OwnedSlots and BusySlots are those of this instance.
	OwnedSlots int
	BusySlots  int
	HeldSlots  int
	Ejected    bool
	Failures   int
	Leaving    bool
	// Slots and Connections are the capacity that the instance reckons with.
	Slots       int
	Connections int
}

// Heard is a peer whose heartbeat arrived a short time ago.
type Heard struct {
	Instance    reporter.InstanceView
	PeerAddress string
}

// Configuration gives the state in force.
type Configuration interface {
	State() (ticketer.State, error)
}

// Sources are what an Observer reads.
type Sources struct {
	Self  describer.Instance
	Zones []describer.AvailabilityZoneID
	// Configuration gives the state in force.
	Configuration Configuration
	// Local returns the report of this instance without reasons.
	Local func(ctx context.Context) Report
	// Ask returns the report of the peer at an address.
	Ask func(ctx context.Context, address, about string) (Report, error)
	// Heard returns the peers that sent a heartbeat a short time ago.
	Heard func() []Heard
	// Listing returns the last reading of the instance list and its time.
	Listing func() (lister.Listing, time.Time)
}
