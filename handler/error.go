package handler

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"egretring.example/egretring/classifier"
)

// The headers of answers that egretring gives itself.
const (
	HeaderKind    = "Egretring-Kind"
	HeaderOutcome = "Egretring-Outcome"
)

// ErrorBody is the body of an answer with an error.
type ErrorBody struct {
	Kind    string
	Message string
	Outcome classifier.Outcome
	RetryAt time.Time `json:",omitzero"`
}

// WriteError answers with an error.
func WriteError(w http.ResponseWriter, err error) {
	answer := classifier.AnswerOf(classifier.KindOf(err))
	body := ErrorBody{Kind: answer.Name, Message: err.Error(), Outcome: answer.Outcome, RetryAt: classifier.RetryAtOf(err)}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(HeaderKind, answer.Name)
	w.Header().Set(HeaderOutcome, string(answer.Outcome))
	if answer.RetryMayHelp {
		w.Header().Set("Retry-After", strconv.Itoa(retrySeconds(body.RetryAt)))
	}
	w.WriteHeader(answer.Status)
	if err := json.NewEncoder(w).Encode(body); err != nil {
		return
	}
}

// retrySeconds returns the whole seconds until a retry may succeed, at least one.
func retrySeconds(at time.Time) int {
	return max(1, int(time.Until(at).Round(time.Second)/time.Second))
}
