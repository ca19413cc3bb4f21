package deduplicator

import (
	"net/http"
	"time"

	"egretring.example/egretring/classifier"
	"egretring.example/egretring/describer"
)

type recordState int

const (
	running recordState = iota
	finished
	unknown
)

// record is the state of a key at its home.
type record struct {
	text   string
	state  recordState
	status int
	// expiresAt is set when the run has ended.
	expiresAt time.Time
}

// end sets the state after a run that did happen or may have happened.
func (r *record) end(evidence describer.Evidence, status int) {
	r.state = unknown
	if evidence == describer.Answered || evidence == describer.Failed {
		r.state = finished
		r.status = status
	}
}

// decision returns the decision for a further attempt with the key.
func (r *record) decision() Decision {
	switch {
	case r.state == running:
		return reject(classifier.KeyInUse)
	case r.state == unknown:
		return reject(classifier.OutcomeUnknown)
	case r.status >= http.StatusInternalServerError:
		return reject(classifier.BackendFailed)
	default:
		return Decision{Action: Replay, Status: r.status}
	}
}
