package distributor

import (
	"context"
	"sync"
	"time"

	"egretring.example/egretring/keeper"
)

const (
	// callTimeout is long enough for a store that is slow but answers.
	callTimeout = 5 * time.Second
	// slowAfter is the time of a call from which on the store counts as slow; it normally answers in milliseconds.
	slowAfter = time.Second
	// watchTimeout bounds one watch, so that a watch whose connection was lost silently is noticed.
	watchTimeout = 10 * time.Second
)

// StoreStatus says how the store answers.
type StoreStatus struct {
	Reachable bool
	Slow      bool
	// Since is the time since which the store has been unreachable or slow; it is zero when it is neither.
	Since time.Time
}

// monitor bounds the calls to the store and notes how it answers.
type monitor struct {
	store keeper.Store

	mu     sync.Mutex
	status StoreStatus
}

func newMonitor(store keeper.Store) *monitor {
	return &monitor{store: store, status: StoreStatus{Reachable: true}}
}

func (m *monitor) current() StoreStatus {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.status
}

func (m *monitor) get(ctx context.Context, key string) (entry keeper.Entry, err error) {
	err = m.call(ctx, func(ctx context.Context) error {
		entry, err = m.store.Get(ctx, key)
		return err
	})
	return entry, err
}

func (m *monitor) list(ctx context.Context, prefix string) (page keeper.Page, err error) {
	err = m.call(ctx, func(ctx context.Context) error {
		page, err = m.store.List(ctx, prefix)
		return err
	})
	return page, err
}

// create writes a key that must not exist.
func (m *monitor) create(ctx context.Context, key string, value []byte) error {
	return m.call(ctx, func(ctx context.Context) error {
		_, err := m.store.Put(ctx, keeper.PutOptions{Key: key, Value: value})
		return err
	})
}

func (m *monitor) remove(ctx context.Context, key string, version int64) error {
	return m.call(ctx, func(ctx context.Context) error {
		return m.store.Delete(ctx, key, version)
	})
}

// watch returns the changes of the tickets after a revision; without changes it returns the same revision after a
// while.
func (m *monitor) watch(ctx context.Context, after int64) (keeper.Changes, error) {
	watchContext, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	began := time.Now()
	changes, err := m.store.Watch(watchContext, ticketsPrefix, after)
	if err == nil {
		// A watch waits for changes, so its duration says nothing about the speed of the store.
		m.note(time.Now(), nil)
		return changes, nil
	}
	if watchContext.Err() != nil {
		return keeper.Changes{Revision: after}, ctx.Err()
	}
	m.note(began, err)
	return changes, err
}

func (m *monitor) call(ctx context.Context, run func(ctx context.Context) error) error {
	callContext, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	began := time.Now()
	err := run(callContext)
	if ctx.Err() == nil {
		m.note(began, err)
	}
	return err
}

func (m *monitor) note(began time.Time, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	reachable := !keeper.IsErrUnavailable(err)
	slow := time.Since(began) >= slowAfter
	if reachable && !slow {
		m.status = StoreStatus{Reachable: true}
		return
	}
	if m.status.Since.IsZero() {
		m.status.Since = began
	}
	m.status.Reachable, m.status.Slow = reachable, slow
}
