package distributor

import (
	"context"
	"sync/atomic"

	"egretring.example/egretring/fakekeeper"
	"egretring.example/egretring/keeper"
)

// cutStore is a store that one instance cannot reach while others can.
type cutStore struct {
	*fakekeeper.Store
	down atomic.Bool
}

func (s *cutStore) failure() error {
	if s.down.Load() {
		return keeper.ErrUnavailable
	}
	return nil
}

func (s *cutStore) Get(ctx context.Context, key string) (keeper.Entry, error) {
	if err := s.failure(); err != nil {
		return keeper.Entry{}, err
	}
	return s.Store.Get(ctx, key)
}

func (s *cutStore) List(ctx context.Context, prefix string) (keeper.Page, error) {
	if err := s.failure(); err != nil {
		return keeper.Page{}, err
	}
	return s.Store.List(ctx, prefix)
}

func (s *cutStore) Watch(ctx context.Context, prefix string, after int64) (keeper.Changes, error) {
	changes, err := s.Store.Watch(ctx, prefix, after)
	if s.failure() != nil {
		return keeper.Changes{}, s.failure()
	}
	return changes, err
}
