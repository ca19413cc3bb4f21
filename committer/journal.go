package committer

import (
	"time"

	"egretring.example/egretring/describer"
)

const (
	// GroupInterval is the shortest time between two groups.
	GroupInterval = 100 * time.Millisecond
	// compactionInterval is the shortest time between two writes of shards.
	compactionInterval = time.Second
	// writeInterval and writeBurst are the rate and burst of a token bucket that limits all writes of a zone (groups,
	// shards and deletions) to ten a second on average. The burst allows a group every GroupInterval for a while
	// although there are other writes.
	writeInterval = 100 * time.Millisecond
	writeBurst    = 10
	// deletionsPerGroup is how many deletions follow a group while records are queued. It bounds both the number of
	// groups in the store under steady load and the deletions for which a group waits.
	deletionsPerGroup = 1
	// groupBacklogLimit is the number of groups in the store above which twice as many deletions follow a group, so
	// that a recovery stays short.
	groupBacklogLimit = 1000
	// maxGroupBytes keeps a group below the store's limit of 1 MB for a value. The size of a record is estimated as
	// recordBytes plus the lengths of its job, server and reason.
	maxGroupBytes = 900_000
	recordBytes   = 400
	// maxReasonBytes is the maximum length in bytes of the reason in a record, which may come from the user's task.
	maxReasonBytes = 128
	// retryBase and retryMax are the first and the longest delay before a failed write is retried; the delay doubles
	// with each attempt.
	retryBase = 50 * time.Millisecond
	retryMax  = 2 * time.Second
)

// Write is a write to the store. Exactly one of the fields is set.
type Write struct {
	Group    *Group
	Shard    *ShardWrite
	Deletion *Position
}

// ShardWrite is a write of a compacted shard.
type ShardWrite struct {
	Number int
	// Version is the expected version of the key that the write replaces.
	Version int64
	Shard   Shard
}

// Journal decides what is written to the store next. Only one write is in flight at a time, so that the groups of an
// epoch form a sequence without gaps, which a later placing member can seal.
type Journal struct {
	writer      string
	epoch       describer.Epoch
	table       *table
	queue       []Record
	sequence    int64
	inFlight    *Write
	attempts    int
	retryAt     time.Time
	nextGroupAt time.Time
	nextShardAt time.Time
	tokens      float64
	refilledAt  time.Time
	// compactionCursor is the number of the next shard to check for compaction.
	compactionCursor int
	// versions are the versions of the shards' keys in the store.
	versions [ShardCount]int64
	// through is a position up to which the stored shard is known to contain all records of its tasks.
	through [ShardCount]Position
	// changed is true for a shard with changes that its stored value does not contain.
	changed [ShardCount]bool
	// undeleted are the positions of the groups in the store that are deleted after compaction, oldest first.
	undeleted []Position
	// lastWritten is the position of the last group that was written.
	lastWritten Position
	// deletionsLeft is how many groups may still be deleted before the next group is written.
	deletionsLeft int
	writeNumber   int64
}

// Append queues a record for the next group.
func (j *Journal) Append(record Record) {
	if len(record.Reason) > maxReasonBytes {
		record.Reason = record.Reason[:maxReasonBytes]
	}
	j.queue = append(j.queue, record)
}

// RemoveJob removes the state of the tasks of a job that no longer exists. All attempts of the job must have ended.
func (j *Journal) RemoveJob(job describer.JobID, tasks int) {
	for first := 0; first < tasks; first += tasksPerChunk {
		shard := shardOf(describer.TaskID{Job: job, Index: first})
		j.markChanged(shard)
		j.table.shards[shard].removeJob(job)
	}
}

// markChanged marks a shard as changed since it was last written. Until then, the stored shard contained all records of
// its tasks up to the last group.
func (j *Journal) markChanged(shard int) {
	if !j.changed[shard] {
		j.through[shard] = j.lastWritten
	}
	j.changed[shard] = true
}

// Remaining returns the records that are not known to be durable, in the order in which they were appended. Those of
// the write in flight may already be durable.
func (j *Journal) Remaining() []Record {
	var records []Record
	if j.inFlight != nil && j.inFlight.Group != nil {
		records = append(records, j.inFlight.Group.Records...)
	}
	return append(records, j.queue...)
}

// Pending returns the number of records that are not known to be durable.
func (j *Journal) Pending() int {
	pending := len(j.queue)
	if j.inFlight != nil && j.inFlight.Group != nil {
		pending += len(j.inFlight.Group.Records)
	}
	return pending
}

// Next returns the write to perform at time now, if there is one. After a call of WriteFailed, the same write is
// returned again.
func (j *Journal) Next(now time.Time) (Write, bool) {
	j.refillTokens(now)
	if j.inFlight != nil {
		return *j.inFlight, !now.Before(j.retryAt)
	}
	write, ok := j.chooseWrite(now)
	if !ok {
		return Write{}, false
	}
	j.inFlight = &write
	j.attempts = 0
	j.retryAt = time.Time{}
	j.tokens--
	return write, true
}

func (j *Journal) refillTokens(now time.Time) {
	if !j.refilledAt.IsZero() {
		j.tokens += float64(now.Sub(j.refilledAt)) / float64(writeInterval)
	}
	j.tokens = min(j.tokens, writeBurst)
	j.refilledAt = now
}

