package router

import "github.com/pkg/errors"

// responseStartedError is an error that occurred after a part of the response was sent to the caller.
type responseStartedError struct {
	cause error
}

// Error returns the cause.
func (e *responseStartedError) Error() string {
	return "answer to caller is not complete: " + e.cause.Error()
}

// Unwrap returns the cause.
func (e *responseStartedError) Unwrap() error {
	return e.cause
}

// IsErrResponseStarted reports whether a part of the response was already sent to the caller when the error occurred.
func IsErrResponseStarted(err error) bool {
	var started *responseStartedError
	return errors.As(err, &started)
}
