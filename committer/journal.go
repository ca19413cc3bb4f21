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
	// writeInterval and writeBurst bound the writes of a zone, of groups, shards and deletions together, to ten a second
	// on average. The burst lets urgent groups be written every GroupInterval for a while.
	writeInterval = 100 * time.Millisecond
	writeBurst    = 10
	// deletionsPerGroup is how many deletions follow a group while records wait, so that the number of groups in the
	// store stays bounded under steady load and no group waits for more than these.
	deletionsPerGroup = 1
	// manyGroups is how many groups in the store double the share of deletions, to keep a recovery short.
	manyGroups = 1000
	// maxGroupBytes keeps a group below the 1 MB of a value. A record is counted with recordBytes and its names.
	maxGroupBytes = 900_000
	recordBytes   = 400
	// maxReason bounds the reason in a record, which may come from the user's task.
	maxReason = 128
	// retryBase and retryMax bound the wait after a write without an answer.
	retryBase = 50 * time.Millisecond
	retryMax  = 2 * time.Second
)

// Write is the next thing to do to the store. Exactly one of the fields is set.
type Write struct {
	Group    *Group
	Shard    *ShardWrite
	Deletion *Position
}

// ShardWrite is the writing of a compacted shard.
type ShardWrite struct {
	Number int
	// Version is the version of the key that the shard replaces.
	Version int64
	Shard   Shard
}

// Journal decides what is written to the store next. One write is under way at a time, so that the groups of an epoch
// form a sequence without gaps, which a later member can seal.
type Journal struct {
	writer    string
	epoch     describer.Epoch
	table     *table
	queue     []Record
	sequence  int64
	underway  *Write
	attempts  int
	retryAt   time.Time
	nextGroup time.Time
	nextShard time.Time
	permits   float64
	permitsAt time.Time
	shard     int
	versions  [ShardCount]int64
	through   [ShardCount]Position
	changed   [ShardCount]bool
	undeleted []Position
	written   Position
	// deletions is how many deletions may be written before the next group.
	deletions   int
	writeNumber int64
}

// Append queues a record for the next group.
func (j *Journal) Append(record Record) {
	if len(record.Reason) > maxReason {
		record.Reason = record.Reason[:maxReason]
	}
	j.queue = append(j.queue, record)
}

// Forget drops what is kept about the tasks of a job that no longer exists. Its attempts must have ended.
func (j *Journal) Forget(job describer.JobID, tasks int) {
	for first := 0; first < tasks; first += tasksPerChunk {
		shard := shardOf(describer.TaskID{Job: job, Index: first})
		j.touch(shard)
		j.table.shards[shard].forget(job)
	}
}

// touch notes that a shard has changed since it was written.
func (j *Journal) touch(shard int) {
	if !j.changed[shard] {
		j.through[shard] = j.written
	}
	j.changed[shard] = true
}

// Remaining returns the records that are not known to be durable, in order. The write under way may have taken effect.
func (j *Journal) Remaining() []Record {
	var records []Record
	if j.underway != nil && j.underway.Group != nil {
		records = append(records, j.underway.Group.Records...)
	}
	return append(records, j.queue...)
}

// Pending returns the number of records that are not durable.
func (j *Journal) Pending() int {
	pending := len(j.queue)
	if j.underway != nil && j.underway.Group != nil {
		pending += len(j.underway.Group.Records)
	}
	return pending
}

// Next returns the write to do at time now, or none. The same write is returned again after Failed.
func (j *Journal) Next(now time.Time) (Write, bool) {
	j.refill(now)
	if j.underway != nil {
		return *j.underway, !now.Before(j.retryAt)
	}
	write, ok := j.choose(now)
	if !ok {
		return Write{}, false
	}
	j.underway = &write
	j.attempts = 0
	j.retryAt = time.Time{}
	j.permits--
	return write, true
}

func (j *Journal) refill(now time.Time) {
	if !j.permitsAt.IsZero() {
		j.permits += float64(now.Sub(j.permitsAt)) / float64(writeInterval)
	}
	j.permits = min(j.permits, writeBurst)
	j.permitsAt = now
}

func (j *Journal) choose(now time.Time) (Write, bool) {
	if j.permits < 1 {
		return Write{}, false
	}
	deletion := j.hasDeletion()
	switch {
	case !now.Before(j.nextShard) && j.needsShard():
		j.nextShard = now.Add(compactionInterval)
		return Write{Shard: j.takeShard()}, true
	case len(j.queue) > 0 && !now.Before(j.nextGroup) && (j.deletions <= 0 || !deletion):
		j.nextGroup = now.Add(GroupInterval)
		j.deletions = deletionsPerGroup
		if len(j.undeleted) > manyGroups {
			j.deletions += deletionsPerGroup
		}
		return Write{Group: j.takeGroup()}, true
	case deletion && (j.deletions > 0 || len(j.queue) == 0):
		j.deletions--
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

// writeID is unique because the writer names the member with its incarnation and each write has a number.
func (j *Journal) writeID() WriteID {
	j.writeNumber++
	return newWriteID(j.writer, j.epoch, j.writeNumber)
}

// needsShard advances to the next shard that is worth a write. A shard that has not changed covers all groups.
func (j *Journal) needsShard() bool {
	if len(j.undeleted) == 0 {
		return false
	}
	for range ShardCount {
		if j.changed[j.shard] {
			return true
		}
		j.through[j.shard] = j.written
		j.shard = (j.shard + 1) % ShardCount
	}
	return false
}

func (j *Journal) takeShard() *ShardWrite {
	state := &j.table.shards[j.shard]
	return &ShardWrite{Number: j.shard, Version: j.versions[j.shard], Shard: Shard{
		WriteID: j.writeID(), Epoch: j.epoch, Through: j.written, Records: state.records(), Finished: state.ranges(),
	}}
}

// hasDeletion reports whether the oldest group is covered by every shard.
func (j *Journal) hasDeletion() bool {
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

// Done reports that the write under way took effect, and returns the records that are durable by it.
func (j *Journal) Done(version int64) []Record {
	write := j.underway
	j.underway = nil
	switch {
	case write.Group != nil:
		for _, record := range write.Group.Records {
			j.touch(shardOf(record.Task))
			j.table.apply(record)
		}
		j.written = Position{Epoch: j.epoch, Sequence: write.Group.Sequence}
		j.undeleted = append(j.undeleted, j.written)
		return write.Group.Records
	case write.Shard != nil:
		j.versions[write.Shard.Number] = version
		j.through[write.Shard.Number] = write.Shard.Shard.Through
		j.changed[write.Shard.Number] = false
		j.shard = (j.shard + 1) % ShardCount
	default:
		j.undeleted = j.undeleted[1:]
	}
	return nil
}

// Replaced reports that the key of the shard under way has another version than expected, written by an earlier
// member; the shard is written over it.
func (j *Journal) Replaced(version int64) {
	j.underway.Shard.Version = version
}

// Failed reports that the write under way did not take effect, or may have; it is tried again.
func (j *Journal) Failed(now time.Time) {
	j.retryAt = now.Add(min(retryBase<<min(j.attempts, 10), retryMax))
	j.attempts++
}

// NextDeadline is the earliest time at which Next may return a write.
func (j *Journal) NextDeadline(now time.Time) (time.Time, bool) {
	if j.underway != nil {
		return j.retryAt, true
	}
	if len(j.queue) == 0 && len(j.undeleted) == 0 {
		return time.Time{}, false
	}
	return now.Add(writeInterval / 4), true
}
