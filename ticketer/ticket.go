package ticketer

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"egretring.example/egretring/describer"
)

// Ticket is a change of the configuration. It contains each object that it sets as a whole; an object that is nil is
// deleted.
type Ticket struct {
	// ID is chosen by the client; applying the same ID and content again changes nothing.
	ID string
	// Base is the number of the last ticket in the state on which the operator based the change.
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

// AcceptedTicket is an accepted ticket as it is stored.
type AcceptedTicket struct {
	Number int64
	// WriteID is the nonce of the write, by which the writer recognises its own write when the response was lost.
	WriteID string
	// Previous is the WriteID of the ticket before; it is empty for the first ticket. It distinguishes a ticket of the
	// sequence from one that was written under the number of a ticket that had been compacted.
	Previous   string
	AcceptedAt time.Time
	AcceptedBy describer.InstanceID
	Ticket     Ticket
}

// WithBase returns a copy with another base.
func (t Ticket) WithBase(base int64) Ticket {
	t.Base = base
	return t
}

// Digest returns a digest of the content. The base is left out, because a client that retries may have read a later
// base.
func (t Ticket) Digest() string {
	t.Base = 0
	encoded, err := json.Marshal(t)
	if err != nil {
		panic("ticketer: ticket cannot be encoded as JSON: " + err.Error())
	}
	sum := sha256.Sum256(encoded)
	return hex.EncodeToString(sum[:16])
}
