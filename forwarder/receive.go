package forwarder

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"egretring.example/egretring/classifier"
	"egretring.example/egretring/describer"
)

const (
	lowestFinalStatus = 200
	lowestErrorStatus = 400
	highestStatus     = 599
)

// errNoLength is the error for a response whose end is marked by the end of the connection only. A server that crashes
// looks the same as one that has sent everything, so such a response is never forwarded as complete.
var errNoLength = errors.New("response has neither Content-Length nor chunked encoding")

// errBadStatus is the error for a status that HTTP does not define as the end of an exchange.
var errBadStatus = errors.New("response has an invalid status")

// errOtherRequest is the error for a response that names another request. If a server sends a response late or twice on
// a connection, one caller would otherwise receive the response to the request of another.
var errOtherRequest = errors.New("response is for another request")

// receive handles a response whose header has arrived, according to its status and header.
func (x *exchange) receive(ctx context.Context, response *http.Response) {
	x.result.Status = response.StatusCode
	x.result.Leaving = isTrue(response.Header, HeaderLeaving)
	switch {
	case response.StatusCode < lowestFinalStatus || response.StatusCode > highestStatus:
		x.result.Err = errBadStatus
	case x.isForOtherRequest(response):
		x.result.Err = errOtherRequest
	case x.isRefusal(response):
		x.recordRefusal(response)
	case endsWithConnection(response):
		x.recordIncomplete(ctx, errNoLength)
	case x.isFailure(response):
		x.recordFailure(ctx, response)
	default:
		x.deliver(ctx, response)
	}
}

// isForOtherRequest reports whether the response names another request than the one that was sent.
func (x *exchange) isForOtherRequest(response *http.Response) bool {
	sentID := x.options.Request.Header.Get(HeaderRequest)
	receivedID := response.Header.Get(HeaderRequest)
	return sentID != "" && receivedID != "" && sentID != receivedID
}

// isRefusal reports whether the response guarantees that the request was not run.
func (x *exchange) isRefusal(response *http.Response) bool {
	if x.isRelay() {
		return isPeerError(response) && peerOutcome(response) == classifier.NotRun
	}
	return response.StatusCode == http.StatusServiceUnavailable && isTrue(response.Header, HeaderNotRun)
}

// isFailure reports whether the response is an error that is not forwarded. An error that a peer itself generated is
// forwarded with its outcome, because the peer has already made the attempts that the evidence allowed.
func (x *exchange) isFailure(response *http.Response) bool {
	if x.isRelay() && isPeerError(response) {
		return false
	}
	return response.StatusCode >= http.StatusInternalServerError
}

func (x *exchange) isRelay() bool {
	return x.options.RelayedBy != ""
}

// isPeerError reports whether the response is an error of egretring itself and not of a backend server.
func isPeerError(response *http.Response) bool {
	return response.StatusCode >= lowestErrorStatus && response.Header.Get(HeaderKind) != ""
}

// peerOutcome returns the outcome in a peer's response; it is Unknown when the header is missing or has several values.
func peerOutcome(response *http.Response) classifier.Outcome {
	values := response.Header[HeaderOutcome]
	if len(values) != 1 {
		return classifier.Unknown
	}
	return classifier.Outcome(values[0])
}

// recordRefusal records a refusal. The header alone proves that the request was not run, so the body need not be
// complete.
func (x *exchange) recordRefusal(response *http.Response) {
	x.result.Evidence = describer.Refused
	x.result.Err = errors.Errorf("%s refused the request", x.options.Server.Address)
	body, err := io.ReadAll(io.LimitReader(response.Body, maxDiscardedErrorBytes))
	x.complete = err == nil && len(body) < maxDiscardedErrorBytes
	if x.isRelay() {
		x.result.Peer = peerRefusal(response, body)
	}
}

// peerRefusal returns the reason of a peer's refusal. A kind that this version does not know, or that does not stand
// for NotRun, becomes NoBackendServer, which promises the same outcome.
func peerRefusal(response *http.Response, body []byte) PeerRefusal {
	var detail struct{ RetryAt time.Time }
	if err := json.Unmarshal(body, &detail); err != nil {
		detail.RetryAt = time.Time{}
	}
	kind, ok := classifier.ParseKind(response.Header.Get(HeaderKind))
	if !ok || classifier.ErrorResponseOf(kind).Outcome != classifier.NotRun {
		kind = classifier.NoBackendServer
	}
	return PeerRefusal{Kind: kind, RetryAt: detail.RetryAt}
}

func (x *exchange) recordFailure(ctx context.Context, response *http.Response) {
	if err := x.discard(response.Body); err != nil {
		x.recordIncomplete(ctx, err)
		return
	}
	x.result.Evidence = describer.Failed
	x.result.Err = errors.Errorf("%s returned status %d", x.options.Server.Address, response.StatusCode)
}

// endsWithConnection reports whether only the end of the connection marks the end of the response.
func endsWithConnection(response *http.Response) bool {
	switch {
	case response.Request.Method == http.MethodHead:
		return false
	case response.StatusCode == http.StatusNoContent, response.StatusCode == http.StatusNotModified:
		return false
	}
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0
}
