package messenger

import (
	"encoding/json"
	"time"

	"egretring.example/egretring/assigner"
	"egretring.example/egretring/describer"
)

// The methods of the peers' protocol.
const (
	MethodHeartbeat = "Heartbeat"
	MethodTickets   = "Tickets"
	MethodRelease   = "Release"
	MethodReport    = "Report"
)

// Heartbeat is what an instance tells its peers every 500 ms.
type Heartbeat struct {
	assigner.Heartbeat
	AvailabilityZone describer.AvailabilityZoneID
	// AppliedTicket is the number of the newest ticket that is in force at the sender.
	AppliedTicket int64
	FreeSlots     int
	Queued        [describer.ClassCount]int
	// LeavingServers are backend servers that the sender knows to be leaving.
	LeavingServers []describer.BackendServerID `json:",omitempty"`
	SentAt         time.Time
}

// HeartbeatReply names the process that answered.
type HeartbeatReply struct {
	Owner assigner.Owner
}

// TicketsRequest asks for the tickets after a number.
type TicketsRequest struct {
	After int64
}

// Ticket is one accepted ticket.
type Ticket struct {
	Number  int64
	Content json.RawMessage
}

// TicketsReply holds tickets in order without gaps. It may end before the newest ticket.
type TicketsReply struct {
	// Snapshot is set when the sender no longer has all tickets after the number.
	Snapshot []byte `json:",omitempty"`
	Tickets  []Ticket
}

// Release says that the sender gives up its positions and starts no more work.
type Release struct {
	Heartbeat Heartbeat
}

// ReleaseReply acknowledges a release.
type ReleaseReply struct {
	Owner assigner.Owner
}

// ReportRequest asks an instance what it knows at first hand. About names what is to be explained; it may be empty.
type ReportRequest struct {
	About string
}

// ReportReply is the report of an instance, which operators' views are made of.
type ReportReply struct {
	Content json.RawMessage
}
