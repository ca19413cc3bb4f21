package elector

import (
	"encoding/json"

	"github.com/pkg/errors"

	"egretring.example/egretring/keeper"
)

// OwnerKey is the store key that the owner holds.
const OwnerKey = "egretring/owner"

// Owner is the value of the owner key. It identifies one process of an instance.
type Owner struct {
	Instance string
	// Incarnation distinguishes the processes of an instance.
	Incarnation int64
	// Address is the address on which other instances call the owner.
	Address string
}

// Ownership is an owner and its epoch, the revision of the owner's key.
type Ownership struct {
	Owner Owner
	Epoch int64
}

// Condition returns the condition of the owner's writes: that it still holds the owner key.
func (o Ownership) Condition() keeper.Condition {
	return keeper.Condition{Key: OwnerKey, Revision: o.Epoch}
}

func ownershipOf(entry keeper.Entry) (Ownership, error) {
	if entry.Revision == 0 {
		return Ownership{}, nil
	}
	var owner Owner
	if err := json.Unmarshal(entry.Value, &owner); err != nil {
		return Ownership{}, errors.Wrap(err, "decode owner")
	}
	return Ownership{Owner: owner, Epoch: entry.Revision}, nil
}
