package forwarder

import (
	"net/http"
	"time"

	"egretring.example/egretring/classifier"
	"egretring.example/egretring/describer"
)

// Request is the caller's request to forward.
type Request struct {
	Method string
	// Path is the path with the query, as received from the caller.
	Path   string
	Header http.Header
	Body   []byte
}

// ExchangeOptions are the options of one exchange.
type ExchangeOptions struct {
	// Server is the backend server, or the address of a peer's relay listener when RelayedBy is set.
	Server  describer.BackendServer
	Request Request
	// Deadline ends the exchange and is sent to the server; zero means that there is none.
	Deadline time.Time
	Writer   http.ResponseWriter
	// RelayedBy is set for a relay to a peer; it names the instance that relays.
	RelayedBy describer.InstanceID
	// OnEnded is called as soon as the result is known and Writer is no longer used. An aborted exchange returns
	// later, when the server has closed the connection or the wait for that has timed out. OnEnded may be nil.
	OnEnded func(Result)
}

// Result is what was observed during an exchange.
type Result struct {
	Evidence describer.Evidence
	// ResponseStarted is true when the header of a response has been written to Writer.
	ResponseStarted bool
	// Status is the status code of the server's response; zero when none arrived.
	Status int
	// Leaving is true when the server reported that it is leaving.
	Leaving bool
	// Peer is set when a peer refused a relayed request.
	Peer PeerRefusal
	// CallerAborted is true when the connection to the caller was closed because the response that it had begun to
	// receive is incomplete. When ResponseStarted is true, Evidence is not Answered and CallerAborted is false, the
	// handler must panic with http.ErrAbortHandler.
	CallerAborted bool
	// MayStillRun is true when the server may still run the request although the exchange has ended. It is known
	// only when Exchange has returned, not in OnEnded.
	MayStillRun bool
	Err         error
}

// PeerRefusal is the reason for which a peer refused to run a relayed request.
type PeerRefusal struct {
	Kind classifier.Kind
	// RetryAt is zero when the peer sent none.
	RetryAt time.Time
}
