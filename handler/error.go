package handler

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"egretring.example/egretring/classifier"
	"egretring.example/egretring/forwarder"
	"egretring.example/egretring/ticketer"
)

// ErrorBody is the body of an error response.
type ErrorBody struct {
	Kind    string
	Message string
	Outcome classifier.Outcome
	RetryAt time.Time `json:",omitzero"`
	// Failures lists the errors in a ticket that is not valid.
	Failures []ticketer.Failure `json:",omitempty"`
}

// WriteError writes an error response.
func WriteError(w http.ResponseWriter, err error) {
	response := classifier.ErrorResponseOf(classifier.KindOf(err))
	body := ErrorBody{
		Kind:     response.Name,
		Message:  err.Error(),
		Outcome:  response.Outcome,
		RetryAt:  classifier.RetryAtOf(err),
		Failures: ticketer.FailuresOf(err),
	}
	w.Header().Set(forwarder.HeaderKind, response.Name)
	w.Header().Set(forwarder.HeaderOutcome, string(response.Outcome))
	if response.RetryMayHelp {
		w.Header().Set("Retry-After", strconv.Itoa(retrySeconds(body.RetryAt)))
	}
	writeJSON(w, response.Status, body)
}

// retrySeconds returns the value of Retry-After, at least 1. It rounds up, because the header has whole seconds.
func retrySeconds(at time.Time) int {
	return max(1, int(math.Ceil(time.Until(at).Seconds())))
}
