package fakebackend

import (
	"sync"
	"time"

	"egretring.example/egretring/describer"
)

// CallerOutcome is the outcome of a request that was reported to its caller.
type CallerOutcome int

// The outcomes that a caller can receive.
const (
	// OutcomeNone means that the caller received no outcome: the connection broke or the caller gave up.
	OutcomeNone CallerOutcome = iota
	OutcomeAnswered
	OutcomeNotRun
	OutcomeUnknown
	OutcomeRun
)

// Ledger counts the runs of each request and records where each task runs, over all backend servers of a test. It is
// safe for concurrent use.
type Ledger struct {
	mu           sync.Mutex
	runs         map[string]int
	runsOfKey    map[string]int
	reported     map[string]CallerOutcome
	tasks        map[describer.TaskID]map[describer.BackendServerID]time.Time
	doubledTasks int64
}

// Violations counts the requests, idempotency keys and task starts for which a guarantee was broken.
type Violations struct {
	// Lost is the number of requests that were reported as answered or run but never ran.
	Lost int
	// DoubledKeys is the number of idempotency keys that ran more than once.
	DoubledKeys int
	// RunAfterNotRun is the number of requests that ran although they were reported as not run.
	RunAfterNotRun int
	// DoubledTasks is the number of task starts while the task ran on another backend server, counted once for each
	// such server.
	DoubledTasks int64
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{
		runs:      make(map[string]int),
		runsOfKey: make(map[string]int),
		reported:  make(map[string]CallerOutcome),
		tasks:     make(map[describer.TaskID]map[describer.BackendServerID]time.Time),
	}
}

// Runs returns the number of runs of a request.
func (l *Ledger) Runs(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id]
}

// RunsOfKey returns the number of runs of the requests with an idempotency key.
func (l *Ledger) RunsOfKey(key string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runsOfKey[key]
}

// RecordOutcome records the outcome that was reported to the caller of a request.
func (l *Ledger) RecordOutcome(id string, outcome CallerOutcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reported[id] = outcome
}

// Violations compares the reported outcomes with the recorded runs. The result is final once all requests have ended.
func (l *Ledger) Violations() Violations {
	l.mu.Lock()
	defer l.mu.Unlock()
	violations := Violations{DoubledTasks: l.doubledTasks}
	for id, outcome := range l.reported {
		ran := l.runs[id] > 0
		if !ran && (outcome == OutcomeAnswered || outcome == OutcomeRun) {
			violations.Lost++
		}
		if ran && outcome == OutcomeNotRun {
			violations.RunAfterNotRun++
		}
	}
	for _, runs := range l.runsOfKey {
		if runs > 1 {
			violations.DoubledKeys++
		}
	}
	return violations
}

func (l *Ledger) recordRun(_ describer.BackendServerID, request Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if request.ID != "" {
		l.runs[request.ID]++
	}
	if request.Key != "" {
		l.runsOfKey[request.Key]++
	}
}

// recordTask records that a task runs on a server until a time, which a later call can extend. If the task was not
// recorded on this server before, each other server on which it still runs is counted in doubledTasks.
func (l *Ledger) recordTask(now time.Time, id describer.TaskID, server describer.BackendServerID, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	runsUntil := l.tasks[id]
	if runsUntil == nil {
		runsUntil = make(map[describer.BackendServerID]time.Time)
		l.tasks[id] = runsUntil
	}
	_, known := runsUntil[server]
	for other, end := range runsUntil {
		if other != server && !known && end.After(now) {
			l.doubledTasks++
		}
	}
	runsUntil[server] = until
}

// removeTask records that a task no longer runs on a server.
func (l *Ledger) removeTask(id describer.TaskID, server describer.BackendServerID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.tasks[id], server)
}
