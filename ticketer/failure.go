package ticketer

import (
	"fmt"
	"strings"

	"github.com/pkg/errors"

	"egretring.example/egretring/classifier"
)

// maxFailuresShown is the maximum number of failures in the message of an error.
const maxFailuresShown = 20

// Failure is one mistake in a ticket.
type Failure struct {
	// Line is the line in the text of the ticket, from 1; zero means that the failure belongs to no line.
	Line  int
	Field string
	// Problem describes what is wrong.
	Problem string
	// Allowed describes the allowed values.
	Allowed string
}

// String returns the failure as one line.
func (f Failure) String() string {
	text := f.Problem
	if f.Field != "" {
		text = f.Field + ": " + text
	}
	if f.Line > 0 {
		text = fmt.Sprintf("line %d: %s", f.Line, text)
	}
	if f.Allowed != "" {
		text += "; allowed: " + f.Allowed
	}
	return text
}

// FailuresError is the cause of an error of kind BadTicket that JoinFailures returns.
type FailuresError struct {
	Failures []Failure
}

// Error returns the failures, one per line.
func (e *FailuresError) Error() string {
	lines := make([]string, 0, maxFailuresShown+1)
	for i, failure := range e.Failures {
		if i == maxFailuresShown {
			lines = append(lines, fmt.Sprintf("and %d more", len(e.Failures)-maxFailuresShown))
			break
		}
		lines = append(lines, failure.String())
	}
	return strings.Join(lines, "\n")
}

// FailuresOf returns the failures in an error that JoinFailures returned, or nil for another error.
func FailuresOf(err error) []Failure {
	var failures *FailuresError
	if errors.As(err, &failures) {
		return failures.Failures
	}
	return nil
}

// JoinFailures returns an error of kind BadTicket with all failures, or nil if there are none.
func JoinFailures(failures []Failure) error {
	if len(failures) == 0 {
		return nil
	}
	return classifier.Wrap(&FailuresError{Failures: failures}, classifier.BadTicket, "ticket is not valid")
}
