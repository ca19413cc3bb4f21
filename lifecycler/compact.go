package lifecycler

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"egretring.example/egretring/specifier"
)

// maxListedTasks is how many started tasks a record lists one by one. A record with more is compact, so that it fits a value of
// the store; earlier versions of the program cannot read it.
const maxListedTasks = 1000

// CompactRecord is the progress of a job with many tasks. Tasks are numbered through all steps of an occurrence.
type CompactRecord struct {
	// FirstOccurrence is the first occurrence that is not finished.
	FirstOccurrence int            `json:",omitempty"`
	Servers         []ServerRecord `json:",omitempty"`
	// LongLeases are the positions in Servers, as ranges, of those with a run whose Placement has LongLease set. It then holds for
	// all runs of the job there.
	LongLeases string `json:",omitempty"`
	// Unanswered and Doubtful are the positions of those with such a start, which then hold for all runs of the job there.
	Unanswered string      `json:",omitempty"`
	Doubtful   string      `json:",omitempty"`
	Groups     []TaskGroup `json:",omitempty"`
	// Details has at most maxListedTasks entries. Without its entry a task starts from the beginning instead of its checkpoint,
	// and the crashes under it are forgotten.
	Details []TaskDetail `json:",omitempty"`
}

// ServerRecord is an incarnation of a backend server.
type ServerRecord struct {
	ID          specifier.ServerID
	Incarnation int64  `json:",omitempty"`
	Address     string `json:",omitempty"`
}

// TaskGroup is the progress that some tasks of an occurrence have in common.
type TaskGroup struct {
	Occurrence int       `json:",omitempty"`
	State      TaskState `json:",omitempty"`
	Run        int       `json:",omitempty"`
	FailedRuns []int     `json:",omitempty"`
	// Server is the position of the server of placed tasks in CompactRecord.Servers.
	Server int `json:",omitempty"`
	// Tasks are ranges of numbers such as "0-4,7".
	Tasks string
}

// TaskDetail is what a task has for itself. The checkpoint of a gang is that of its first task.
type TaskDetail struct {
	Occurrence int     `json:",omitempty"`
	Task       int     `json:",omitempty"`
	Checkpoint string  `json:",omitempty"`
	Crashes    []Crash `json:",omitempty"`
}

// groupKey identifies a TaskGroup.
type groupKey struct {
	occurrence int
	state      TaskState
	run        int
	failedRuns string
	server     ServerRecord
}

// compact builds a CompactRecord.
type compact struct {
	record  CompactRecord
	groups  map[groupKey]int
	ranges  []*rangeList
	servers map[ServerRecord]int
	// longLeases are the positions of the servers with long leases.
	longLeases map[int]bool
	// starts are the positions of the servers with starts in the states Unanswered and Doubtful.
	starts  [Doubtful + 1]map[int]bool
	crashes []TaskDetail
	// checkpoints are the details of tasks under which no server has crashed.
	checkpoints []TaskDetail
}

// startedTasks returns how many tasks a record has to list.
func (j *Job) startedTasks() int {
	started := j.firstOpen * len(j.Spec.Steps)
	for _, known := range j.occurrences {
		for _, step := range known.steps {
			if step.Finished() {
				started++
				continue
			}
			for i := range step.Tasks {
				if step.Tasks[i].Run > 0 {
					started++
				}
			}
		}
	}
	return started
}

// compactRecord returns the job's progress as a compact record.
func (j *Job) compactRecord() *CompactRecord {
	b := &compact{groups: make(map[groupKey]int), servers: make(map[ServerRecord]int), longLeases: make(map[int]bool)}
	b.record.FirstOccurrence = j.firstOpen
	for state := range b.starts {
		b.starts[state] = make(map[int]bool)
	}
	for occurrence := j.firstOpen; occurrence < j.nextOccurrence; occurrence++ {
		known := j.occurrences[occurrence]
		if known == nil {
			continue
		}
		for i, step := range known.steps {
			for index := range step.Tasks {
				b.add(occurrence, j.firstTasks[i]+index, step, index)
			}
		}
	}
	return b.finish()
}

