package distributor

import (
	"context"
	"sync"
	"time"

	"egretring.example/egretring/keeper"
	"egretring.example/egretring/watchdog"
)

const (
	// callTimeout is the longest time without progress of a call other than a watch; it is long enough for a store that is
	// slow but responds.
	callTimeout = 5 * time.Second
	// slowAfter is the duration of a call at or above which the store counts as slow; it normally responds in
	// milliseconds.
	slowAfter = time.Second
	// watchTimeout bounds the time in which a watch gets no data, so that a connection that was lost silently is noticed.
	watchTimeout = 10 * time.Second
)

// StoreStatus describes how the store responded to the last call.
type StoreStatus struct {
	Reachable bool
	Slow      bool
	// Since is the time since which the store has been unreachable or slow; it is zero when the store is neither.
	Since time.Time
}

// monitor sets a timeout on each call to the store and records whether the store is reachable and slow.
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

// create writes a key that must not exist yet.
func (m *monitor) create(ctx context.Context, key string, value []byte) error {
	return m.call(ctx, func(ctx context.Context) error {
		_, err := m.store.Put(ctx, keeper.PutOptions{Key: key, Value: value})
		return err
	})
}

// remove deletes a key if it still has the given version.
func (m *monitor) remove(ctx context.Context, key string, version int64) error {
	return m.call(ctx, func(ctx context.Context) error {
		return m.store.Delete(ctx, key, version)
	})
}

// watch returns the changes of the tickets after a revision. If there are none within watchTimeout, it returns no
// changes and the same revision.
func (m *monitor) watch(ctx context.Context, after int64) (keeper.Changes, error) {
	watchContext, progress := watchdog.Watch(ctx, 0, watchTimeout)
	defer progress.Stop()
	began := time.Now()
	changes, err := m.store.Watch(watchContext, ticketsPrefix, after)
	if err == nil {
		// A watch waits for changes, so its duration does not show whether the store is slow.
		m.observe(time.Now(), nil)
		return changes, nil
	}
	if watchContext.Err() != nil {
		return keeper.Changes{Revision: after}, ctx.Err()
	}
	m.observe(began, err)
	return changes, err
}

// call runs a call to the store with callTimeout. A call that the caller cancelled is not recorded.
func (m *monitor) call(ctx context.Context, run func(ctx context.Context) error) error {
	callContext, progress := watchdog.Watch(ctx, 0, callTimeout)
	defer progress.Stop()
	began := time.Now()
	err := run(callContext)
	if ctx.Err() == nil {
		m.observe(began, err)
	}
	return err
}

// observe records the result of a call that began at a time.
func (m *monitor) observe(began time.Time, err error) {
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
