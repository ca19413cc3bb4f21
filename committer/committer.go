package committer

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"gopkg.in/tomb.v2"

	"egretring.example/egretring/buffer"
	"egretring.example/egretring/describer"
	"egretring.example/egretring/keeper"
)

const (
	// queueCapacity bounds the records that are queued between the starter and the committer. At 1,200 starts and ends
	// a second the queue lasts for half a minute of a store outage.
	queueCapacity = 1 << 16
	// writeTimeout bounds one call to the store.
	writeTimeout = 3 * time.Second
	// idleWait is how long the loop waits when there is nothing to write.
	idleWait = time.Second
)

// Committer runs a journal against the store in one goroutine.
type Committer struct {
	tomb     tomb.Tomb
	store    keeper.Store
	zone     describer.AvailabilityZoneID
	journal  *Journal
	incoming *buffer.Queue[Record]
	durable  *buffer.Queue[[]Record]
}

// New returns a committer that continues a recovered journal. The caller must call Start.
func New(store keeper.Store, zone describer.AvailabilityZoneID, journal *Journal) *Committer {
	return &Committer{
		store:    store,
		zone:     zone,
		journal:  journal,
		incoming: buffer.NewQueue[Record](queueCapacity),
		durable:  buffer.NewQueue[[]Record](queueCapacity),
	}
}

// Start starts the goroutine that writes the records.
func (c *Committer) Start() {
	c.tomb.Go(c.run)
}

// Stop ends the goroutine; records that are not durable by then are dropped. It returns ErrFenced if a newer placing
// member has taken over.
func (c *Committer) Stop() error {
	c.tomb.Kill(nil)
	return c.tomb.Wait()
}

// Remaining returns the records that are not known to be durable. It is called after Stop, when the same member
// continues under a later epoch: the caller commits the records again, to the journal recovered for that epoch. Writing
// a record twice has the same effect as writing it once.
func (c *Committer) Remaining() []Record {
	<-c.tomb.Dead()
	c.drain()
	return c.journal.Remaining()
}

// Done returns a channel that is closed when the goroutine has ended, including after it was fenced.
func (c *Committer) Done() <-chan struct{} {
	return c.tomb.Dead()
}

// Commit queues a record and returns buffer.ErrFull when too many records wait for the store.
func (c *Committer) Commit(record Record) error {
	return c.incoming.Offer(record)
}

// Durable returns a channel that delivers the records that have become durable, in the order in which they were
// committed.
func (c *Committer) Durable() <-chan []Record {
	return c.durable.Items()
}

func (c *Committer) run() error {
	ctx := c.tomb.Context(context.Background())
	for c.tomb.Alive() {
		c.drain()
		now := time.Now()
		write, ok := c.journal.Next(now)
		if !ok {
			c.wait(now)
			continue
		}
		if err := c.perform(ctx, write); err != nil {
			return err
		}
	}
	return nil
}

// drain moves the queued records to the journal.
func (c *Committer) drain() {
	for {
		select {
		case record := <-c.incoming.Items():
			c.journal.Append(record)
		default:
			return
		}
	}
}

// wait waits for a record, the journal's next deadline or the stop of the committer.
func (c *Committer) wait(now time.Time) {
	pause := idleWait
	if at, ok := c.journal.NextDeadline(now); ok {
		pause = at.Sub(now)
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case record := <-c.incoming.Items():
		c.journal.Append(record)
	case <-timer.C:
	case <-c.tomb.Dying():
	}
}

func (c *Committer) perform(ctx context.Context, write Write) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	var version int64
	var err error
	switch {
	case write.Group != nil:
		err = c.writeGroup(ctx, write.Group)
	case write.Shard != nil:
		version, err = c.writeShard(ctx, write.Shard)
	default:
		err = c.deleteGroup(ctx, *write.Deletion)
	}
	if IsErrFenced(err) {
		return err
	}
	if err != nil {
		c.journal.WriteFailed(time.Now())
		return nil
	}
	return c.deliver(c.journal.WriteDone(version))
}

// deliver passes durable records to the reader of Durable. The write has already taken effect, so the timeout of the
// store call does not apply here.
func (c *Committer) deliver(records []Record) error {
	if len(records) == 0 || c.durable.Offer(records) == nil {
		return nil
	}
	if err := c.durable.Put(c.tomb.Context(context.Background()), records); err != nil {
		return tomb.ErrDying
	}
	return nil
}

// writeGroup creates the key of a group. On a conflict, the key holds either an earlier attempt of this write whose
// response was lost, or the seal of a newer placing member.
func (c *Committer) writeGroup(ctx context.Context, group *Group) error {
	body, err := encode(group)
	if err != nil {
		return err
	}
	key := groupKey(c.zone, group.at())
	_, err = c.store.Put(ctx, keeper.PutOptions{Key: key, Value: body})
	if !keeper.IsErrConflict(err) {
		return err
	}
	entry, err := c.store.Get(ctx, key)
	if err != nil {
		return err
	}
	var found Group
	if err := json.Unmarshal(entry.Value, &found); err != nil {
		return errors.Wrapf(err, "decode key %q", key)
	}
	if found.WriteID != group.WriteID {
		return errors.Wrapf(ErrFenced, "key %q was written by %q", key, found.WriteID)
	}
	return nil
}

// writeShard replaces the key of a shard and returns its new version.
func (c *Committer) writeShard(ctx context.Context, write *ShardWrite) (int64, error) {
	body, err := encode(write.Shard)
	if err != nil {
		return 0, err
	}
	key := shardKey(c.zone, write.Number)
	entry, err := c.store.Put(ctx, keeper.PutOptions{Key: key, Value: body, Version: write.Version})
	if !keeper.IsErrConflict(err) {
		return entry.Version, err
	}
	entry, err = c.store.Get(ctx, key)
	if err != nil {
		return 0, err
	}
	var found Shard
	if err := json.Unmarshal(entry.Value, &found); err != nil {
		return 0, errors.Wrapf(err, "decode key %q", key)
	}
	switch {
	case found.WriteID == write.Shard.WriteID:
		return entry.Version, nil
	case found.Epoch > write.Shard.Epoch:
		return 0, errors.Wrapf(ErrFenced, "key %q was written by %q", key, found.WriteID)
	}
	c.journal.VersionConflict(entry.Version)
	return 0, errors.Wrapf(keeper.ErrConflict, "key %q was written by %q", key, found.WriteID)
}

// deleteGroup deletes a group whose records all shards contain. A conflict means that it has already been deleted.
func (c *Committer) deleteGroup(ctx context.Context, at Position) error {
	err := c.store.Delete(ctx, groupKey(c.zone, at), 1)
	if keeper.IsErrConflict(err) {
		return nil
	}
	return err
}
