package messenger

import "github.com/pkg/errors"

var (
	// ErrRefused is returned when the connection was refused: no process listens on the peer's address.
	ErrRefused = errors.New("peer refused the connection")
	// ErrNoResponse is returned when the peer did not respond; it may be live, and may have received the message.
	ErrNoResponse = errors.New("peer did not respond")
	// ErrRejected is returned when the peer responded with an error.
	ErrRejected = errors.New("peer rejected the message")
	// ErrBackoff is returned when no connection was attempted, because the last attempt or call failed a short time
	// ago. It does not indicate the present state of the peer.
	ErrBackoff = errors.New("peer was not called; the backoff after a failure has not ended")
	// ErrTooLarge is returned when a message exceeds the size limit; it was not sent.
	ErrTooLarge = errors.New("message exceeds the size limit")
)

// IsErrRefused reports whether the peer's address refused the connection.
func IsErrRefused(err error) bool {
	return errors.Is(err, ErrRefused)
}

// IsErrNoResponse reports whether the peer did not respond.
func IsErrNoResponse(err error) bool {
	return errors.Is(err, ErrNoResponse)
}

// IsErrRejected reports whether the peer responded with an error.
func IsErrRejected(err error) bool {
	return errors.Is(err, ErrRejected)
}

// IsErrBackoff reports whether no connection was attempted because of a backoff.
func IsErrBackoff(err error) bool {
	return errors.Is(err, ErrBackoff)
}

// IsErrTooLarge reports whether a message exceeds the size limit.
func IsErrTooLarge(err error) bool {
	return errors.Is(err, ErrTooLarge)
}
