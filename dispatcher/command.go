package dispatcher

import (
	"time"

	"egretring.example/egretring/classifier"
	"egretring.example/egretring/describer"
)

// Command is an action that the caller of the Dispatcher must carry out.
type Command interface {
	isCommand()
}

// StartAttempt starts an attempt on a backend server.
type StartAttempt struct {
	ID            describer.RequestID
	Attempt       int
	BackendServer describer.BackendServerID
	Deadline      time.Time
}

// RelayToPeer sends a request to a peer that has free slots.
type RelayToPeer struct {
	ID       describer.RequestID
	Instance describer.InstanceID
	Deadline time.Time
}

// FailRequest ends a request with an error. A request whose complete response was delivered ends without a command.
type FailRequest struct {
	ID   describer.RequestID
	Kind classifier.Kind
	// RetryAt is the time from which a retry by the caller may succeed; it is zero when no such time is known.
	RetryAt time.Time
	// ExpectedWait is the wait in the queue that was expected when the request arrived; it is 24 h when no slot was
	// available.
	ExpectedWait time.Duration
}

// AbortAttempt ends a running attempt or relay. The Dispatcher reuses the slot of an attempt only after its
// AttemptEnded event.
type AbortAttempt struct {
	ID      describer.RequestID
	Attempt int
	// Relay is true when the relay of the request must be ended; Attempt is then zero.
	Relay bool
}

func (StartAttempt) isCommand() {}
func (RelayToPeer) isCommand()  {}
func (FailRequest) isCommand()  {}
func (AbortAttempt) isCommand() {}
