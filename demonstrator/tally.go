package demonstrator

import (
	"slices"
	"sync"
	"time"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/fakebackend"
	"egretring.example/egretring/generator"
)

// callerOutcome is the outcome of a request that its caller received.
type callerOutcome = fakebackend.CallerOutcome

const (
	outcomeNone     = fakebackend.OutcomeNone
	outcomeAnswered = fakebackend.OutcomeAnswered
	outcomeNotRun   = fakebackend.OutcomeNotRun
	outcomeUnknown  = fakebackend.OutcomeUnknown
	outcomeRun      = fakebackend.OutcomeRun
)

// tally counts the outcomes that the callers received. It is safe for concurrent use.
type tally struct {
	ledger *fakebackend.Ledger

	mu           sync.Mutex
	classes      [describer.ClassCount]classTally
	wrongAnswers int
}

// classTally counts the requests of one class.
type classTally struct {
	sent, answered, notRun, unknown, failed, silent, cancelled int

	waits []time.Duration
}

func (t *tally) add(arrival generator.Arrival, outcome callerOutcome, elapsed time.Duration, cancelled bool) {
	t.ledger.RecordOutcome(arrival.ID, outcome)
	t.mu.Lock()
	defer t.mu.Unlock()
	class := &t.classes[arrival.Class]
	class.sent++
	switch {
	case cancelled:
		class.cancelled++
	case outcome == outcomeAnswered:
		class.answered++
		class.waits = append(class.waits, max(0, elapsed-arrival.RunTime))
	case outcome == outcomeNotRun:
		class.notRun++
	case outcome == outcomeUnknown:
		class.unknown++
	case outcome == outcomeRun:
		class.failed++
	default:
		class.silent++
	}
}

func (t *tally) countWrongAnswer() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.wrongAnswers++
}

// percentile returns the wait that the given share of the waits does not exceed. The waits must be sorted.
func percentile(waits []time.Duration, share float64) time.Duration {
	if len(waits) == 0 {
		return 0
	}
	return waits[min(len(waits)-1, int(share*float64(len(waits))))]
}

func (t *tally) results() []ClassResult {
	t.mu.Lock()
	defer t.mu.Unlock()
	results := make([]ClassResult, 0, describer.ClassCount)
	for _, class := range describer.Classes() {
		counted := t.classes[class]
		slices.Sort(counted.waits)
		results = append(results, ClassResult{
			Class: class.String(), Sent: counted.sent, Answered: counted.answered, NotRun: counted.notRun,
			Unknown: counted.unknown, Failed: counted.failed, Silent: counted.silent, Cancelled: counted.cancelled,
			WaitP50:  milliseconds(percentile(counted.waits, 0.5)),
			WaitP99:  milliseconds(percentile(counted.waits, 0.99)),
			WaitP999: milliseconds(percentile(counted.waits, 0.999)),
		})
	}
	return results
}

func milliseconds(duration time.Duration) float64 {
	return float64(duration.Microseconds()) / 1000
}
