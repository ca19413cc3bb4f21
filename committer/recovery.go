package committer

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/pkg/errors"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/keeper"
)

// ErrFenced is returned when a newer placing member has taken over.
var ErrFenced = errors.New("a newer placing member has taken over")

// IsErrFenced reports whether a newer placing member has taken over.
func IsErrFenced(err error) bool {
	return errors.Is(err, ErrFenced)
}

// State is the state of the tasks of a zone according to the store.
type State struct {
	Records  []Record
	Finished []Finished
}

func newWriteID(writer string, epoch describer.Epoch, number int64) WriteID {
	return WriteID(fmt.Sprintf("%s/%d/%d", writer, epoch, number))
}

// sealRetention is the number of epochs for which a seal is kept. Later the seal is deleted, and a member that was
// paused for longer can write a group again. Such a group is ignored when it is read, because its epoch is too old.
const sealRetention = 64

// reader reads the task records of a zone for a new placing member.
type reader struct {
	store  keeper.Store
	zone   describer.AvailabilityZoneID
	epoch  describer.Epoch
	writer string
}

// contents holds the groups, ordered by position, and the shards, as read from the store.
type contents struct {
	groups   []Group
	shards   [ShardCount]Shard
	versions [ShardCount]int64
}

// Recover seals the sequences of all earlier epochs, so that earlier members cannot write any more groups, and reads
// the records back. After an error other than ErrFenced, the caller calls it again.
func Recover(
	ctx context.Context, store keeper.Store, zone describer.AvailabilityZoneID, epoch describer.Epoch, writer string,
) (*Journal, State, error) {
	r := reader{store: store, zone: zone, epoch: epoch, writer: writer}
	before, err := r.read(ctx)
	if err != nil {
		return nil, State{}, err
	}
	if err := r.seal(ctx, before); err != nil {
		return nil, State{}, err
	}
	after, err := r.read(ctx)
	if err != nil {
		return nil, State{}, err
	}
	j := newJournal(writer, epoch)
	j.load(after)
	return j, j.state(), nil
}

func newJournal(writer string, epoch describer.Epoch) *Journal {
	return &Journal{writer: writer, epoch: epoch, table: newTable(), tokens: writeBurst}
}

// read reads the groups before the shards. An earlier member that compacts at the same time writes the shards before it
// deletes a group, so that each record is found in a group or in a shard.
func (r reader) read(ctx context.Context) (contents, error) {
	var read contents
	groups, err := r.store.List(ctx, startsPrefix(r.zone))
	if err != nil {
		return read, errors.Wrap(err, "list groups of task records")
	}
	shards, err := r.store.List(ctx, tasksPrefix(r.zone))
	if err != nil {
		return read, errors.Wrap(err, "list task shards")
	}
	for _, entry := range groups.Entries {
		if err := read.addGroup(r.zone, entry); err != nil {
			return read, err
		}
	}
	slices.SortFunc(read.groups, func(a, b Group) int {
		return cmp.Or(cmp.Compare(a.Epoch, b.Epoch), cmp.Compare(a.Sequence, b.Sequence))
	})
	for _, entry := range shards.Entries {
		if err := read.addShard(r.zone, entry); err != nil {
			return read, err
		}
	}
	return read, nil
}

func (c *contents) addGroup(zone describer.AvailabilityZoneID, entry keeper.Entry) error {
	at, err := positionOf(zone, entry.Key)
	if err != nil {
		return err
	}
	var group Group
	if err := json.Unmarshal(entry.Value, &group); err != nil {
		return errors.Wrapf(err, "decode key %q", entry.Key)
	}
	group.Epoch, group.Sequence = at.Epoch, at.Sequence
	c.groups = append(c.groups, group)
	return nil
}

func (c *contents) addShard(zone describer.AvailabilityZoneID, entry keeper.Entry) error {
	number, err := shardNumberOf(zone, entry.Key)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(entry.Value, &c.shards[number]); err != nil {
		return errors.Wrapf(err, "decode key %q", entry.Key)
	}
	c.versions[number] = entry.Version
	return nil
}

