package distributor

import (
	"context"
	"sync/atomic"

	"egretring.example/egretring/fakekeeper"
	"egretring.example/egretring/keeper"
)

// partitionedStore is one instance's connection to a store. It can be interrupted while other instances reach the
// store.
type partitionedStore struct {
	*fakekeeper.Store
	down atomic.Bool
}

func (s *partitionedStore) failure() error {
	if s.down.Load() {
		return keeper.ErrUnavailable
	}
	return nil
}

func (s *partitionedStore) Get(ctx context.Context, key string) (keeper.Entry, error) {
	if err := s.failure(); err != nil {
		return keeper.Entry{}, err
	}
	return s.Store.Get(ctx, key)
}

func (s *partitionedStore) List(ctx context.Context, prefix string) (keeper.Page, error) {
	if err := s.failure(); err != nil {
		return keeper.Page{}, err
	}
	return s.Store.List(ctx, prefix)
}

func (s *partitionedStore) Watch(ctx context.Context, prefix string, after int64) (keeper.Changes, error) {
	changes, err := s.Store.Watch(ctx, prefix, after)
	if s.failure() != nil {
		return keeper.Changes{}, s.failure()
	}
	return changes, err
}
