package ticketer

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"egretring.example/egretring/describer"
)

// Ticket is a change of the configuration. It carries the whole new state of each object that it touches; an object
// that is nil is deleted.
type Ticket struct {
	// ID is chosen by the client; applying the same ID and content again changes nothing.
	ID string
	// Base is the number of the ticket whose resulting state the operator had seen.
	Base    int64
	Comment string

	Services       map[describer.ServiceID]*describer.Service    `json:",omitempty"`
	Jobs           map[describer.JobID]*describer.Job            `json:",omitempty"`
	Quotas         map[describer.TeamID]*describer.Quota         `json:",omitempty"`
	Limits         map[describer.TeamID]*Limit                   `json:",omitempty"`
	Routes         map[RouteID]*Route                            `json:",omitempty"`
	DrainedServers map[describer.BackendServerID]*DrainedServer  `json:",omitempty"`
	DrainedZones   map[describer.AvailabilityZoneID]*DrainedZone `json:",omitempty"`
	DeadInstances  map[describer.InstanceID]*DeadInstance        `json:",omitempty"`
}

// Numbered is an accepted ticket as the store holds it.
type Numbered struct {
	Number int64
	// WriteID is the nonce of the write; the writer recognises its own write by it when the answer was lost.
	WriteID string
	// Previous is the WriteID of the ticket before; it is empty for the first ticket. It tells a ticket of the
	// sequence from one that was written under the number of a ticket that had been compacted.
	Previous   string
	AcceptedAt time.Time
	AcceptedBy describer.InstanceID
	Ticket     Ticket
}

// WithBase returns a copy that is based on another ticket.
func (t Ticket) WithBase(base int64) Ticket {
	t.Base = base
	return t
}

// Digest identifies the content. The base is left out, because a client that retries may have read a later base.
func (t Ticket) Digest() string {
	t.Base = 0
	encoded, err := json.Marshal(t)
	if err != nil {
		panic("ticketer: a ticket has no value that JSON cannot hold: " + err.Error())
	}
	sum := sha256.Sum256(encoded)
	return hex.EncodeToString(sum[:16])
}