func (g Group) at() Position {
	return Position{Epoch: g.Epoch, Sequence: g.Sequence}
}

// sequences holds the last known sequence number of each epoch, which epochs are sealed, and the latest epoch whose
// placing member is known to have sealed all epochs before it (recovered).
type sequences struct {
	last      map[describer.Epoch]int64
	sealed    map[describer.Epoch]bool
	recovered describer.Epoch
}

func (c *contents) sequences() sequences {
	known := sequences{last: make(map[describer.Epoch]int64), sealed: make(map[describer.Epoch]bool), recovered: 1}
	for _, shard := range c.shards {
		at := shard.Through
		known.last[at.Epoch] = max(known.last[at.Epoch], at.Sequence)
		known.recovered = max(known.recovered, at.Epoch, shard.Epoch)
	}
	for _, group := range c.groups {
		known.last[group.Epoch] = max(known.last[group.Epoch], group.Sequence)
		switch {
		case group.SealedBy == 0:
			known.recovered = max(known.recovered, group.Epoch)
		default:
			known.sealed[group.Epoch] = true
			// Seals are written in the order of epochs, so the seal of the last epoch before SealedBy proves that all
			// earlier ones were written.
			if group.SealedBy == group.Epoch+1 {
				known.recovered = max(known.recovered, group.SealedBy)
			}
		}
	}
	return known
}

// seal writes a seal at the next position of each epoch that is not sealed. An earlier member writes one group at a
// time, each at the next position of its epoch, so that it is fenced once a seal has that position.
func (r reader) seal(ctx context.Context, read contents) error {
	known := read.sequences()
	// It is no error if the latest recovered epoch is this one: an earlier call of Recover by this member may have
	// written the last seal, for example when the response to that write was lost.
	if known.recovered > r.epoch || known.last[r.epoch] > 0 {
		return errors.Wrapf(ErrFenced, "epoch %d is in use or sealed", known.recovered)
	}
	for epoch := known.recovered; epoch < r.epoch; epoch++ {
		if known.sealed[epoch] {
			continue
		}
		if err := r.sealEpoch(ctx, Position{Epoch: epoch, Sequence: known.last[epoch] + 1}); err != nil {
			return err
		}
	}
	return nil
}

func (r reader) sealEpoch(ctx context.Context, at Position) error {
	for ; ; at.Sequence++ {
		body, err := encode(Group{
			WriteID: newWriteID(r.writer, r.epoch, -int64(at.Epoch)), Epoch: at.Epoch, Sequence: at.Sequence,
			SealedBy: r.epoch,
		})
		if err != nil {
			return err
		}
		_, err = r.store.Put(ctx, keeper.PutOptions{Key: groupKey(r.zone, at), Value: body})
		if err == nil {
			return nil
		}
		// On a conflict, the earlier member has written a group in the meantime; the seal goes to the next position.
		if !keeper.IsErrConflict(err) {
			return errors.Wrapf(err, "seal epoch %d", at.Epoch)
		}
	}
}

// load initializes the journal with the shards and with the records of groups that they do not contain. Shards with
// tasks in any of the groups are marked as changed, so that they are written again before those groups are deleted.
func (j *Journal) load(read contents) {
	for number, shard := range read.shards {
		j.versions[number] = read.versions[number]
		j.through[number] = shard.Through
		j.table.load(number, shard)
	}
	for _, group := range read.groups {
		at := group.at()
		j.lastWritten = at
		outdated := group.Epoch+sealRetention < j.epoch
		if group.SealedBy == 0 || outdated {
			j.undeleted = append(j.undeleted, at)
		}
		if outdated {
			continue
		}
		for _, record := range group.Records {
			shard := shardOf(record.Task)
			j.changed[shard] = true
			if j.through[shard].before(at) {
				j.table.apply(record)
			}
		}
	}
}

func (j *Journal) state() State {
	var state State
	for i := range j.table.shards {
		state.Records = append(state.Records, j.table.shards[i].records()...)
		state.Finished = append(state.Finished, j.table.shards[i].ranges()...)
	}
	return state
}
