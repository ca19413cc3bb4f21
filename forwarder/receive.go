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

// errNoLength is the error for an answer that ends with the connection. A server that dies looks the same as one that
// has sent everything, so such an answer is never passed on as complete.
var errNoLength = errors.New("answer has neither Content-Length nor chunked encoding")

// errBadStatus is the error for a status that HTTP does not define as the end of an exchange.
var errBadStatus = errors.New("answer has an invalid status")

// errOtherRequest is the error for an answer that names another request. A server that sends an answer late or twice
// on a connection would otherwise give one caller the answer to the request of another.
var errOtherRequest = errors.New("answer is for another request")

// receive sorts an answer whose header has arrived.
func (x *exchange) receive(ctx context.Context, response *http.Response) {
	x.result.Status = response.StatusCode
	x.result.Leaving = isTrue(response.Header, HeaderLeaving)
	switch {
	case response.StatusCode < lowestFinalStatus || response.StatusCode > highestStatus:
		x.result.Err = errBadStatus
	case x.isForOther(response):
		x.result.Err = errOtherRequest
	case x.isRefusal(response):
		x.refused(response)
	case endsWithConnection(response):
		x.incomplete(ctx, errNoLength)
	case x.isFailure(response):
		x.failed(ctx, response)
	default:
		x.deliver(ctx, response)
	}
}

// isForOther reports whether the answer names another request than the one that was sent.
func (x *exchange) isForOther(response *http.Response) bool {
	asked := x.options.Request.Header.Get(HeaderRequest)
	answered := response.Header.Get(HeaderRequest)
	return asked != "" && answered != "" && asked != answered
}

// isRefusal reports whether the answer promises that the request was not run.
func (x *exchange) isRefusal(response *http.Response) bool {
	if x.isRelay() {
		return isPeerError(response) && peerOutcome(response) == classifier.NotRun
	}
	return response.StatusCode == http.StatusServiceUnavailable && isTrue(response.Header, HeaderNotRun)
}

// isFailure reports whether the answer is an error answer that is not passed on. An error answer of a peer's own is
// passed on with its outcome, because the peer has already made the attempts that the evidence allowed.
func (x *exchange) isFailure(response *http.Response) bool {
	if x.isRelay() && isPeerError(response) {
		return false
	}
	return response.StatusCode >= http.StatusInternalServerError
}

func (x *exchange) isRelay() bool {
	return x.options.RelayedBy != ""
}

// isPeerError reports whether the answer is an error of egretring itself and not of a backend server.
func isPeerError(response *http.Response) bool {
	return response.StatusCode >= lowestErrorStatus && response.Header.Get(HeaderKind) != ""
}

// peerOutcome returns the outcome of a peer's answer; contradicting values are Unknown.
func peerOutcome(response *http.Response) classifier.Outcome {
	values := response.Header[HeaderOutcome]
	if len(values) != 1 {
		return classifier.Unknown
	}
	return classifier.Outcome(values[0])
}

// refused records a refusal. The header alone proves it, so the body need not be complete.
func (x *exchange) refused(response *http.Response) {
	x.result.Evidence = describer.Refused
	x.result.Err = errors.Errorf("%s refused the request", x.options.Server.Address)
	body, err := io.ReadAll(io.LimitReader(response.Body, maxDiscardedErrorBytes))
	x.complete = err == nil && len(body) < maxDiscardedErrorBytes
	if x.isRelay() {
		x.result.Peer = peerAnswer(response, body)
	}
}

// peerAnswer returns the reason of a peer's refusal. A kind that this version does not know becomes NoBackendServer,
// which promises the same outcome.
func peerAnswer(response *http.Response, body []byte) PeerAnswer {
	var detail struct{ RetryAt time.Time }
	if err := json.Unmarshal(body, &detail); err != nil {
		detail.RetryAt = time.Time{}
	}
	kind, ok := classifier.KindNamed(response.Header.Get(HeaderKind))
	if !ok || classifier.AnswerOf(kind).Outcome != classifier.NotRun {
		kind = classifier.NoBackendServer
	}
	return PeerAnswer{Kind: kind, RetryAt: detail.RetryAt}
}

func (x *exchange) failed(ctx context.Context, response *http.Response) {
	if err := x.discard(response.Body); err != nil {
		x.incomplete(ctx, err)
		return
	}
	x.result.Evidence = describer.Failed
	x.result.Err = errors.Errorf("%s answered status %d", x.options.Server.Address, response.StatusCode)
}

// endsWithConnection reports whether only the end of the connection marks the end of the answer.
func endsWithConnection(response *http.Response) bool {
	switch {
	case response.Request.Method == http.MethodHead:
		return false
	case response.StatusCode == http.StatusNoContent, response.StatusCode == http.StatusNotModified:
		return false
	}
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0
}
