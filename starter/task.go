package starter

import (
	"hash/fnv"
	"time"

	"egretring.example/egretring/committer"
	"egretring.example/egretring/describer"
)

// State is the state of a task in its lifecycle.
type State string

// The states of a task.
const (
	// Pending waits for a place, or for its backoff to pass.
	Pending State = "Pending"
	// Committing has a place; its start record is being written.
	Committing State = "Committing"
	// Starting has been sent to its backend server, which has not answered.
	Starting State = "Starting"
	// Running runs under a lease.
	Running State = "Running"
	// Checkpointing has been asked to write a checkpoint and end.
	Checkpointing State = "Checkpointing"
	// Stopping has been told to stop.
	Stopping State = "Stopping"
	// Lost is on a backend server that is not heard of, and its lease may still be valid.
	Lost State = "Lost"
	// Ended has run to its end.
	Ended State = "Ended"
	// GivenUp has used up its attempts.
	GivenUp State = "GivenUp"
)

// task is one task that belongs to the zone and has not finished.
type task struct {
	id        describer.TaskID
	job       *job
	state     State
	attempt   int
	failures  int
	server    *server
	resources describer.Resources
	// startedAt is when the attempt was accepted.
	startedAt time.Time
	// leaseUntil is until when the attempt may run without a further renewal.
	leaseUntil time.Time
	// committed is true when the start record is durable.
	committed bool
	// sent is true when a start has been sent for this attempt.
	sent bool
	// adopted is true for an attempt of an earlier placing member that no report has confirmed yet.
	adopted bool
	// cancelled means that a start that was not sent yet is not sent any more.
	cancelled bool
	// mustLeave means that the attempt was asked to end; it does not resume when its backend server is heard of again.
	mustLeave bool
	// withdrawn means that the task no longer belongs to this zone and is dropped when it has left.
	withdrawn bool
	// submitted is true while the placer looks for a place.
	submitted bool
	wakeAt    time.Time
}

func (t *task) name() Attempt {
	return Attempt{Task: t.id, Number: t.attempt}
}

func (t *task) wakesAt() time.Time {
	return t.wakeAt
}

func (t *task) maxAttempts(defaultAttempts int) int {
	if t.job.description.MaxAttempts > 0 {
		return t.job.description.MaxAttempts
	}
	return defaultAttempts
}

const (
	backoffBase = time.Second
	backoffMax  = 5 * time.Minute
	// backoffDoublings keeps the shift below the largest backoff.
	backoffDoublings = 9
	// stableAfter is how long an attempt runs before the earlier failures of its task no longer count.
	stableAfter = 10 * time.Minute
)

// backoff returns how long the task waits after a failure. The jitter is derived from the attempt, because a core has
// no random source; it spreads the restarts of tasks that failed together.
func (t *task) backoff() time.Duration {
	doublings := max(0, min(t.failures-1, backoffDoublings))
	wait := min(backoffBase<<doublings, backoffMax)
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(t.id.Job))
	_, _ = hash.Write([]byte{byte(t.id.Index), byte(t.id.Index >> 8), byte(t.id.Index >> 16), byte(t.attempt)})
	jitter := time.Duration(hash.Sum32()%512) * wait / 1024
	return wait*3/4 + jitter
}

func (t *task) record(kind committer.RecordKind, epoch describer.Epoch, now time.Time) committer.Record {
	record := committer.Record{
		Kind: kind, Task: t.id, Attempt: t.attempt, Epoch: epoch, At: now, Failures: t.failures, Resources: t.resources,
	}
	if t.server != nil {
		record.Server = t.server.id
	}
	return record
}
