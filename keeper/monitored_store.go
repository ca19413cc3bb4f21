package keeper

import (
	"context"

	"github.com/pkg/errors"
)

// MonitoredStore records in a Health whether the store serves its calls.
type MonitoredStore struct {
	store  TransactionalStore
	health *Health
}

var _ TransactionalStore = (*MonitoredStore)(nil)

// Monitor returns a store that records the outcome of its calls.
func Monitor(store TransactionalStore, health *Health) *MonitoredStore {
	return &MonitoredStore{store: store, health: health}
}

// record records the outcome of a call. A call that its caller has cancelled says nothing about the store.
func (m *MonitoredStore) record(ctx context.Context, err error) {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
	case IsErrNoEffect(err), IsErrUnavailable(err):
		m.health.Record(false)
	default:
		m.health.Record(true)
	}
}

// Get implements TransactionalStore.
func (m *MonitoredStore) Get(ctx context.Context, key string) (Entry, error) {
	entry, err := m.store.Get(ctx, key)
	m.record(ctx, err)
	return entry, err
}

// List implements TransactionalStore.
func (m *MonitoredStore) List(ctx context.Context, prefix string) (Page, error) {
	page, err := m.store.List(ctx, prefix)
	m.record(ctx, err)
	return page, err
}

// Commit implements TransactionalStore.
func (m *MonitoredStore) Commit(ctx context.Context, transaction Transaction) (int64, error) {
	revision, err := m.store.Commit(ctx, transaction)
	m.record(ctx, err)
	return revision, err
}

// Grant implements TransactionalStore.
func (m *MonitoredStore) Grant(ctx context.Context, options LeaseOptions) (LeaseID, error) {
	lease, err := m.store.Grant(ctx, options)
	m.record(ctx, err)
	return lease, err
}

// Renew implements TransactionalStore.
func (m *MonitoredStore) Renew(ctx context.Context, lease LeaseID) error {
	err := m.store.Renew(ctx, lease)
	m.record(ctx, err)
	return err
}

// Revoke implements TransactionalStore.
func (m *MonitoredStore) Revoke(ctx context.Context, lease LeaseID) error {
	err := m.store.Revoke(ctx, lease)
	m.record(ctx, err)
	return err
}

// Watch implements TransactionalStore. A healthy store may cut a watch that waits, so that only its success is recorded.
func (m *MonitoredStore) Watch(ctx context.Context, options WatchOptions) (Changes, error) {
	changes, err := m.store.Watch(ctx, options)
	if err == nil {
		m.health.Record(true)
	}
	return changes, err
}
