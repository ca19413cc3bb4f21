package coordinator

import (
	"egretring.example/egretring/conductor"
	"egretring.example/egretring/keeper"
	"egretring.example/egretring/specifier"
)

// TransferPrefix is the prefix of the keys that record which shard holds a backend server, one key for each server that
// was moved. They belong to the cell, not to a shard.
const TransferPrefix = "egretring/transfers/"

// Shards is what the coordinator of one of several shards knows about the cell. Its owner may borrow backend servers from
// the owners of the other shards.
type Shards struct {
	Index int
	Count int
	// Store holds the keys of the whole cell, and OwnerKey returns the key of the owner of a shard in it.
	Store    keeper.TransactionalStore
	OwnerKey func(shard int) string
	// HomeOf returns the shard of a server that is not transferred.
	HomeOf func(server specifier.Server) int
	// Peer returns this instance's coordinator of a shard, or nil before all are built.
	Peer func(shard int) *Coordinator
}

// WithShards makes the coordinator one of several shards. Its directory has to return the servers of the whole cell.
func WithShards(shards Shards) Option {
	return func(s *settings) {
		s.shards = &shards
		s.conductor = append(s.conductor, conductor.WithShard(shards.Index, shards.HomeOf))
	}
}

func transferKey(server specifier.ServerID) string {
	return TransferPrefix + string(server)
}
