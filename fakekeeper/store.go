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

// Store is an in-memory keeper.Store with faults that tests switch on.
type Store struct {
	mu       sync.Mutex
	entries  map[string]keeper.Entry
	leases   map[keeper.LeaseID]*lease
	history  []keeper.Change
	revision int64
	// compactedAt is the revision up to which the history was dropped.
	compactedAt int64
	lastID      keeper.LeaseID
	changed     chan struct{}
	faults      Faults
	calls       Calls
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
	fate, err := s.begin(ctx, readCall)
	if err != nil {
		return keeper.Entry{}, err
	}
	s.mu.Lock()
	s.expire()
	entry := copied(s.entries[key])
	s.mu.Unlock()
	entry.Key = key
	return entry, fate.answer()
}

// List implements keeper.Store.
func (s *Store) List(ctx context.Context, prefix string) (keeper.Page, error) {
	fate, err := s.begin(ctx, readCall)
	if err != nil {
		return keeper.Page{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	page := keeper.Page{Revision: s.revision}
	for key, entry := range s.entries {
		if strings.HasPrefix(key, prefix) {
			page.Entries = append(page.Entries, copied(entry))
		}
	}
	sort.Slice(page.Entries, func(i, j int) bool { return page.Entries[i].Key < page.Entries[j].Key })
	return page, fate.answer()
}

// Put implements keeper.Store.
func (s *Store) Put(ctx context.Context, options keeper.PutOptions) (keeper.Entry, error) {
	if len(options.Value) > keeper.MaxValueBytes {
		return keeper.Entry{}, errors.Wrapf(keeper.ErrValueTooLarge, "value of key %q has %d bytes; at most %d are allowed",
			options.Key, len(options.Value), keeper.MaxValueBytes)
	}
	fate, err := s.begin(ctx, writeCall)
	if err != nil {
		return keeper.Entry{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	current := s.entries[options.Key]
	if current.Version != options.Version {
		return keeper.Entry{}, fate.orLost(keeper.ErrConflict)
	}
	if options.Lease != 0 && s.leases[options.Lease] == nil {
		return keeper.Entry{}, fate.orLost(keeper.ErrLeaseLapsed)
	}
	entry := keeper.Entry{
		Key:     options.Key,
		Value:   append([]byte(nil), options.Value...),
		Version: current.Version + 1,
		Lease:   options.Lease,
	}
	entry = s.record(keeper.Change{Entry: entry})
	return copied(entry), fate.answer()
}

// Delete implements keeper.Store.
func (s *Store) Delete(ctx context.Context, key string, version int64) error {
	fate, err := s.begin(ctx, writeCall)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	current := s.entries[key]
	if current.Version != version || version == 0 {
		return fate.orLost(keeper.ErrConflict)
	}
	s.record(keeper.Change{Entry: current, Deleted: true})
	return fate.answer()
}

// Grant implements keeper.Store.
func (s *Store) Grant(ctx context.Context, timeToLive time.Duration) (keeper.LeaseID, error) {
	fate, err := s.begin(ctx, writeCall)
	if err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	s.leases[s.lastID] = &lease{timeToLive: timeToLive, deadline: time.Now().Add(timeToLive)}
	return s.lastID, fate.answer()
}

// Renew implements keeper.Store.
func (s *Store) Renew(ctx context.Context, id keeper.LeaseID) error {
	fate, err := s.begin(ctx, writeCall)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	held := s.leases[id]
	if held == nil {
		return fate.orLost(keeper.ErrLeaseLapsed)
	}
	held.deadline = time.Now().Add(held.timeToLive)
	return fate.answer()
}

// Revoke implements keeper.Store.
func (s *Store) Revoke(ctx context.Context, id keeper.LeaseID) error {
	fate, err := s.begin(ctx, writeCall)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if s.leases[id] == nil {
		return fate.orLost(keeper.ErrLeaseLapsed)
	}
	s.drop(id)
	return fate.answer()
}

// copied returns an entry whose value the caller may change.
func copied(entry keeper.Entry) keeper.Entry {
	entry.Value = bytes.Clone(entry.Value)
	return entry
}

// record applies a change, appends it to the history and wakes the watches.
func (s *Store) record(change keeper.Change) keeper.Entry {
	s.revision++
	return s.recordAt(change)
}

// recordAt is record at the present revision.
func (s *Store) recordAt(change keeper.Change) keeper.Entry {
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

// expire ends the leases whose deadline has passed.
func (s *Store) expire() {
	now := time.Now()
	for id, held := range s.leases {
		if !now.Before(held.deadline) {
			s.drop(id)
		}
	}
}

func (s *Store) drop(id keeper.LeaseID) {
	delete(s.leases, id)
	for _, entry := range s.entries {
		if entry.Lease == id {
			s.record(keeper.Change{Entry: entry, Deleted: true})
		}
	}
}

// nextExpiry returns when the first lease lapses.
func (s *Store) nextExpiry() (time.Time, bool) {
	var first time.Time
	for _, held := range s.leases {
		if first.IsZero() || held.deadline.Before(first) {
			first = held.deadline
		}
	}
	return first, !first.IsZero()
}
