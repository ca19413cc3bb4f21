package conductor

import "egretring.example/egretring/specifier"

// Transfer states which shard holds a backend server that has been moved between shards. It is the value of a key of the
// cell. A server without such a key is held by its home shard.
type Transfer struct {
	Server specifier.ServerID `json:"-"`
	// Revision is the revision of the key; zero means that there is none.
	Revision int64 `json:"-"`
	// Shard holds the server.
	Shard int
	// Home is the shard that has the server without transfers.
	Home int
	// Epoch is that of the owner of Shard when the server was transferred. An earlier owner, which may not know yet that it
	// was replaced, does not use the server.
	Epoch int64
}

// Move requests that the store transfers servers to another shard. Its outcome is reported as Moved.
type Move struct {
	// Number distinguishes the Moves of an owner.
	Number int
	// From are the transfers on whose revisions the new ones are conditional, in the order of To.
	From []Transfer
	// To have no revisions. All have the same shard and epoch; an epoch of zero stands for the present owner of that shard.
	To []Transfer
}

// Moved reports the transfers of servers as they are in the store after a Move, whether or not that took effect.
type Moved struct {
	// Number is that of the Move.
	Number    int
	Transfers []Transfer
}

func (Move) command() {}
func (Moved) event()  {}
