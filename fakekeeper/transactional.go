package fakekeeper

import (
	"cmp"
	"context"
	"sort"
	"strings"
	"time"

	"github.com/pkg/errors"

	"egretring.example/egretring/keeper"
)

// Transactional adapts a Store to keeper.TransactionalStore: conditions compare keys by revision, and a transaction
// changes several keys atomically.
type Transactional struct {
	store *Store
}

var _ keeper.TransactionalStore = (*Transactional)(nil)

// NewTransactional returns an empty transactional store.
func NewTransactional() *Transactional {
	return &Transactional{store: New()}
}

// SetFaults replaces the simulated faults of the store.
func (t *Transactional) SetFaults(faults Faults) {
	t.store.SetFaults(faults)
}

// Calls returns the counters of the calls that the store has received.
func (t *Transactional) Calls() Calls {
	return t.store.Calls()
}

// Compact drops the history, so that a watch that starts at an older revision fails with keeper.ErrCompacted.
func (t *Transactional) Compact() {
	t.store.mu.Lock()
	defer t.store.mu.Unlock()
	t.store.history = nil
	t.store.compactedAt = t.store.revision
}

// DeleteKey deletes a key without ending its lease. It simulates a store that removes a key on its own.
func (t *Transactional) DeleteKey(key string) {
	t.store.mu.Lock()
	defer t.store.mu.Unlock()
	if entry, ok := t.store.entries[key]; ok {
		t.store.recordChange(keeper.Change{Entry: entry, Deleted: true})
	}
}

// Get implements keeper.TransactionalStore.
func (t *Transactional) Get(ctx context.Context, key string) (keeper.Entry, error) {
	return t.store.Get(ctx, key)
}

// List implements keeper.TransactionalStore.
func (t *Transactional) List(ctx context.Context, prefix string) (keeper.Page, error) {
	return t.store.List(ctx, prefix)
}

// Commit implements keeper.TransactionalStore.
func (t *Transactional) Commit(ctx context.Context, transaction keeper.Transaction) (int64, error) {
	outcome, err := t.store.begin(ctx, writeCall)
	if err != nil {
		return 0, err
	}
	t.store.mu.Lock()
	defer t.store.mu.Unlock()
	for _, write := range transaction.Writes {
		if len(write.Value) > cmp.Or(t.store.faults.MaxValueBytes, keeper.MaxValueBytes) {
			return 0, errors.Wrapf(keeper.ErrInvalid, "value of %s has %d bytes", write.Key, len(write.Value))
		}
	}
	if late := t.store.faults.LateBy; outcome.lost && late > 0 {
		time.AfterFunc(late, func() {
			t.store.mu.Lock()
			defer t.store.mu.Unlock()
			// The result is dropped, because the caller has already received ErrUnavailable.
			_, _ = t.store.apply(transaction)
		})
		return 0, keeper.ErrUnavailable
	}
	revision, err := t.store.apply(transaction)
	return revision, outcome.answerWith(err)
}

// apply makes all changes of a transaction, or none if a condition does not hold or a lease has expired.
func (s *Store) apply(transaction keeper.Transaction) (int64, error) {
	s.expire()
	conflict := &keeper.ConflictError{}
	satisfied := true
	for _, condition := range transaction.Conditions {
		entry, ok := s.entries[condition.Key]
		if ok {
			conflict.Current = append(conflict.Current, cloneEntry(entry))
		}
		satisfied = satisfied && entry.Revision == condition.Revision
	}
	if !satisfied {
		return 0, conflict
	}
	for _, write := range transaction.Writes {
		if write.Lease != 0 && s.leases[write.Lease] == nil {
			return 0, keeper.ErrLeaseExpired
		}
	}
	s.revision++
	for _, write := range transaction.Writes {
		entry := keeper.Entry{
			Key: write.Key, Value: append([]byte(nil), write.Value...), Version: s.entries[write.Key].Version + 1,
			Lease: write.Lease,
		}
		s.recordAtRevision(keeper.Change{Entry: entry})
	}
	for _, key := range transaction.Deletes {
		if entry, ok := s.entries[key]; ok {
			s.recordAtRevision(keeper.Change{Entry: entry, Deleted: true})
		}
	}
	return s.revision, nil
}

// Grant implements keeper.TransactionalStore.
func (t *Transactional) Grant(ctx context.Context, options keeper.LeaseOptions) (keeper.LeaseID, error) {
	return t.store.Grant(ctx, options.TimeToLive)
}

// Renew implements keeper.TransactionalStore.
func (t *Transactional) Renew(ctx context.Context, lease keeper.LeaseID) error {
	return t.store.Renew(ctx, lease)
}

// Revoke implements keeper.TransactionalStore.
func (t *Transactional) Revoke(ctx context.Context, lease keeper.LeaseID) error {
	return t.store.Revoke(ctx, lease)
}

// Watch implements keeper.TransactionalStore.
func (t *Transactional) Watch(ctx context.Context, options keeper.WatchOptions) (keeper.Changes, error) {
	t.store.mu.Lock()
	compacted := options.AfterRevision < t.store.compactedAt
	mute := t.store.faults.MuteWatches
	t.store.mu.Unlock()
	if mute {
		return keeper.Changes{Revision: options.AfterRevision}, sleep(ctx, options.Wait)
	}
	if compacted {
		return keeper.Changes{}, keeper.ErrCompacted
	}
	waiting, cancel := context.WithTimeout(ctx, options.Wait)
	defer cancel()
	changes, err := t.store.Watch(waiting, options.Prefix, options.AfterRevision)
	if err != nil && waiting.Err() != nil && ctx.Err() == nil {
		return keeper.Changes{Revision: options.AfterRevision}, nil
	}
	if options.MaxBytes > 0 && valueBytes(changes) > options.MaxBytes {
		return keeper.Changes{}, keeper.ErrResponseTooLarge
	}
	return changes, err
}

func valueBytes(changes keeper.Changes) int64 {
	total := 0
	for _, change := range changes.Changes {
		total += len(change.Entry.Value)
	}
	return int64(total)
}

// Keys returns all keys with a prefix, sorted.
func (t *Transactional) Keys(prefix string) []string {
	t.store.mu.Lock()
	defer t.store.mu.Unlock()
	var keys []string
	for key := range t.store.entries {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	return keys
}
