package messenger

import (
	"encoding/json"
	"time"

	"egretring.example/egretring/assigner"
	"egretring.example/egretring/describer"
)

// The methods of the protocol between peers.
const (
	MethodHeartbeat = "Heartbeat"
	MethodTickets   = "Tickets"
	MethodRelease   = "Release"
	MethodReport    = "Report"
)

// Heartbeat is the state that an instance sends to its peers every 500 ms.
type Heartbeat struct {
	assigner.Heartbeat
	AvailabilityZone describer.AvailabilityZoneID
	// AppliedTicket is the number of the newest ticket that the sender has applied.
	AppliedTicket int64
	FreeSlots     int
	Queued        [describer.ClassCount]int
	// LeavingServers lists the backend servers that the sender knows to be leaving.
	LeavingServers []describer.BackendServerID `json:",omitempty"`
	SentAt         time.Time
}

// HeartbeatReply identifies the process that received the heartbeat.
type HeartbeatReply struct {
	Owner assigner.Owner
}

// TicketsRequest requests the tickets after a number.
type TicketsRequest struct {
	After int64
}

// Ticket is one accepted ticket.
type Ticket struct {
	Number  int64
	Content json.RawMessage
}

// TicketsReply holds tickets in ascending order without gaps. It may end before the newest ticket.
type TicketsReply struct {
	// Snapshot is set when the sender no longer has all tickets after the requested number.
	Snapshot []byte `json:",omitempty"`
	Tickets  []Ticket
}

// Release notifies a peer that the sender gives up its positions, the groups of slots that are assigned to it, and
// starts no more work.
type Release struct {
	Heartbeat Heartbeat
}

// ReleaseReply acknowledges a release.
type ReleaseReply struct {
	Owner assigner.Owner
}

// ReportRequest requests the report of an instance on what it observes itself. About names the object to explain; it
// may be empty.
type ReportRequest struct {
	About string
}

// ReportReply is the report of an instance. The operators' views are assembled from these reports.
type ReportReply struct {
	Content json.RawMessage
}
