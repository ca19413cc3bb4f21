package sharder_test

import (
	"context"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"egretring.example/egretring/coordinator"
	"egretring.example/egretring/follower"
	"egretring.example/egretring/keeper"
)

// storeLink is the store as one instance reaches it. While it is cut, calls fail and have no effect.
type storeLink struct {
	keeper.TransactionalStore
	cut atomic.Bool
	// refusesConfiguration makes the reads and watches of the configuration fail.
	refusesConfiguration atomic.Bool
	// calls counts the reads, writes, renewals and watches, also those of the configuration.
	calls atomic.Int64
	// configurationReads counts the reads of the configuration that were served.
	configurationReads atomic.Int64
	// refusesTransfers makes the commits fail that transfer servers.
	refusesTransfers atomic.Bool
	// refusesTransferReads makes the reads of all transfers fail.
	refusesTransferReads atomic.Bool
}

func (c *cell) link() *storeLink {
	link := &storeLink{TransactionalStore: c.store}
	c.links = append(c.links, link)
	return link
}

// Get implements keeper.TransactionalStore.
func (l *storeLink) Get(ctx context.Context, key string) (keeper.Entry, error) {
	l.calls.Add(1)
	if l.cut.Load() {
		return keeper.Entry{}, keeper.ErrUnavailable
	}
	return l.TransactionalStore.Get(ctx, key)
}

// List implements keeper.TransactionalStore.
func (l *storeLink) List(ctx context.Context, prefix string) (keeper.Page, error) {
	l.calls.Add(1)
	if l.cut.Load() || prefix == coordinator.TransferPrefix && l.refusesTransferReads.Load() {
		return keeper.Page{}, keeper.ErrUnavailable
	}
	return l.TransactionalStore.List(ctx, prefix)
}

// Commit implements keeper.TransactionalStore.
func (l *storeLink) Commit(ctx context.Context, transaction keeper.Transaction) (int64, error) {
	l.calls.Add(1)
	if l.cut.Load() {
		return 0, keeper.ErrUnavailable
	}
	transfers := slices.ContainsFunc(transaction.Writes, func(w keeper.Write) bool {
		return strings.HasPrefix(w.Key, coordinator.TransferPrefix)
	})
	if transfers && l.refusesTransfers.Load() {
		return 0, keeper.ErrUnavailable
	}
	return l.TransactionalStore.Commit(ctx, transaction)
}

// Renew implements keeper.TransactionalStore.
func (l *storeLink) Renew(ctx context.Context, lease keeper.LeaseID) error {
	l.calls.Add(1)
	if l.cut.Load() {
		return keeper.ErrUnavailable
	}
	return l.TransactionalStore.Renew(ctx, lease)
}

// Watch implements keeper.TransactionalStore.
func (l *storeLink) Watch(ctx context.Context, options keeper.WatchOptions) (keeper.Changes, error) {
	l.calls.Add(1)
	if l.cut.Load() {
		return keeper.Changes{}, keeper.ErrUnavailable
	}
	changes, err := l.TransactionalStore.Watch(ctx, options)
	if l.cut.Load() {
		return keeper.Changes{}, keeper.ErrUnavailable
	}
	return changes, err
}

// linkedDirectory is the directory of the cell as one instance reads it.
type linkedDirectory struct {
	*cell
	link *storeLink
}

// Configuration implements follower.Source.
func (d linkedDirectory) Configuration(ctx context.Context, known int64) (follower.Reading, error) {
	d.link.calls.Add(1)
	if d.link.refusesConfiguration.Load() {
		return follower.Reading{}, keeper.ErrUnavailable
	}
	d.link.configurationReads.Add(1)
	return d.cell.Configuration(ctx, known)
}

// AwaitChange implements follower.Source.
func (d linkedDirectory) AwaitChange(ctx context.Context, after int64, wait time.Duration) (follower.Change, error) {
	d.link.calls.Add(1)
	if d.link.refusesConfiguration.Load() {
		return follower.Change{}, keeper.ErrUnavailable
	}
	return d.cell.AwaitChange(ctx, after, wait)
}
