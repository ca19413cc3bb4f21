package runner

import (
	"context"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/dispatcher"
)

// Outcome is how an attempt or a relay ended.
type Outcome struct {
	Evidence describer.Evidence
	// ResponseStarted is true when at least one byte of a response has been sent to the caller.
	ResponseStarted bool
	// ResponseComplete is true when the whole response has been sent to the caller.
	ResponseComplete bool
	// MayStillRun is true when the backend server may still run the request although the attempt has ended.
	MayStillRun bool
	// ServerLeaving is true when the backend server announced that it is leaving.
	ServerLeaving bool
}

// Executor carries out the commands for one request.
type Executor interface {
	// Attempt runs the request on a backend server.
	Attempt(ctx context.Context, start dispatcher.StartAttempt) Outcome
	// Relay sends the request to a peer.
	Relay(ctx context.Context, relay dispatcher.RelayToPeer) Outcome
}
