package assigner

import "egretring.example/egretring/describer"

// Command is an action that the caller of the state machine must carry out.
type Command interface {
	isCommand()
}

// WriteAssignment writes the record if it has the expected version.
type WriteAssignment struct {
	Record  Assignment
	Version int64
}

// AdoptEpoch reports that the member has switched to the epoch of a record.
type AdoptEpoch struct {
	Record Assignment
}

// ReleaseSlots reports that the heartbeat contains new releases and must be sent immediately.
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

// Rejoin reports that the member was removed from the record. The caller ends the lease of the old incarnation and
// registers the instance as a new incarnation.
type Rejoin struct {
	Incarnation describer.Incarnation
}

// Depart reports that a leaving member holds no positions and has no work left; its lease may be revoked.
type Depart struct{}

func (WriteAssignment) isCommand()   {}
func (AdoptEpoch) isCommand()        {}
func (ReleaseSlots) isCommand()      {}
func (QuarantineServers) isCommand() {}
func (ChangeShares) isCommand()      {}
func (Rejoin) isCommand()            {}
func (Depart) isCommand()            {}
