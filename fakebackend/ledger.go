package fakebackend

import (
	"sync"
	"time"

	"egretring.example/egretring/describer"
)

// Told is what a caller was told about its request.
type Told int

// What a caller can be told.
const (
	// ToldNothing stands for a broken connection or a caller that gave up.
	ToldNothing Told = iota
	ToldAnswered
	ToldNotRun
	ToldUnknown
	ToldRun
)

// Ledger counts the runs of each request over all backend servers of a test. It is safe for concurrent use.
type Ledger struct {
	mu           sync.Mutex
	runs         map[string]int
	runsOfKey    map[string]int
	told         map[string]Told
	tasks        map[describer.TaskID]map[describer.BackendServerID]time.Time
	doubledTasks int64
}

// Verdict counts the requests and tasks for which a guarantee was broken.
type Verdict struct {
	// Lost is how many requests were told answered or run, but never ran.
	Lost int
	// DoubledKeys is how many idempotency keys ran more than once.
	DoubledKeys int
	// RunAfterNotRun is how many requests ran although their caller was told that they did not.
	RunAfterNotRun int
	// DoubledTasks is how many starts happened while the task ran on another backend server.
	DoubledTasks int64
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{
		runs:      make(map[string]int),
		runsOfKey: make(map[string]int),
		told:      make(map[string]Told),
		tasks:     make(map[describer.TaskID]map[describer.BackendServerID]time.Time),
	}
}

// Runs returns how often a request ID ran.
func (l *Ledger) Runs(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id]
}

// RunsOfKey returns how often an idempotency key ran.
func (l *Ledger) RunsOfKey(key string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runsOfKey[key]
}

// Tell records what the caller of a request ID was told.
func (l *Ledger) Tell(id string, told Told) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.told[id] = told
}

// Verdict compares what callers were told with what ran. It is final once all requests have ended.
func (l *Ledger) Verdict() Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	verdict := Verdict{DoubledTasks: l.doubledTasks}
	for id, told := range l.told {
		ran := l.runs[id] > 0
		if !ran && (told == ToldAnswered || told == ToldRun) {
			verdict.Lost++
		}
		if ran && told == ToldNotRun {
			verdict.RunAfterNotRun++
		}
	}
	for _, runs := range l.runsOfKey {
		if runs > 1 {
			verdict.DoubledKeys++
		}
	}
	return verdict
}

func (l *Ledger) ran(_ describer.BackendServerID, request Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if request.ID != "" {
		l.runs[request.ID]++
	}
	if request.Key != "" {
		l.runsOfKey[request.Key]++
	}
}

// taskRuns records that a task runs on a server until a time, unless that is extended.
func (l *Ledger) taskRuns(now time.Time, id describer.TaskID, server describer.BackendServerID, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	places := l.tasks[id]
	if places == nil {
		places = make(map[describer.BackendServerID]time.Time)
		l.tasks[id] = places
	}
	_, known := places[server]
	for other, end := range places {
		if other != server && !known && end.After(now) {
			l.doubledTasks++
		}
	}
	places[server] = until
}

// taskEnded records that a task no longer runs on a server.
func (l *Ledger) taskEnded(id describer.TaskID, server describer.BackendServerID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.tasks[id], server)
}
