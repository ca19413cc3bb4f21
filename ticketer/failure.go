package ticketer

import (
	"fmt"
	"strings"

	"github.com/pkg/errors"

	"egretring.example/egretring/classifier"
)

// failuresShown bounds the length of the message of an error.
const failuresShown = 20

// Failure is one fault in the text of a ticket.
type Failure struct {
	// Line counts from 1; zero means that the fault has no place in the text.
	Line  int
	Field string
	// Problem says what is wrong.
	Problem string
	// Allowed says which values are allowed.
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

// FailuresError is the cause of an error of kind BadTicket.
type FailuresError struct {
	Failures []Failure
}

// Error returns the failures, one a line.
func (e *FailuresError) Error() string {
	lines := make([]string, 0, failuresShown+1)
	for i, failure := range e.Failures {
		if i == failuresShown {
			lines = append(lines, fmt.Sprintf("and %d more", len(e.Failures)-failuresShown))
			break
		}
		lines = append(lines, failure.String())
	}
	return strings.Join(lines, "\n")
}

// FailuresOf returns the failures that an error of kind BadTicket holds.
func FailuresOf(err error) []Failure {
	var failures *FailuresError
	if errors.As(err, &failures) {
		return failures.Failures
	}
	return nil
}

// JoinFailures returns an error of kind BadTicket with all failures, or nil without any.
func JoinFailures(failures []Failure) error {
	if len(failures) == 0 {
		return nil
	}
	return classifier.Wrap(&FailuresError{Failures: failures}, classifier.BadTicket, "ticket is not valid")
}