func (b *compact) add(occurrence, number int, step *Step, index int) {
	task := &step.Tasks[index]
	if task.Run == 0 && task.State != Done {
		return
	}
	key := groupKey{occurrence: occurrence, state: task.State}
	if task.State != Done {
		key.run, key.failedRuns = task.Run, fmt.Sprint(task.FailedRuns)
		b.addDetail(occurrence, number, step, index)
	}
	if task.State == Placed {
		key.server = ServerRecord{ID: task.Server, Incarnation: task.Incarnation, Address: task.Address}
		if task.LongLease {
			b.longLeases[b.server(key.server)] = true
		}
		if task.Start != Answered {
			b.starts[task.Start][b.server(key.server)] = true
		}
	}
	i, known := b.groups[key]
	if !known {
		i = len(b.record.Groups)
		b.groups[key] = i
		group := TaskGroup{Occurrence: occurrence, State: task.State, Run: key.run}
		if task.State != Done {
			group.FailedRuns = task.FailedRuns
		}
		if task.State == Placed {
			group.Server = b.server(key.server)
		}
		b.record.Groups, b.ranges = append(b.record.Groups, group), append(b.ranges, &rangeList{})
	}
	b.ranges[i].add(number)
}

func (b *compact) server(server ServerRecord) int {
	i, known := b.servers[server]
	if !known {
		i = len(b.record.Servers)
		b.servers[server] = i
		b.record.Servers = append(b.record.Servers, server)
	}
	return i
}

func (b *compact) addDetail(occurrence, number int, step *Step, index int) {
	task := &step.Tasks[index]
	detail := TaskDetail{Occurrence: occurrence, Task: number, Crashes: task.Crashes}
	if !step.Spec.Gang || index == 0 {
		detail.Checkpoint = task.Checkpoint
	}
	switch {
	case len(detail.Crashes) > 0:
		b.crashes = append(b.crashes, detail)
	case detail.Checkpoint != "":
		b.checkpoints = append(b.checkpoints, detail)
	}
}

func (b *compact) finish() *CompactRecord {
	for i := range b.record.Groups {
		b.record.Groups[i].Tasks = b.ranges[i].String()
	}
	b.record.LongLeases = rangesOf(b.longLeases)
	b.record.Unanswered, b.record.Doubtful = rangesOf(b.starts[Unanswered]), rangesOf(b.starts[Doubtful])
	details := slices.Concat(b.crashes, b.checkpoints)
	b.record.Details = details[:min(len(details), maxListedTasks)]
	return &b.record
}

// rangesOf returns a set of numbers as a list of ranges.
func rangesOf(set map[int]bool) string {
	var ranges rangeList
	for _, number := range slices.Sorted(maps.Keys(set)) {
		ranges.add(number)
	}
	return ranges.String()
}

// restoreCompact applies a compact record to a new job.
func (j *Job) restoreCompact(record *CompactRecord) error {
	if record.FirstOccurrence < 0 || record.FirstOccurrence > j.Spec.OccurrenceCount() {
		return errors.Errorf("record of job %s begins with occurrence %d", j.Spec.ID, record.FirstOccurrence)
	}
	j.firstOpen, j.nextOccurrence, j.finishedOccurrences = record.FirstOccurrence, record.FirstOccurrence, record.FirstOccurrence
	j.started = j.started || record.FirstOccurrence > 0
	longLeases, err := setOfRanges(record.LongLeases)
	if err != nil {
		return errors.Wrapf(err, "long leases of job %s", j.Spec.ID)
	}
	unanswered, err := setOfRanges(record.Unanswered)
	if err != nil {
		return errors.Wrapf(err, "unanswered starts of job %s", j.Spec.ID)
	}
	doubtful, err := setOfRanges(record.Doubtful)
	if err != nil {
		return errors.Wrapf(err, "doubtful starts of job %s", j.Spec.ID)
	}
	for _, group := range record.Groups {
		start := Answered
		switch {
		case group.State != Placed:
		case doubtful[group.Server]:
			start = Doubtful
		case unanswered[group.Server]:
			start = Unanswered
		}
		if err := j.restoreGroup(record, group, longLeases[group.Server], start); err != nil {
			return err
		}
	}
	for _, detail := range record.Details {
		step, index, err := j.taskNumbered(detail.Occurrence, detail.Task)
		if err != nil {
			return err
		}
		step.Tasks[index].Crashes = detail.Crashes
		step.setCheckpoint(index, detail.Checkpoint)
	}
	return nil
}

