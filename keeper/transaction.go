package keeper

import (
	"context"

	"github.com/pkg/errors"
)

// ErrRefused is returned when the store refused a call; the call had no effect.
var ErrRefused = errors.New("store refused the call")

// ErrInvalid is returned when the store does not accept a call, however often it is repeated; the call had no effect.
var ErrInvalid = errors.New("store does not accept the call")

// IsErrInvalid reports whether it is of no use to repeat a call.
func IsErrInvalid(err error) bool {
	return errors.Is(err, ErrInvalid) || errors.Is(err, ErrValueTooLarge)
}

// IsErrNoEffect reports whether a call certainly had no effect.
func IsErrNoEffect(err error) bool {
	return errors.Is(err, ErrRefused) || errors.Is(err, ErrRateLimited)
}

// IsErrCompacted reports whether a watch started at a revision whose changes the store has compacted.
func IsErrCompacted(err error) bool {
	return errors.Is(err, ErrCompacted)
}

// MaxTransactionEntries bounds the conditions, writes and deletions of a transaction together.
const MaxTransactionEntries = 32

// Condition is a revision that a key must have; zero means that the key must not exist.
type Condition struct {
	Key      string
	Revision int64
}

// Write is a key to set.
type Write struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Transaction changes several keys atomically.
type Transaction struct {
	Conditions []Condition
	Writes     []Write
	Deletes    []string
}

// ConflictError is returned when a condition of a transaction does not hold. It contains the current entries of all
// existing keys that the conditions name.
type ConflictError struct {
	Current []Entry
}

// Error implements error.
func (e *ConflictError) Error() string {
	return ErrConflict.Error()
}

// Is makes errors.Is match the error to ErrConflict.
func (e *ConflictError) Is(target error) bool {
	return target == ErrConflict
}

// EntryOf returns the current entry of a key that the conditions name; a key that does not exist has revision zero.
func (e *ConflictError) EntryOf(key string) Entry {
	return findEntry(e.Current, key)
}

// TransactionalStore is a configuration store whose keys are compared by revision and written in transactions.
type TransactionalStore interface {
	// Get returns a key; a key that does not exist has revision zero.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns all keys with a prefix, ordered by key, and a revision after which a watch reports every later
	// change.
	List(ctx context.Context, prefix string) (Page, error)
	// Commit applies a transaction and returns its revision.
	Commit(ctx context.Context, transaction Transaction) (int64, error)
	// Grant creates a lease that expires when it is not renewed within its time to live.
	Grant(ctx context.Context, options LeaseOptions) (LeaseID, error)
	// Renew renews a lease.
	Renew(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease and deletes the keys attached to it.
	Revoke(ctx context.Context, lease LeaseID) error
	// Watch waits until a key with the prefix changes after the revision, or the wait ends.
	Watch(ctx context.Context, options WatchOptions) (Changes, error)
}
