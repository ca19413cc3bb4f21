package assigner

import "egretring.example/egretring/describer"

// Command is something that the caller of the core has to do.
type Command interface {
	isCommand()
}

// WriteAssignment writes the record if it has the expected version.
type WriteAssignment struct {
	Record  Assignment
	Version int64
}

// AdoptEpoch says that the member now follows an epoch.
type AdoptEpoch struct {
	Record Assignment
}

// ReleaseSlots says that the heartbeat has new releases; it is to be sent at once.
type ReleaseSlots struct {
	Epoch     describer.Epoch
	StillBusy []ServerSlots
}

// QuarantineServers replaces the backend servers whose usage reports are needed to end a quarantine.
type QuarantineServers struct {
	Servers []describer.BackendServerID
}

// ChangeShares replaces the shares that the request path may use.
type ChangeShares struct {
	// Version numbers the changes; a BusyChanged names the newest version that has been applied.
	Version uint64
	Shares  []Share
}

// Rejoin says that the member was removed from the record: its lease ends and it registers as a new incarnation.
type Rejoin struct {
	Incarnation describer.Incarnation
}

// Depart says that a leaving member has given up everything; its lease may be revoked.
type Depart struct{}

func (WriteAssignment) isCommand()   {}
func (AdoptEpoch) isCommand()        {}
func (ReleaseSlots) isCommand()      {}
func (QuarantineServers) isCommand() {}
func (ChangeShares) isCommand()      {}
func (Rejoin) isCommand()            {}
func (Depart) isCommand()            {}
