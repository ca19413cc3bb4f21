package fakekeeper

import (
	"bytes"
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"egretring.example/egretring/keeper"
)

// Store is an in-memory keeper.Store with simulated faults.
type Store struct {
	mu       sync.Mutex
	entries  map[string]keeper.Entry
	leases   map[keeper.LeaseID]*lease
	history  []keeper.Change
	revision int64
	// compactedAt is the revision up to which the history was dropped.
	compactedAt int64
	lastID      keeper.LeaseID
	// changed is closed and replaced at each change of the entries or the faults.
	changed chan struct{}
	faults  Faults
	calls   Calls
}

type lease struct {
	timeToLive time.Duration
	deadline   time.Time
}

// New returns an empty store.
func New() *Store {
	return &Store{
		entries: make(map[string]keeper.Entry),
		leases:  make(map[keeper.LeaseID]*lease),
		changed: make(chan struct{}),
	}
}

// Get implements keeper.Store.
func (s *Store) Get(ctx context.Context, key string) (keeper.Entry, error) {
	outcome, err := s.begin(ctx, readCall)
	if err != nil {
		return keeper.Entry{}, err
	}
	s.mu.Lock()
	s.expire()
	entry := cloneEntry(s.entries[key])
	s.mu.Unlock()
	entry.Key = key
	return entry, outcome.answer()
}

// List implements keeper.Store.
func (s *Store) List(ctx context.Context, prefix string) (keeper.Page, error) {
	outcome, err := s.begin(ctx, readCall)
	if err != nil {
		return keeper.Page{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	page := keeper.Page{Revision: s.revision}
	for key, entry := range s.entries {
		if strings.HasPrefix(key, prefix) {
			page.Entries = append(page.Entries, cloneEntry(entry))
		}
	}
	sort.Slice(page.Entries, func(i, j int) bool { return page.Entries[i].Key < page.Entries[j].Key })
	return page, outcome.answer()
}

// Put implements keeper.Store.
func (s *Store) Put(ctx context.Context, options keeper.PutOptions) (keeper.Entry, error) {
	if len(options.Value) > keeper.MaxValueBytes {
		return keeper.Entry{}, errors.Wrapf(keeper.ErrValueTooLarge, "value of key %q has %d bytes; at most %d are allowed",
			options.Key, len(options.Value), keeper.MaxValueBytes)
	}
	outcome, err := s.begin(ctx, writeCall)
	if err != nil {
		return keeper.Entry{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	current := s.entries[options.Key]
	if current.Version != options.Version {
		return keeper.Entry{}, outcome.answerWith(keeper.ErrConflict)
	}
	if options.Lease != 0 && s.leases[options.Lease] == nil {
		return keeper.Entry{}, outcome.answerWith(keeper.ErrLeaseExpired)
	}
	entry := keeper.Entry{
		Key:     options.Key,
		Value:   append([]byte(nil), options.Value...),
		Version: current.Version + 1,
		Lease:   options.Lease,
	}
	entry = s.recordChange(keeper.Change{Entry: entry})
	return cloneEntry(entry), outcome.answer()
}

// Delete implements keeper.Store.
func (s *Store) Delete(ctx context.Context, key string, version int64) error {
	outcome, err := s.begin(ctx, writeCall)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	current := s.entries[key]
	if current.Version != version || version == 0 {
		return outcome.answerWith(keeper.ErrConflict)
	}
	s.recordChange(keeper.Change{Entry: current, Deleted: true})
	return outcome.answer()
}

// Grant implements keeper.Store.
func (s *Store) Grant(ctx context.Context, timeToLive time.Duration) (keeper.LeaseID, error) {
	outcome, err := s.begin(ctx, writeCall)
	if err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	s.leases[s.lastID] = &lease{timeToLive: timeToLive, deadline: time.Now().Add(timeToLive)}
	return s.lastID, outcome.answer()
}

// Renew implements keeper.Store.
func (s *Store) Renew(ctx context.Context, id keeper.LeaseID) error {
	outcome, err := s.begin(ctx, writeCall)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	held := s.leases[id]
	if held == nil {
		return outcome.answerWith(keeper.ErrLeaseExpired)
	}
	held.deadline = time.Now().Add(held.timeToLive)
	return outcome.answer()
}

// Revoke implements keeper.Store.
func (s *Store) Revoke(ctx context.Context, id keeper.LeaseID) error {
	outcome, err := s.begin(ctx, writeCall)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if s.leases[id] == nil {
		return outcome.answerWith(keeper.ErrLeaseExpired)
	}
	s.removeLease(id)
	return outcome.answer()
}

// cloneEntry returns a copy of an entry whose value the caller can change without changing the store.
func cloneEntry(entry keeper.Entry) keeper.Entry {
	entry.Value = bytes.Clone(entry.Value)
	return entry
}

// recordChange applies a change at the next revision, appends it to the history and wakes the watches.
func (s *Store) recordChange(change keeper.Change) keeper.Entry {
	s.revision++
	return s.recordAtRevision(change)
}

// recordAtRevision does the same as recordChange at the current revision, so that a transaction has a single revision.
func (s *Store) recordAtRevision(change keeper.Change) keeper.Entry {
	change.Entry.Revision = s.revision
	if change.Deleted {
		delete(s.entries, change.Entry.Key)
	} else {
		s.entries[change.Entry.Key] = change.Entry
	}
	s.history = append(s.history, change)
	close(s.changed)
	s.changed = make(chan struct{})
	return change.Entry
}

// expire removes the leases whose deadline has passed, with their keys.
func (s *Store) expire() {
	now := time.Now()
	for id, held := range s.leases {
		if !now.Before(held.deadline) {
			s.removeLease(id)
		}
	}
}

// removeLease removes a lease and deletes the keys attached to it.
func (s *Store) removeLease(id keeper.LeaseID) {
	delete(s.leases, id)
	for _, entry := range s.entries {
		if entry.Lease == id {
			s.recordChange(keeper.Change{Entry: entry, Deleted: true})
		}
	}
}

// nextExpiry returns the earliest deadline of the leases, and whether there is a lease.
func (s *Store) nextExpiry() (time.Time, bool) {
	var first time.Time
	for _, held := range s.leases {
		if first.IsZero() || held.deadline.Before(first) {
			first = held.deadline
		}
	}
	return first, !first.IsZero()
}
