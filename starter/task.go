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
	// Pending means that the task waits for placement, or for its backoff to pass.
	Pending State = "Pending"
	// Committing means that the task is placed and its start record is being written.
	Committing State = "Committing"
	// Starting means that the start has been sent to the backend server, which has not responded.
	Starting State = "Starting"
	// Running means that the task runs under a lease.
	Running State = "Running"
	// Checkpointing means that a checkpoint was requested; the attempt ends after it.
	Checkpointing State = "Checkpointing"
	// Stopping means that the stop has been sent and is not confirmed yet.
	Stopping State = "Stopping"
	// Lost means that the task is on a lost backend server and its lease may still be valid.
	Lost State = "Lost"
	// Ended means that the task has run to its end.
	Ended State = "Ended"
	// GivenUp means that the task has used up its attempts.
	GivenUp State = "GivenUp"
)

// task is an unfinished task that is assigned to the zone, or was and still has to be stopped.
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
	// unconfirmed is true for an attempt of an earlier placing member that no report has confirmed yet.
	unconfirmed bool
	// cancelled means that the start has not been sent yet and must not be sent.
	cancelled bool
	// mustEnd means that the end of the attempt was requested. The attempt is stopped when its lost backend server
	// responds again.
	mustEnd bool
	// withdrawn means that the task is no longer assigned to this zone and is dropped when its attempt has ended.
	withdrawn bool
	// submitted is true while the task waits in the placer's queue.
	submitted bool
	wakeAt    time.Time
}

func (t *task) currentAttempt() Attempt {
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
	// backoffDoublings bounds the shift in backoff. After this number of doublings the wait already exceeds backoffMax.
	backoffDoublings = 9
	// stableAfter is how long an attempt has to run until the earlier failures of its task no longer count.
	stableAfter = 10 * time.Minute
)

// backoff returns how long the task waits after a failure. The jitter spreads the restarts of tasks that failed
// together. It is derived from the attempt, because the starter is deterministic and has no random source.
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
