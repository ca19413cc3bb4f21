package sharder

import (
	"context"
	"strings"

	"github.com/pkg/errors"

	"egretring.example/egretring/keeper"
)

// rootPrefix is the prefix of all keys of the product.
const rootPrefix = "egretring/"

// shardStore shows the keys of a shard as those of a cell without shards.
type shardStore struct {
	keeper.TransactionalStore
	prefix string
}

func (s shardStore) inside(key string) string {
	return s.prefix + strings.TrimPrefix(key, rootPrefix)
}

func (s shardStore) outside(entry keeper.Entry) keeper.Entry {
	entry.Key = rootPrefix + strings.TrimPrefix(entry.Key, s.prefix)
	return entry
}

// Get implements keeper.TransactionalStore.
func (s shardStore) Get(ctx context.Context, key string) (keeper.Entry, error) {
	entry, err := s.TransactionalStore.Get(ctx, s.inside(key))
	return s.outside(entry), err
}

// List implements keeper.TransactionalStore.
func (s shardStore) List(ctx context.Context, prefix string) (keeper.Page, error) {
	page, err := s.TransactionalStore.List(ctx, s.inside(prefix))
	for i, entry := range page.Entries {
		page.Entries[i] = s.outside(entry)
	}
	return page, err
}

// Commit implements keeper.TransactionalStore.
func (s shardStore) Commit(ctx context.Context, transaction keeper.Transaction) (int64, error) {
	var inside keeper.Transaction
	for _, c := range transaction.Conditions {
		c.Key = s.inside(c.Key)
		inside.Conditions = append(inside.Conditions, c)
	}
	for _, w := range transaction.Writes {
		w.Key = s.inside(w.Key)
		inside.Writes = append(inside.Writes, w)
	}
	for _, key := range transaction.Deletes {
		inside.Deletes = append(inside.Deletes, s.inside(key))
	}
	revision, err := s.TransactionalStore.Commit(ctx, inside)
	var conflict *keeper.ConflictError
	if errors.As(err, &conflict) {
		outside := &keeper.ConflictError{}
		for _, entry := range conflict.Current {
			outside.Current = append(outside.Current, s.outside(entry))
		}
		return revision, outside
	}
	return revision, err
}

// Watch implements keeper.TransactionalStore.
func (s shardStore) Watch(ctx context.Context, options keeper.WatchOptions) (keeper.Changes, error) {
	options.Prefix = s.inside(options.Prefix)
	changes, err := s.TransactionalStore.Watch(ctx, options)
	for i, change := range changes.Changes {
		changes.Changes[i].Entry = s.outside(change.Entry)
	}
	return changes, err
}
