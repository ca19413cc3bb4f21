package dispatcher

import (
	"time"

	"egretring.example/egretring/classifier"
	"egretring.example/egretring/describer"
	"egretring.example/egretring/estimator"
	"egretring.example/egretring/queuer"
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
	item    queuer.Item[*entry]
	request describer.Request
	learner *estimator.Learner
	state   state

	arrived      time.Time
	expectedWait time.Duration

	attempts  int
	server    describer.BackendServerID
	startedAt time.Time
	// countsAsLong is true while the running attempt counts as long work.
	countsAsLong bool
	// relays is the number of relays; a request is relayed at most once.
	relays int
	peer   describer.InstanceID

	// mayHaveRun is true once the evidence of an attempt or relay does not rule out that the request was run.
	mayHaveRun bool
	// failure is the error kind of the response if mayHaveRun is true and no further attempt follows.
	failure   classifier.Kind
	cancelled bool
	// expired is true when the deadline passed while an attempt or a relay was running.
	expired bool
}

// inFlight reports whether an attempt or a relay is running.
func (e *entry) inFlight() bool {
	return e.state == running || e.state == relayed
}

// recordEvidence updates mayHaveRun and failure from the evidence of an attempt or relay that ended without a complete
// response.
func (e *entry) recordEvidence(evidence describer.Evidence, responseStarted bool) {
	if evidence.ProvesNotRun() && !responseStarted {
		return
	}
	e.mayHaveRun = true
	e.failure = failureOf(evidence)
}

// kindOr returns the given error kind, or the recorded failure if the request may have run.
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
