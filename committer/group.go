package committer

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"egretring.example/egretring/describer"
)

// WriteID is the nonce by which a writer recognises its own write when the response was lost.
type WriteID string

// Group is the value of a key Zones/<zone>/Starts/<epoch>-<sequence>.
type Group struct {
	WriteID  WriteID
	Epoch    describer.Epoch
	Sequence int64
	// SealedBy is the epoch of the later placing member that wrote this group as a seal. A seal has no records and ends
	// the sequence of its epoch.
	SealedBy describer.Epoch `json:",omitempty"`
	Records  []Record        `json:",omitempty"`
}

// Shard is the value of a key Zones/<zone>/Tasks/<shard>: the state of the shard's tasks after all groups up to the
// position Through.
type Shard struct {
	WriteID WriteID
	// Epoch is the epoch of the writer.
	Epoch    describer.Epoch
	Through  Position
	Records  []Record
	Finished []Finished
}

// Position is the position of a group in the order of all groups of a zone, over all epochs.
type Position struct {
	Epoch    describer.Epoch
	Sequence int64
}

// before reports whether a position comes before another one.
func (p Position) before(other Position) bool {
	if p.Epoch != other.Epoch {
		return p.Epoch < other.Epoch
	}
	return p.Sequence < other.Sequence
}

const (
	// ShardCount is the number of shards of a zone. With 220,000 running tasks of 250 bytes each, a shard stays below
	// 1 MB.
	ShardCount = 128
	// tasksPerChunk is the number of consecutive tasks of a job in the same shard. It keeps neighbouring tasks
	// together, so that finished ones form ranges, and spreads a very large job over several shards.
	tasksPerChunk = 512
)

// shardOf returns the shard of a task.
func shardOf(task describer.TaskID) int {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(task.Job))
	_, _ = hash.Write([]byte(strconv.Itoa(task.Index / tasksPerChunk)))
	return int(hash.Sum32() % ShardCount)
}

func startsPrefix(zone describer.AvailabilityZoneID) string {
	return fmt.Sprintf("Zones/%s/Starts/", zone)
}

func tasksPrefix(zone describer.AvailabilityZoneID) string {
	return fmt.Sprintf("Zones/%s/Tasks/", zone)
}

func groupKey(zone describer.AvailabilityZoneID, at Position) string {
	return fmt.Sprintf("%s%d-%d", startsPrefix(zone), at.Epoch, at.Sequence)
}

func shardKey(zone describer.AvailabilityZoneID, shard int) string {
	return fmt.Sprintf("%s%d", tasksPrefix(zone), shard)
}

// positionOf parses the position from the key of a group.
func positionOf(zone describer.AvailabilityZoneID, key string) (Position, error) {
	epoch, sequence, found := strings.Cut(strings.TrimPrefix(key, startsPrefix(zone)), "-")
	if !found {
		return Position{}, errors.Errorf("key %q has no sequence", key)
	}
	first, err := strconv.ParseInt(epoch, 10, 64)
	if err != nil {
		return Position{}, errors.Wrapf(err, "parse the epoch of key %q", key)
	}
	second, err := strconv.ParseInt(sequence, 10, 64)
	if err != nil {
		return Position{}, errors.Wrapf(err, "parse the sequence of key %q", key)
	}
	return Position{Epoch: describer.Epoch(first), Sequence: second}, nil
}

func shardNumberOf(zone describer.AvailabilityZoneID, key string) (int, error) {
	number, err := strconv.Atoi(strings.TrimPrefix(key, tasksPrefix(zone)))
	if err != nil || number < 0 || number >= ShardCount {
		return 0, errors.Errorf("key %q is not a task shard", key)
	}
	return number, nil
}

func encode(value any) ([]byte, error) {
	body, err := json.Marshal(value)
	return body, errors.Wrap(err, "encode task records")
}
