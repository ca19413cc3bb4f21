package dispatcher

import (
	"time"

	"egretring.example/egretring/classifier"
	"egretring.example/egretring/describer"
)

// Command is something that the caller of the core has to do.
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

// AnswerRequest ends a request with an error. A request whose complete answer was delivered needs no command.
type AnswerRequest struct {
	ID   describer.RequestID
	Kind classifier.Kind
	// RetryAt is zero when nothing is known.
	RetryAt time.Time
	// ExpectedWait is the wait in the queue that was expected when the request arrived; 24 h without any slot.
	ExpectedWait time.Duration
}

// AbortAttempt ends a running attempt; the core waits for its AttemptEnded before it uses the slot again.
type AbortAttempt struct {
	ID      describer.RequestID
	Attempt int
	// Relay is true when the relay of the request is to be ended; Attempt is then zero.
	Relay bool
}

func (StartAttempt) isCommand()  {}
func (RelayToPeer) isCommand()   {}
func (AnswerRequest) isCommand() {}
func (AbortAttempt) isCommand()  {}
