package messenger

import "github.com/pkg/errors"

var (
	// ErrRefused is returned when the peer's address refused the connection: no process listens there.
	ErrRefused = errors.New("peer refused the connection")
	// ErrSilent is returned when the peer did not answer; it may be alive, and may have received the message.
	ErrSilent = errors.New("peer did not answer")
	// ErrRejected is returned when the peer answered with an error.
	ErrRejected = errors.New("peer rejected the message")
	// ErrBackoff is returned when no connection was tried, because the last attempt failed a short time ago. It says
	// nothing about the present state of the peer.
	ErrBackoff = errors.New("peer is not called before the next attempt to connect")
	// ErrTooLarge is returned when a message exceeds the size limit; it was not sent.
	ErrTooLarge = errors.New("message exceeds the size limit")
)

// IsErrRefused reports whether the peer's address refused the connection.
func IsErrRefused(err error) bool {
	return errors.Is(err, ErrRefused)
}

// IsErrSilent reports whether the peer did not answer.
func IsErrSilent(err error) bool {
	return errors.Is(err, ErrSilent)
}

// IsErrRejected reports whether the peer answered with an error.
func IsErrRejected(err error) bool {
	return errors.Is(err, ErrRejected)
}

// IsErrBackoff reports whether no connection was tried.
func IsErrBackoff(err error) bool {
	return errors.Is(err, ErrBackoff)
}

// IsErrTooLarge reports whether a message exceeds the size limit.
func IsErrTooLarge(err error) bool {
	return errors.Is(err, ErrTooLarge)
}
