package classifier

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Error is an error with a kind.
type Error struct {
	kind    Kind
	message string
	retryAt time.Time
	cause   error
}

// New returns an error of the given kind.
func New(kind Kind, format string, args ...any) *Error {
	return &Error{kind: kind, message: fmt.Sprintf(format, args...)}
}

// Wrap returns an error of the given kind that has a cause.
func Wrap(cause error, kind Kind, format string, args ...any) *Error {
	return &Error{kind: kind, message: fmt.Sprintf(format, args...), cause: cause}
}

// WithRetryAt returns a copy with the time from which a retry may succeed.
func (e *Error) WithRetryAt(at time.Time) *Error {
	clone := *e
	clone.retryAt = at
	return &clone
}

// Error returns the message and its cause.
func (e *Error) Error() string {
	if e.cause == nil {
		return e.message
	}
	return e.message + ": " + e.cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.cause
}

// Kind returns the kind.
func (e *Error) Kind() Kind {
	return e.kind
}

// RetryAt returns the time from which a retry may succeed; it is zero when that time is unknown.
func (e *Error) RetryAt() time.Time {
	return e.retryAt
}

// KindOf returns the kind of an error; an error without a kind is Internal.
func KindOf(err error) Kind {
	var classified *Error
	if errors.As(err, &classified) {
		return classified.kind
	}
	return Internal
}

// RetryAtOf returns the time from which a retry may succeed; it is zero when that time is unknown.
func RetryAtOf(err error) time.Time {
	var classified *Error
	if errors.As(err, &classified) {
		return classified.retryAt
	}
	return time.Time{}
}

// IsErrKind reports whether the error has the given kind.
func IsErrKind(err error, kind Kind) bool {
	return err != nil && KindOf(err) == kind
}

// IsErrNotRun reports whether the error guarantees that the request was not run.
func IsErrNotRun(err error) bool {
	return err != nil && ErrorResponseOf(KindOf(err)).Outcome == NotRun
}