// chooseWrite selects the next write: a changed shard if compactionInterval has passed since the last one, or else a
// group or a deletion. While records are queued, deletionsPerGroup deletions follow each group, or twice as many above
// groupBacklogLimit.
func (j *Journal) chooseWrite(now time.Time) (Write, bool) {
	if j.tokens < 1 {
		return Write{}, false
	}
	deletion := j.canDeleteGroup()
	switch {
	case !now.Before(j.nextShardAt) && j.findChangedShard():
		j.nextShardAt = now.Add(compactionInterval)
		return Write{Shard: j.takeShard()}, true
	case len(j.queue) > 0 && !now.Before(j.nextGroupAt) && (j.deletionsLeft <= 0 || !deletion):
		j.nextGroupAt = now.Add(GroupInterval)
		j.deletionsLeft = deletionsPerGroup
		if len(j.undeleted) > groupBacklogLimit {
			j.deletionsLeft += deletionsPerGroup
		}
		return Write{Group: j.takeGroup()}, true
	case deletion && (j.deletionsLeft > 0 || len(j.queue) == 0):
		j.deletionsLeft--
		return Write{Deletion: &j.undeleted[0]}, true
	}
	return Write{}, false
}

func (j *Journal) takeGroup() *Group {
	count, size := 0, 0
	for count < len(j.queue) && size < maxGroupBytes {
		record := j.queue[count]
		size += recordBytes + len(record.Task.Job) + len(record.Server) + len(record.Reason)
		count++
	}
	records := append([]Record(nil), j.queue[:count]...)
	j.queue = append(j.queue[:0], j.queue[count:]...)
	j.sequence++
	return &Group{WriteID: j.writeID(), Epoch: j.epoch, Sequence: j.sequence, Records: records}
}

// writeID returns a new write ID. It is unique because the writer identifies the member with its incarnation, and each
// write has a number.
func (j *Journal) writeID() WriteID {
	j.writeNumber++
	return newWriteID(j.writer, j.epoch, j.writeNumber)
}

// findChangedShard advances to the next shard that has changed and reports whether there is one. An unchanged shard
// contains the records of all groups and need not be written. Without groups to delete, no shard needs a write.
func (j *Journal) findChangedShard() bool {
	if len(j.undeleted) == 0 {
		return false
	}
	for range ShardCount {
		if j.changed[j.compactionCursor] {
			return true
		}
		j.through[j.compactionCursor] = j.lastWritten
		j.compactionCursor = (j.compactionCursor + 1) % ShardCount
	}
	return false
}

func (j *Journal) takeShard() *ShardWrite {
	state := &j.table.shards[j.compactionCursor]
	return &ShardWrite{Number: j.compactionCursor, Version: j.versions[j.compactionCursor], Shard: Shard{
		WriteID: j.writeID(), Epoch: j.epoch, Through: j.lastWritten, Records: state.records(), Finished: state.ranges(),
	}}
}

// canDeleteGroup reports whether the oldest group can be deleted because all stored shards contain its records.
func (j *Journal) canDeleteGroup() bool {
	if len(j.undeleted) == 0 {
		return false
	}
	for i := range j.through {
		if j.changed[i] && j.through[i].before(j.undeleted[0]) {
			return false
		}
	}
	return true
}

// WriteDone records that the write in flight took effect, and returns the records that have become durable. The version
// is the new version of the key of a shard.
func (j *Journal) WriteDone(version int64) []Record {
	write := j.inFlight
	j.inFlight = nil
	switch {
	case write.Group != nil:
		for _, record := range write.Group.Records {
			j.markChanged(shardOf(record.Task))
			j.table.apply(record)
		}
		j.lastWritten = Position{Epoch: j.epoch, Sequence: write.Group.Sequence}
		j.undeleted = append(j.undeleted, j.lastWritten)
		return write.Group.Records
	case write.Shard != nil:
		j.versions[write.Shard.Number] = version
		j.through[write.Shard.Number] = write.Shard.Shard.Through
		j.changed[write.Shard.Number] = false
		j.compactionCursor = (j.compactionCursor + 1) % ShardCount
	default:
		j.undeleted = j.undeleted[1:]
	}
	return nil
}

// VersionConflict records that the key of the shard in flight was written by an earlier member and has another version
// than expected. The retry of the write replaces that version.
func (j *Journal) VersionConflict(version int64) {
	j.inFlight.Shard.Version = version
}

// WriteFailed records that the write in flight failed or that its outcome is unknown. It is retried after a delay.
func (j *Journal) WriteFailed(now time.Time) {
	j.retryAt = now.Add(min(retryBase<<min(j.attempts, 10), retryMax))
	j.attempts++
}

// NextDeadline returns the earliest time at which Next may return a write, and false if there is nothing to write.
func (j *Journal) NextDeadline(now time.Time) (time.Time, bool) {
	if j.inFlight != nil {
		return j.retryAt, true
	}
	if len(j.queue) == 0 && len(j.undeleted) == 0 {
		return time.Time{}, false
	}
	return now.Add(writeInterval / 4), true
}