func (j *Job) restoreGroup(record *CompactRecord, group TaskGroup, longLease bool, start StartState) error {
	var server ServerRecord
	if group.State == Placed {
		if group.Server < 0 || group.Server >= len(record.Servers) {
			return errors.Errorf("record of job %s names server %d of %d", j.Spec.ID, group.Server, len(record.Servers))
		}
		server = record.Servers[group.Server]
	}
	return eachInRanges(group.Tasks, func(number int) error {
		step, index, err := j.taskNumbered(group.Occurrence, number)
		if err != nil {
			return err
		}
		task := &step.Tasks[index]
		if task.State == Done {
			return errors.Errorf("record of job %s names task %d twice", j.Spec.ID, number)
		}
		*task = Task{
			State: group.State, Run: group.Run, FailedRuns: slices.Clone(group.FailedRuns), Server: server.ID,
			Incarnation: server.Incarnation, Address: server.Address, LongLease: longLease && group.State == Placed, Start: start,
		}
		if group.State == Done {
			step.done++
		}
		return nil
	})
}

// taskNumbered returns a task by its number in an occurrence, which it begins if it has not begun.
func (j *Job) taskNumbered(occurrence, number int) (*Step, int, error) {
	i, found := slices.BinarySearch(j.firstTasks, number)
	if !found {
		i--
	}
	if occurrence < j.firstOpen || occurrence >= j.Spec.OccurrenceCount() || i < 0 ||
		number-j.firstTasks[i] >= j.Spec.Steps[i].Count {
		return nil, 0, errors.Errorf("record of job %s names task %d of occurrence %d", j.Spec.ID, number, occurrence)
	}
	return j.ensureOccurrence(occurrence).steps[i], number - j.firstTasks[i], nil
}

// rangeList is an ascending list of numbers as ranges.
type rangeList struct {
	text        strings.Builder
	first, last int
	any         bool
}

func (l *rangeList) add(number int) {
	if l.any && number == l.last+1 {
		l.last = number
		return
	}
	l.flush()
	l.first, l.last, l.any = number, number, true
}

func (l *rangeList) flush() {
	if !l.any {
		return
	}
	if l.text.Len() > 0 {
		l.text.WriteByte(',')
	}
	l.text.WriteString(strconv.Itoa(l.first))
	if l.last > l.first {
		l.text.WriteByte('-')
		l.text.WriteString(strconv.Itoa(l.last))
	}
	l.any = false
}

// String returns the ranges, and ends the list.
func (l *rangeList) String() string {
	l.flush()
	return l.text.String()
}

// eachInRanges calls a function with each number of a list of ranges, until it returns an error.
func eachInRanges(list string, visit func(int) error) error {
	for part := range strings.SplitSeq(list, ",") {
		begin, end, isRange := strings.Cut(part, "-")
		if !isRange {
			end = begin
		}
		first, err := strconv.Atoi(begin)
		if err != nil {
			return errors.Wrapf(err, "range %q", part)
		}
		last, err := strconv.Atoi(end)
		if err != nil {
			return errors.Wrapf(err, "range %q", part)
		}
		for number := first; number <= last; number++ {
			if err := visit(number); err != nil {
				return err
			}
		}
	}
	return nil
}

// setOfRanges returns the numbers of a list of ranges.
func setOfRanges(list string) (map[int]bool, error) {
	set := make(map[int]bool)
	if list == "" {
		return set, nil
	}
	err := eachInRanges(list, func(number int) error {
		set[number] = true
		return nil
	})
	return set, err
}
