package committer

import (
	"cmp"
	"slices"

	"egretring.example/egretring/describer"
)

// table is the state of the tasks of a zone, derived from its records.
type table struct {
	shards [ShardCount]tableShard
}

type tableShard struct {
	last     map[describer.TaskID]Record
	finished map[describer.TaskID]Outcome
}

func newTable() *table {
	t := &table{}
	for i := range t.shards {
		t.shards[i] = tableShard{
			last: make(map[describer.TaskID]Record), finished: make(map[describer.TaskID]Outcome),
		}
	}
	return t
}

// apply updates the state with a record. A record of an older attempt is ignored.
func (t *table) apply(record Record) {
	shard := &t.shards[shardOf(record.Task)]
	if known, ok := shard.last[record.Task]; ok && known.Attempt > record.Attempt {
		return
	}
	if record.Kind == Ended && record.Outcome.IsFinal() {
		delete(shard.last, record.Task)
		shard.finished[record.Task] = record.Outcome
		return
	}
	if _, finished := shard.finished[record.Task]; !finished {
		shard.last[record.Task] = record
	}
}

// removeJob removes the tasks of a job.
func (s *tableShard) removeJob(job describer.JobID) {
	for task := range s.last {
		if task.Job == job {
			delete(s.last, task)
		}
	}
	for task := range s.finished {
		if task.Job == job {
			delete(s.finished, task)
		}
	}
}

// load adds the tasks of a compacted shard.
func (t *table) load(number int, shard Shard) {
	into := &t.shards[number]
	for _, record := range shard.Records {
		into.last[record.Task] = record
	}
	for _, finished := range shard.Finished {
		for index := finished.First; index < finished.First+finished.Count; index++ {
			into.finished[describer.TaskID{Job: finished.Job, Index: index}] = finished.Outcome
		}
	}
}

// records returns the last record of each unfinished task of a shard, ordered by task.
func (s *tableShard) records() []Record {
	records := make([]Record, 0, len(s.last))
	for _, record := range s.last {
		records = append(records, record)
	}
	slices.SortFunc(records, func(a, b Record) int { return compareTasks(a.Task, b.Task) })
	return records
}

// ranges returns the finished tasks of a shard as ranges.
func (s *tableShard) ranges() []Finished {
	tasks := make([]describer.TaskID, 0, len(s.finished))
	for task := range s.finished {
		tasks = append(tasks, task)
	}
	slices.SortFunc(tasks, compareTasks)
	var ranges []Finished
	for _, task := range tasks {
		outcome := s.finished[task]
		last := len(ranges) - 1
		if last >= 0 && ranges[last].Job == task.Job && ranges[last].Outcome == outcome &&
			ranges[last].First+ranges[last].Count == task.Index {
			ranges[last].Count++
			continue
		}
		ranges = append(ranges, Finished{Job: task.Job, First: task.Index, Count: 1, Outcome: outcome})
	}
	return ranges
}

func compareTasks(a, b describer.TaskID) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Index, b.Index))
}
