package elector

import (
	"encoding/json"

	"github.com/pkg/errors"

	"egretring.example/egretring/keeper"
)

// OwnerKey is the key of the owner.
const OwnerKey = "egretring/owner"

// Owner is the value of the owner's key.
type Owner struct {
	Instance string
	// Incarnation tells the processes of an instance apart.
	Incarnation int64
	// Address is where the owner answers the calls of other instances.
	Address string
}

// Ownership is an owner and its epoch, the revision of the owner's key.
type Ownership struct {
	Owner Owner
	Epoch int64
}

// Condition returns the condition under which the owner may write.
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
