package sharder

import (
	"context"
	"strings"

	"github.com/pkg/errors"

	"egretring.example/egretring/keeper"
)

// rootPrefix is the prefix of all keys of this program.
const rootPrefix = "egretring/"

// cellKeyPrefix marks a key that is that of the cell, not of the shard.
const cellKeyPrefix = "cell:"

// shardStore maps the keys of a cell without shards to the keys of a shard, and back.
type shardStore struct {
	keeper.TransactionalStore
	prefix string
}

func (s shardStore) storeKey(key string) string {
	if cellKey, marked := strings.CutPrefix(key, cellKeyPrefix); marked {
		return cellKey
	}
	return s.prefix + strings.TrimPrefix(key, rootPrefix)
}

func (s shardStore) cellEntry(entry keeper.Entry) keeper.Entry {
	own, found := strings.CutPrefix(entry.Key, s.prefix)
	if !found {
		entry.Key = cellKeyPrefix + entry.Key
		return entry
	}
	entry.Key = rootPrefix + own
	return entry
}

// Get implements keeper.TransactionalStore.
func (s shardStore) Get(ctx context.Context, key string) (keeper.Entry, error) {
	entry, err := s.TransactionalStore.Get(ctx, s.storeKey(key))
	return s.cellEntry(entry), err
}

// List implements keeper.TransactionalStore.
func (s shardStore) List(ctx context.Context, prefix string) (keeper.Page, error) {
	page, err := s.TransactionalStore.List(ctx, s.storeKey(prefix))
	for i, entry := range page.Entries {
		page.Entries[i] = s.cellEntry(entry)
	}
	return page, err
}

// Commit implements keeper.TransactionalStore.
func (s shardStore) Commit(ctx context.Context, transaction keeper.Transaction) (int64, error) {
	var mapped keeper.Transaction
	for _, c := range transaction.Conditions {
		c.Key = s.storeKey(c.Key)
		mapped.Conditions = append(mapped.Conditions, c)
	}
	for _, w := range transaction.Writes {
		w.Key = s.storeKey(w.Key)
		mapped.Writes = append(mapped.Writes, w)
	}
	for _, key := range transaction.Deletes {
		mapped.Deletes = append(mapped.Deletes, s.storeKey(key))
	}
	revision, err := s.TransactionalStore.Commit(ctx, mapped)
	var conflict *keeper.ConflictError
	if errors.As(err, &conflict) {
		mapped := &keeper.ConflictError{}
		for _, entry := range conflict.Current {
			mapped.Current = append(mapped.Current, s.cellEntry(entry))
		}
		return revision, mapped
	}
	return revision, err
}

// Watch implements keeper.TransactionalStore.
func (s shardStore) Watch(ctx context.Context, options keeper.WatchOptions) (keeper.Changes, error) {
	options.Prefix = s.storeKey(options.Prefix)
	changes, err := s.TransactionalStore.Watch(ctx, options)
	for i, change := range changes.Changes {
		changes.Changes[i].Entry = s.cellEntry(change.Entry)
	}
	return changes, err
}
