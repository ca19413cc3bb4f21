package elector

import (
	"encoding/json"

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
}

// termRecord is the value of the term's key.
type termRecord struct {
	Owner Owner
	// Ended is set by an owner that has stopped acting as the owner.
	Ended bool `json:",omitempty"`
	// Predecessors are earlier owners that are not known to have stopped.
	Predecessors []Owner `json:",omitempty"`
}

// predecessorsOf returns the owners that may still act as the owner when another instance is elected. There are none before
// the first term: each owner key is written together with its term, which has no lease.
func predecessorsOf(entry keeper.Entry) ([]Owner, error) {
	if entry.Revision == 0 {
		return nil, nil
	}
	var record termRecord
	if err := json.Unmarshal(entry.Value, &record); err != nil {
		return []Owner{{}}, errors.Wrap(err, "decode term")
	}
	if record.Ended {
		return record.Predecessors, nil
	}
	return append(record.Predecessors, record.Owner), nil
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
