package coordinator

import (
	"context"

	"egretring.example/egretring/conductor"
	"egretring.example/egretring/messenger"
)

type lendReply struct {
	// Owner is false when the instance does not own the shard.
	Owner bool
}

// handleLend passes a wish of another shard on to the state machine of this one.
func (c *Coordinator) handleLend(_ context.Context, wanted conductor.ServersWanted) (lendReply, error) {
	o := c.owner.Load()
	if o == nil {
		return lendReply{}, nil
	}
	o.post(wanted)
	return lendReply{Owner: true}, nil
}

// borrow asks the owners of all other shards for an equal part of the wanted servers. The wish is repeated while servers
// are missing, so that a lost call only delays them.
func (o *owner) borrow(ctx context.Context, c conductor.Borrow) {
	shards := o.settings.shards
	others := shards.Count - 1
	c.Wanted.Tasks = (c.Wanted.Tasks + others - 1) / others
	for shard := range shards.Count {
		if peer := shards.Peer(shard); shard != shards.Index && peer != nil {
			go o.askLender(ctx, peer, c.Wanted)
		}
	}
}

func (o *owner) askLender(ctx context.Context, peer *Coordinator, wanted conductor.ServersWanted) {
	if reply, err := peer.handleLend(ctx, wanted); err != nil || reply.Owner {
		return
	}
	lender := peer.elector.Current()
	if lender.Epoch == 0 || lender.Owner.Instance == o.settings.instance {
		return
	}
	_, err := messenger.Call[conductor.ServersWanted, lendReply](ctx, peer.shortCalls, lender.Owner.Address, methodLend, wanted)
	if err != nil {
		o.settings.logger.Info("owner of another shard was not asked for servers; it is asked again while they are missing",
			"Owner", lender.Owner.Instance, "Error", err.Error())
	}
}
