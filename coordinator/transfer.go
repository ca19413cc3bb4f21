package coordinator

import (
	"context"
	"encoding/json"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"egretring.example/egretring/conductor"
	"egretring.example/egretring/keeper"
	"egretring.example/egretring/specifier"
	"egretring.example/egretring/timekeeper"
)

// maxTransferDeletes bounds the keys that one transaction deletes; each also has a condition, and the store admits 32
// entries.
const maxTransferDeletes = 15

// noShard stands for the unknown holder of a server.
const noShard = -1

// readTransfers reads which shards hold the servers that were moved. The read is linearizable.
func (o *owner) readTransfers(ctx context.Context) ([]conductor.Transfer, error) {
	page, err := o.settings.shards.Store.List(ctx, TransferPrefix)
	if err != nil {
		return nil, errors.Wrap(err, "list transfers of backend servers")
	}
	transfers := make([]conductor.Transfer, 0, len(page.Entries))
	for _, entry := range page.Entries {
		transfers = append(transfers, o.transferIn(entry))
	}
	return transfers, nil
}

// transferIn returns the transfer in an entry of the store. One that cannot be decoded has no known holder, so that no owner
// uses the server.
func (o *owner) transferIn(entry keeper.Entry) conductor.Transfer {
	transfer, err := decodeTransfer(entry)
	if err != nil {
		o.settings.logger.Error("transfer cannot be decoded; its server is not used", "Key", entry.Key, "Error", err.Error())
		transfer.Shard, transfer.Home = noShard, noShard
	}
	return transfer
}

func decodeTransfer(entry keeper.Entry) (conductor.Transfer, error) {
	var transfer conductor.Transfer
	err := json.Unmarshal(entry.Value, &transfer)
	transfer.Server = specifier.ServerID(strings.TrimPrefix(entry.Key, TransferPrefix))
	transfer.Revision = entry.Revision
	return transfer, errors.Wrapf(err, "decode transfer %s", entry.Key)
}

// deleteReturned deletes the transfers of servers that are back at this shard. Those that are older than this owner's
// election no longer serve a purpose: the epochs of this owner and its successors, and so their fencing tokens, are higher
// than those of all earlier holders. A server that is not listed comes back under its former address or as a new
// incarnation, which has seen no token.
func (o *owner) deleteReturned(ctx context.Context, recovered conductor.ServersListed) {
	homes := make(map[specifier.ServerID]int, len(recovered.Servers))
	for _, server := range recovered.Servers {
		homes[server.ID] = o.settings.shards.HomeOf(server)
	}
	index := o.settings.shards.Index
	returned := slices.DeleteFunc(slices.Clone(recovered.Transfers), func(t conductor.Transfer) bool {
		home, listed := homes[t.Server]
		return t.Shard != index || t.Home != index || t.Revision > o.ownership.Epoch || listed && home != index
	})
	for batch := range slices.Chunk(returned, maxTransferDeletes) {
		transaction := keeper.Transaction{Conditions: []keeper.Condition{o.cellCondition(index, o.ownership.Epoch)}}
		for _, t := range batch {
			key := transferKey(t.Server)
			transaction.Conditions = append(transaction.Conditions, keeper.Condition{Key: key, Revision: t.Revision})
			transaction.Deletes = append(transaction.Deletes, key)
		}
		if _, err := o.settings.shards.Store.Commit(ctx, transaction); err != nil {
			o.settings.logger.Info("failed to delete transfers of returned servers; a later owner deletes them",
				"Transfers", len(batch), "Error", err.Error())
		}
	}
}

// cellCondition returns the condition that a shard still has the owner of an epoch.
func (o *owner) cellCondition(shard int, epoch int64) keeper.Condition {
	return keeper.Condition{Key: o.settings.shards.OwnerKey(shard), Revision: epoch}
}

// move transfers servers to another shard and retries until the outcome is known: the transaction has taken effect, or it
// cannot any more because one of its conditions does not hold, as no revision ever returns. The condition on the owner of
// the other shard keeps an earlier owner of it from taking the servers over.
func (o *owner) move(ctx context.Context, c conductor.Move) {
	shards := o.settings.shards
	target := c.To[0].Shard
	epoch := c.To[0].Epoch
	if epoch == 0 {
		epoch = o.ownerEpochOf(target)
	}
	if epoch == 0 {
		o.post(conductor.Moved{Number: c.Number, Transfers: c.From})
		return
	}
	transaction := keeper.Transaction{Conditions: []keeper.Condition{
		o.cellCondition(shards.Index, o.ownership.Epoch), o.cellCondition(target, epoch),
	}}
	for i, to := range c.To {
		to.Epoch = epoch
		c.To[i] = to
		value, err := json.Marshal(to)
		if err != nil {
			o.settings.logger.Error("failed to encode the transfer of a backend server", "Server", to.Server, "Error", err.Error())
			o.post(conductor.Moved{Number: c.Number, Transfers: c.From})
			return
		}
		key := transferKey(to.Server)
		transaction.Conditions = append(transaction.Conditions, keeper.Condition{Key: key, Revision: c.From[i].Revision})
		transaction.Writes = append(transaction.Writes, keeper.Write{Key: key, Value: value})
	}
	for attempt := 0; ctx.Err() == nil; attempt++ {
		revision, err := o.commitTimeout.Commit(ctx, shards.Store, transaction, attempt)
		var conflict *keeper.ConflictError
		switch {
		case err == nil:
			for i := range c.To {
				c.To[i].Revision = revision
			}
			o.post(conductor.Moved{Number: c.Number, Transfers: c.To})
			return
		case errors.As(err, &conflict):
			o.moveConflicted(c, conflict)
			return
		}
		timekeeper.Sleep(ctx, retryInterval)
	}
}

// moveConflicted reports the transfers that the store has after a conflict. They are the new ones if an earlier attempt
// has taken effect.
func (o *owner) moveConflicted(c conductor.Move, conflict *keeper.ConflictError) {
	if conflict.EntryOf(o.settings.shards.OwnerKey(o.settings.shards.Index)).Revision != o.ownership.Epoch {
		o.elector.OwnershipLost(o.ownership.Epoch, "another instance owns the shard, or the owner's key is gone")
		return
	}
	var current []conductor.Transfer
	for _, from := range c.From {
		entry := conflict.EntryOf(transferKey(from.Server))
		if entry.Revision == 0 {
			current = append(current, conductor.Transfer{Server: from.Server, Shard: from.Home, Home: from.Home})
			continue
		}
		current = append(current, o.transferIn(entry))
	}
	o.post(conductor.Moved{Number: c.Number, Transfers: current})
}

// ownerEpochOf returns the epoch of the owner of another shard, or zero while none is known.
func (o *owner) ownerEpochOf(shard int) int64 {
	if peer := o.settings.shards.Peer(shard); peer != nil {
		return peer.elector.Current().Epoch
	}
	return 0
}
