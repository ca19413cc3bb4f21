package sharder_test

import (
	"context"
	"slices"
	"strings"
	"sync/atomic"

	"egretring.example/egretring/coordinator"
	"egretring.example/egretring/keeper"
)

// storeLink is the store as one instance reaches it. While it is cut, calls fail and have no effect.
type storeLink struct {
	keeper.TransactionalStore
	cut atomic.Bool
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
	if l.cut.Load() {
		return keeper.Entry{}, keeper.ErrUnavailable
	}
	return l.TransactionalStore.Get(ctx, key)
}

// List implements keeper.TransactionalStore.
func (l *storeLink) List(ctx context.Context, prefix string) (keeper.Page, error) {
	if l.cut.Load() || prefix == coordinator.TransferPrefix && l.refusesTransferReads.Load() {
		return keeper.Page{}, keeper.ErrUnavailable
	}
	return l.TransactionalStore.List(ctx, prefix)
}

// Commit implements keeper.TransactionalStore.
func (l *storeLink) Commit(ctx context.Context, transaction keeper.Transaction) (int64, error) {
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
	if l.cut.Load() {
		return keeper.ErrUnavailable
	}
	return l.TransactionalStore.Renew(ctx, lease)
}
