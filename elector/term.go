package elector

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/pkg/errors"

	"egretring.example/egretring/keeper"
)

// TermKey is the key of the newest term. It has no lease, so that a successor can read it after the owner key is deleted.
const TermKey = "egretring/term"

// Term is a period during which one instance is the owner.
type Term struct {
	Ownership
	// Predecessors are earlier owners that may still act as the owner. The zero Owner stands for an unknown one.
	Predecessors []Owner
	// First is set when there has been no owner before.
	First bool
	// Losses are the times, on the clocks of their successors, at which earlier owners were found to have ended without a record of it,
	// or ended in the knowledge that they have left connections open. The newest are at the end.
	Losses []time.Time
	// RefusedBefore is how many owners in a row before this one have recorded that they ended because servers refused their connections.
	RefusedBefore int
}

// termRecord is the value of the term's key.
type termRecord struct {
	Owner Owner
	// Ended is set by an owner that has stopped acting as the owner.
	Ended bool `json:",omitempty"`
	// Predecessors are earlier owners that are not known to have stopped.
	Predecessors []Owner `json:",omitempty"`
	// Losses are those of the term, and those of its own owner if it has ended.
	Losses []time.Time `json:",omitempty"`
	// Refused is how many owners in a row have ended because servers refused their connections, this one included.
	Refused int `json:",omitempty"`
}

// maxLosses bounds the losses that a term records; those beyond it are the oldest.
const maxLosses = 32

// withLoss appends a loss.
func withLoss(losses []time.Time, at time.Time) []time.Time {
	losses = append(slices.Clone(losses), at)
	return losses[max(0, len(losses)-maxLosses):]
}

// termAfter returns the term that begins now after the recorded one, still without its ownership. There are no predecessors before
// the first term: each owner key is written together with its term, which has no lease. The owner of the recorded term may still act as the
// owner, and is lost, unless it recorded its end.
func termAfter(entry keeper.Entry, now time.Time) (Term, error) {
	if entry.Revision == 0 {
		return Term{First: true}, nil
	}
	var record termRecord
	if err := json.Unmarshal(entry.Value, &record); err != nil {
		return Term{Predecessors: []Owner{{}}, Losses: withLoss(nil, now)}, errors.Wrap(err, "decode term")
	}
	if record.Ended {
		return Term{Predecessors: record.Predecessors, Losses: record.Losses, RefusedBefore: record.Refused}, nil
	}
	return Term{Predecessors: append(record.Predecessors, record.Owner), Losses: withLoss(record.Losses, now)}, nil
}

// termTransaction returns a transaction that writes the term, on the condition that an ownership is still in the store, or
// that there is no owner if its epoch is zero.
func termTransaction(ownership Ownership, record termRecord) (keeper.Transaction, error) {
	value, err := json.Marshal(record)
	return keeper.Transaction{
		Conditions: []keeper.Condition{ownership.Condition()},
		Writes:     []keeper.Write{{Key: TermKey, Value: value}},
	}, errors.Wrap(err, "encode term")
}
