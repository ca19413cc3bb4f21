package measurer

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"egretring.example/egretring/committer"
	"egretring.example/egretring/describer"
	"egretring.example/egretring/fakekeeper"
	"egretring.example/egretring/keeper"
)

const (
	recordsZone      = "hala-a"
	groupToday       = 2
	groupLater       = 60
	recordsOfJob     = 100
	recordedTasksAll = 220_000
)

func recordSweeps(uint64) []sweep {
	tasks := []int{3_050, 6_110, 12_220, 24_440, 48_880}
	return []sweep{
		{
			"bytes of a group of starts", "records in the group",
			[]int{1, 10, 30, 60, 240},
			groupToday, groupLater,
			func(size int) float64 {
				return encodedBytes(committer.Group{Epoch: 1, Sequence: 1, Records: startedRecords(size)})
			},
		},
		{
			"µs to encode a group", "records in the group",
			[]int{1, 10, 30, 60, 240},
			groupToday, groupLater,
			func(size int) float64 {
				group := committer.Group{Epoch: 1, Sequence: 1, Records: startedRecords(size)}
				return microsecondsEach(500, func(int) { _ = encodedBytes(group) })
			},
		},
		{
			"bytes of the largest of 128 shards", "running tasks of the zone, jobs of 100 tasks", append(tasks, recordedTasksAll),
			tasksInZoneToday, tasksInZoneLater,
			func(size int) float64 { return newRecordStore(size).largest },
		},
		{
			"bytes of all shards", "running tasks of the zone", tasks, tasksInZoneToday, tasksInZoneLater,
			func(size int) float64 { return newRecordStore(size).total() },
		},
		{
			"ms of processor to recover from the shards (read twice, decode, load)", "running tasks of the zone",
			append(tasks, recordedTasksAll), tasksInZoneToday, tasksInZoneLater,
			func(size int) float64 {
				written := newRecordStore(size)
				return microsecondsEach(1, func(int) {
					_, _, _ = committer.Recover(context.Background(), written.store, recordsZone, 2, "measurer")
				}) / 1_000
			},
		},
		{
			"bytes of the journal", "running tasks of the zone", tasks, tasksInZoneToday, tasksInZoneLater,
			func(size int) float64 {
				return heapBytes(func() any {
					journal, _, _ := committer.Recover(context.Background(), newRecordStore(size).store, recordsZone, 2, "measurer")
					return journal
				})
			},
		},
	}
}

func startedRecords(count int) []committer.Record {
	records := make([]committer.Record, count)
	for i := range records {
		records[i] = committer.Record{
			Kind:    committer.Started,
			Task:    describer.TaskID{Job: describer.JobID(fmt.Sprintf("job-%06d", i/recordsOfJob)), Index: i % recordsOfJob},
			Attempt: 1, Epoch: 1_234, Server: describer.BackendServerID(fmt.Sprintf("server-%05d", i/tasksPerServer)),
			Resources: describer.Resources{MilliCores: 330, MemoryBytes: 5 * gigabyte / 4}, At: epochStart.Add(time.Duration(i)),
		}
	}
	return records
}

// recordStore is a store into which a journal has written the shards of running tasks.
type recordStore struct {
	store   *fakekeeper.Store
	largest float64
	// sizes are the bytes of each shard as last written.
	sizes map[int]float64
}

func newRecordStore(tasks int) recordStore {
	ctx := context.Background()
	written := recordStore{store: fakekeeper.New(), sizes: make(map[int]float64)}
	journal, _, err := committer.Recover(ctx, written.store, recordsZone, 1, "measurer")
	if err != nil {
		return written
	}
	for _, record := range startedRecords(tasks) {
		journal.Append(record)
	}
	now := epochStart
	for idle := 0; idle < 10; {
		now = now.Add(time.Second)
		write, ok := journal.Next(now)
		if !ok {
			idle++
			continue
		}
		idle = 0
		journal.WriteDone(written.write(ctx, write))
	}
	return written
}

func (s recordStore) total() float64 {
	var total float64
	for _, size := range s.sizes {
		total += size
	}
	return total
}

// write applies a write of the journal to the store and returns its version. Groups are skipped, because the shards
// hold the same records.
func (s *recordStore) write(ctx context.Context, write committer.Write) int64 {
	if write.Shard == nil {
		return 1
	}
	body, err := json.Marshal(write.Shard.Shard)
	if err != nil {
		return 1
	}
	s.largest = max(s.largest, float64(len(body)))
	s.sizes[write.Shard.Number] = float64(len(body))
	entry, err := s.store.Put(ctx, keeper.PutOptions{
		Key: fmt.Sprintf("Zones/%s/Tasks/%d", recordsZone, write.Shard.Number), Value: body, Version: write.Shard.Version,
	})
	if err != nil {
		return 1
	}
	return entry.Version
}
