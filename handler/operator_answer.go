package handler

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"egretring.example/egretring/classifier"
	"egretring.example/egretring/ticketer"
)

// OperatorError is the body of an error answer of the operators' API.
type OperatorError struct {
	Kind    string
	Message string
	Outcome classifier.Outcome
	RetryAt time.Time `json:",omitzero"`
	// Failures are the faults of a ticket that is not valid.
	Failures []ticketer.Failure `json:",omitempty"`
}

func answer[V any](w http.ResponseWriter, view V, err error) {
	if err != nil {
		answerError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, view)
}

// answerError answers with the status and outcome of the kind of an error.
func answerError(w http.ResponseWriter, err error) {
	known := classifier.AnswerOf(classifier.KindOf(err))
	body := OperatorError{
		Kind:     known.Name,
		Message:  err.Error(),
		Outcome:  known.Outcome,
		RetryAt:  retryAt(err),
		Failures: ticketer.FailuresOf(err),
	}
	w.Header().Set("Egretring-Kind", known.Name)
	w.Header().Set("Egretring-Outcome", string(known.Outcome))
	if known.RetryMayHelp {
		w.Header().Set("Retry-After", strconv.Itoa(retrySeconds(body.RetryAt)))
	}
	writeJSON(w, known.Status, body)
}

func retryAt(err error) time.Time {
	var classified *classifier.Error
	if errors.As(err, &classified) {
		return classified.RetryAt()
	}
	return time.Time{}
}

// retrySeconds rounds up, because the header has whole seconds.
func retrySeconds(at time.Time) int {
	return max(1, int(math.Ceil(time.Until(at).Seconds())))
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An operator that has left does not need the answer.
	_ = json.NewEncoder(w).Encode(body)
}
