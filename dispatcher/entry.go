package dispatcher

import (
	"time"

	"egretring.example/egretring/classifier"
	"egretring.example/egretring/describer"
)

type state int

const (
	queued state = iota
	waitingForRetry
	running
	relayed
	ended
)

// entry is the state of one request.
type entry struct {
	request  describer.Request
	state    state
	attempts int
	server   describer.BackendServerID
	// mayHaveRun is true after evidence that does not prove that the request was not run.
	mayHaveRun bool
	// failure is the answer when no further attempt follows an attempt that may have run.
	failure   classifier.Kind
	cancelled bool
	aborted   bool
	retryAt   time.Time
}

// recordEvidence remembers what the evidence says about whether the request was run.
func (e *entry) recordEvidence(evidence describer.Evidence, answerBegun bool) {
	if evidence.ProvesNotRun() && !answerBegun {
		return
	}
	e.mayHaveRun = true
	e.failure = failureOf(evidence)
}

// kindOr returns the given kind unless the request may have run.
func (e *entry) kindOr(notRun classifier.Kind) classifier.Kind {
	if e.mayHaveRun {
		return e.failure
	}
	return notRun
}

func failureOf(evidence describer.Evidence) classifier.Kind {
	switch evidence {
	case describer.Failed:
		return classifier.BackendFailed
	case describer.Truncated:
		return classifier.BackendTruncated
	default:
		return classifier.OutcomeUnknown
	}
}
