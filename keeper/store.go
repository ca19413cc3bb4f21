package keeper

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// MaxValueBytes is the largest value that the store holds.
const MaxValueBytes = 1 << 20

var (
	// ErrConflict is returned when a key does not have the expected version.
	ErrConflict = errors.New("key does not have the expected version")
	// ErrUnavailable is returned when the store did not respond; a write may have taken effect.
	ErrUnavailable = errors.New("store is unavailable")
	// ErrRateLimited is returned when the store refused a call because of its rate limit; nothing was written.
	ErrRateLimited = errors.New("store refused the call because of its rate limit")
	// ErrLeaseExpired is returned when a lease has expired or does not exist.
	ErrLeaseExpired = errors.New("lease has expired or does not exist")
	// ErrValueTooLarge is returned when a value is larger than MaxValueBytes; nothing was written.
	ErrValueTooLarge = errors.New("value is too large")
	// ErrResponseTooLarge is returned when a response is larger than the call admits.
	ErrResponseTooLarge = errors.New("response of the store is too large")
	// ErrCompacted is returned when a watch starts at a revision whose changes the store has compacted.
	ErrCompacted = errors.New("revision has been compacted in the store")
)

// IsErrConflict reports whether a write failed because of the version of its key.
func IsErrConflict(err error) bool {
	return errors.Is(err, ErrConflict)
}

// IsErrUnavailable reports whether the store did not respond.
func IsErrUnavailable(err error) bool {
	return errors.Is(err, ErrUnavailable)
}

// IsErrLeaseExpired reports whether a lease has expired or does not exist.
func IsErrLeaseExpired(err error) bool {
	return errors.Is(err, ErrLeaseExpired)
}

// LeaseID identifies a lease of the store; zero means no lease.
type LeaseID int64

// Entry is one key of the store.
type Entry struct {
	Key   string
	Value []byte
	// Version is zero for a key that does not exist and grows with each write of the key.
	Version int64
	// Revision is the store's revision of the last write of the key.
	Revision int64
	Lease    LeaseID
}

// Change is one change of a key that a watch reports.
type Change struct {
	Entry   Entry
	Deleted bool
}

// Page is the result of a list.
type Page struct {
	Entries []Entry
	// Revision is the store's revision at which the page was read.
	Revision int64
}

// Entry returns the entry of a key; a key that does not exist has revision zero.
func (p Page) Entry(key string) Entry {
	return findEntry(p.Entries, key)
}

func findEntry(entries []Entry, key string) Entry {
	for _, entry := range entries {
		if entry.Key == key {
			return entry
		}
	}
	return Entry{Key: key}
}

// Changes is the result of a watch.
type Changes struct {
	Changes []Change
	// Revision is the revision after which the next watch continues.
	Revision int64
}

// PutOptions are the options of a write.
type PutOptions struct {
	Key   string
	Value []byte
	// Version is the version that the key must have; zero means that the key must not exist.
	Version int64
	Lease   LeaseID
}

// Store is the platform's configuration store. Every write is a compare-and-swap.
type Store interface {
	// Get returns a key; a key that does not exist has version zero.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns all keys with a prefix, ordered by key.
	List(ctx context.Context, prefix string) (Page, error)
	// Put writes a key if it has the expected version, and returns the written entry.
	Put(ctx context.Context, options PutOptions) (Entry, error)
	// Delete deletes a key if it has the expected version.
	Delete(ctx context.Context, key string, version int64) error
	// Grant creates a lease that expires when it is not renewed within its time to live.
	Grant(ctx context.Context, timeToLive time.Duration) (LeaseID, error)
	// Renew renews a lease.
	Renew(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease and deletes the keys attached to it.
	Revoke(ctx context.Context, lease LeaseID) error
	// Watch waits until a key with the prefix changes after the revision, or the context ends.
	Watch(ctx context.Context, prefix string, afterRevision int64) (Changes, error)
}
