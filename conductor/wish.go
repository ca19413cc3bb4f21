package conductor

import (
	"cmp"
	"time"

	"egretring.example/egretring/specifier"
)

// ServersWanted reports that another shard wants to borrow servers for a waiting step.
type ServersWanted struct {
	// Shard is the shard that borrows, and Epoch that of its owner.
	Shard int
	Epoch int64
	Step  specifier.StepID
	// AcceptedAt is when the step's job was accepted.
	AcceptedAt time.Time
	Service    string
	// Need is what a task of the step occupies, and Tasks how many of them the wanted servers should fit when empty.
	Need          specifier.Resources
	Tasks         int
	MaxPerServer  int    `json:",omitempty"`
	RequiredLabel string `json:",omitempty"`
	// Refused are the servers that advice has refused for the step.
	Refused []specifier.ServerID `json:",omitempty"`
	// ReadRevision is a revision of the store up to which the borrowing shard has read all transfers.
	ReadRevision int64
	// IdleOnly is set when the step fits the servers of its shard but waits for other runs to end. Only servers that nothing
	// waits for are lent then.
	IdleOnly bool `json:",omitempty"`
	// Worthless is set when the result of the step's job has no value to its caller any more. A busy shard lends no idle servers then.
	Worthless bool `json:",omitempty"`
	// Load is that of the service in the shard that borrows. Idle servers are lent by shards with a lower load. Earlier versions do
	// not send it.
	Load int `json:",omitempty"`
	// Whole is set when the step would not fit the cell if each shard lent only a part of its servers.
	Whole bool `json:",omitempty"`
}

// Borrow asks the owners of the other shards for servers.
type Borrow struct{ Wanted ServersWanted }

func (Borrow) command()      {}
func (ServersWanted) event() {}

// fitsEmpty returns how many of the wanted tasks fit a server without runs.
func (w ServersWanted) fitsEmpty(server specifier.Server) int {
	if server.Draining || server.Service != w.Service || !server.HasLabel(w.RequiredLabel) {
		return 0
	}
	limit := w.Tasks
	if w.MaxPerServer > 0 {
		limit = min(limit, w.MaxPerServer)
	}
	return w.Need.Count(server.Capacity, limit)
}

// compareAge orders the step first whose job was accepted earlier. All shards use this order, so that two steps that want
// each other's servers do not wait for each other.
func compareAge(a, b ServersWanted) int {
	return cmp.Or(
		a.AcceptedAt.Compare(b.AcceptedAt), cmp.Compare(a.Step.Job, b.Step.Job),
		cmp.Compare(a.Step.Step, b.Step.Step), cmp.Compare(a.Step.Occurrence, b.Step.Occurrence),
	)
}
