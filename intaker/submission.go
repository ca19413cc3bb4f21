package intaker

import (
	"sync/atomic"
	"time"

	"egretring.example/egretring/specifier"
)

// submission is a job that its caller waits to be stored.
type submission struct {
	job   specifier.Job
	value []byte
	// keys must not exist: those of the job and of its record, in all shards in which the ID may be in use.
	keys  []string
	fence Fence
	// deadline is when the caller stops waiting.
	deadline time.Time
	done     chan error
	// taken is set by a writer before it sends the job to the store, or when the submission is withdrawn, whichever comes first.
	taken atomic.Bool
}

// entries returns how many entries of a transaction the submission takes.
func (s *submission) entries() int {
	entries := len(s.keys) + 1
	if s.fence.Key != "" {
		entries++
	}
	return entries
}

// claim reports whether a writer may send the job to the store: the submission was not withdrawn.
func (s *submission) claim() bool {
	return s.taken.CompareAndSwap(false, true)
}

// withdraw reports whether the job was not sent to the store, and never will be.
func (s *submission) withdraw() bool {
	return s.taken.CompareAndSwap(false, true)
}
