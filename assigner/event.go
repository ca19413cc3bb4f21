package assigner

import (
	"time"

	"egretring.example/egretring/describer"
)

// Event is an input of a member's state machine.
type Event interface {
	isEvent()
}

// ZoneRead reports the assignment record and the live leases of the zone. The leases must be read after the record:
// a takeover relies on the absence of a lease at the version that it replaces.
type ZoneRead struct {
	Record Assignment
	// Version is the store's version of the record; zero means that there is none.
	Version int64
	// Leases lists the owners whose member keys exist.
	Leases []Owner
}

// WriteResult is the outcome of a write of the record.
type WriteResult int

// The results of a write.
const (
	// Written means that the record has been written.
	Written WriteResult = iota
	// Conflicted means that the record did not have the expected version.
	Conflicted
	// ResponseLost means that the response was lost; the write may have taken effect or may still do so later.
	ResponseLost
)

// WriteCompleted reports the result of a WriteAssignment.
type WriteCompleted struct {
	WriteID string
	Result  WriteResult
	// Version is the new version of the record when it was written.
	Version int64
}

// LeaseRenewed reports that this member's store lease was granted or renewed and that the member key is attached to it.
type LeaseRenewed struct {
	Incarnation describer.Incarnation
	// Lease identifies the lease; a newly granted lease has another number.
	Lease int64
	// Before is a time before the call was sent; the time to live of the lease starts no earlier.
	Before time.Time
}

// LeaseLost reports that the store no longer has the lease of this member.
type LeaseLost struct{}

// StoreChanged reports whether the store responds.
type StoreChanged struct {
	Reachable bool
}

// HeartbeatReceived reports a heartbeat of a peer.
type HeartbeatReceived struct {
	Heartbeat Heartbeat
}

// PeerRefused reports that the address of a member refused a connection or responded as a newer incarnation. Either
// proves that the member's process has ended.
type PeerRefused struct {
	Owner Owner
}

// PeerUnresponsive reports that a member does not respond. The member may still be running.
type PeerUnresponsive struct {
	Owner Owner
}

// DeclaredDead reports that an operator declared an instance dead up to an incarnation.
type DeclaredDead struct {
	Owner Owner
}

// ServerBusy is how many slots of a backend server are occupied.
type ServerBusy struct {
	BackendServer describer.BackendServerID
	Slots         int
}

// BusyChanged reports the slots that this member occupies. Lost slots are released only by a report that was counted
// after the request path applied shares without them, because it may have started work under the earlier shares.
type BusyChanged struct {
	// Shares is the version of the newest ChangeShares that the request path had applied before it counted.
	Shares uint64
	Busy   []ServerBusy
}

// OwnerBusy is how many slots of a backend server the requests of one owner occupy.
type OwnerBusy struct {
	Owner Owner
	Slots int
}

// UsageReported reports the usage of a backend server at an earlier time.
type UsageReported struct {
	BackendServer describer.BackendServerID
	SampledAt     time.Time
	BusySlots     int
	// ByOwner splits BusySlots by the owner that sent the request. Without it (nil), a slot leaves quarantine only
	// when no slot of the backend server is occupied.
	ByOwner []OwnerBusy
}

// ServersChanged replaces the backend servers of the zone.
type ServersChanged struct {
	Servers []Server
}

// LeaveRequested requests that the member give up its positions.
type LeaveRequested struct{}

// Ticked reports that time has passed.
type Ticked struct{}

func (ZoneRead) isEvent()          {}
func (WriteCompleted) isEvent()    {}
func (LeaseRenewed) isEvent()      {}
func (LeaseLost) isEvent()         {}
func (StoreChanged) isEvent()      {}
func (HeartbeatReceived) isEvent() {}
func (PeerRefused) isEvent()       {}
func (PeerUnresponsive) isEvent()  {}
func (DeclaredDead) isEvent()      {}
func (BusyChanged) isEvent()       {}
func (UsageReported) isEvent()     {}
func (ServersChanged) isEvent()    {}
func (LeaveRequested) isEvent()    {}
func (Ticked) isEvent()            {}
