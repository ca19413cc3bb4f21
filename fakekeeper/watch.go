package fakekeeper

import (
	"context"
	"strings"
	"time"

	"github.com/pkg/errors"

	"egretring.example/egretring/keeper"
)

// Watch implements keeper.Store.
func (s *Store) Watch(ctx context.Context, prefix string, after int64) (keeper.Changes, error) {
	outcome, err := s.begin(ctx, watchCall)
	if err != nil {
		return keeper.Changes{}, err
	}
	for {
		changes, changed, wake := s.changesAfter(prefix, after)
		if len(changes.Changes) > 0 {
			return changes, outcome.answer()
		}
		if err := waitForChange(ctx, changed, wake); err != nil {
			return keeper.Changes{}, err
		}
		if s.isDown() {
			return keeper.Changes{}, keeper.ErrUnavailable
		}
	}
}

func (s *Store) changesAfter(prefix string, after int64) (keeper.Changes, <-chan struct{}, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	changes := keeper.Changes{Revision: s.revision}
	for i := len(s.history) - 1; i >= 0 && s.history[i].Entry.Revision > after; i-- {
		if strings.HasPrefix(s.history[i].Entry.Key, prefix) {
			change := s.history[i]
			change.Entry = cloneEntry(change.Entry)
			changes.Changes = append(changes.Changes, change)
		}
	}
	reverse(changes.Changes)
	wake, _ := s.nextExpiry()
	return changes, s.changed, wake
}

func reverse(changes []keeper.Change) {
	for i, j := 0, len(changes)-1; i < j; i, j = i+1, j-1 {
		changes[i], changes[j] = changes[j], changes[i]
	}
}

func waitForChange(ctx context.Context, changed <-chan struct{}, wake time.Time) error {
	var expiry <-chan time.Time
	if !wake.IsZero() {
		timer := time.NewTimer(time.Until(wake))
		defer timer.Stop()
		expiry = timer.C
	}
	select {
	case <-changed:
		return nil
	case <-expiry:
		return nil
	case <-ctx.Done():
		return errors.Wrap(keeper.ErrUnavailable, ctx.Err().Error())
	}
}
