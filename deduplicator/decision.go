package deduplicator

import (
	"time"

	"egretring.example/egretring/classifier"
)

// Action is the way in which a request is handled.
type Action int

// The actions.
const (
	// Run runs the request; End must follow.
	Run Action = iota
	// Reject ends the request with an error response of the kind in the decision.
	Reject
	// Replay ends the request with a response that has the recorded status and no body: a request with the key ran
	// before and got this status.
	Replay
)

// Decision is the action for a request with the values that the action needs.
type Decision struct {
	Action Action
	// Kind is set for Reject.
	Kind classifier.Kind
	// RetryAt is set for Reject when a retry may help and the time is known.
	RetryAt time.Time
	// Status is set for Replay.
	Status int
}

func reject(kind classifier.Kind) Decision {
	return Decision{Action: Reject, Kind: kind}
}

// KindWhenUnreachable returns the error kind for a request whose home cannot be reached, or which reached an instance
// that is not the home of its key. Only a first attempt that was never relayed proves that the key did not run.
func KindWhenUnreachable(attempt int, wasRelayed bool) classifier.Kind {
	if wasRelayed {
		return classifier.OutcomeUnknown
	}
	return KindOutsideHome(classifier.NoBackendServer, attempt)
}

// KindOutsideHome returns the error kind for a request with a key that is rejected with the given kind before the home
// of its key was consulted, for example while the instance drains. A kind with the outcome "not run" would be wrong for
// a retry: this attempt does not run, but an earlier one may have.
func KindOutsideHome(kind classifier.Kind, attempt int) classifier.Kind {
	if attempt != 1 && classifier.ErrorResponseOf(kind).Outcome == classifier.NotRun {
		return classifier.OutcomeUnknown
	}
	return kind
}
