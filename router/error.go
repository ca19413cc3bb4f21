package router

import "github.com/pkg/errors"

// answerBegunError is an error after a part of the answer was sent to the caller.
type answerBegunError struct {
	cause error
}

// Error returns the cause.
func (e *answerBegunError) Error() string {
	return "answer to caller is not complete: " + e.cause.Error()
}

// Unwrap returns the cause.
func (e *answerBegunError) Unwrap() error {
	return e.cause
}

// IsErrResponseStarted reports whether a part of the answer was already sent to the caller.
func IsErrResponseStarted(err error) bool {
	var begun *answerBegunError
	return errors.As(err, &begun)
}
