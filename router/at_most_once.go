package router

import (
	"context"

	"egretring.example/egretring/classifier"
	"egretring.example/egretring/deduplicator"
	"egretring.example/egretring/describer"
	"egretring.example/egretring/forwarder"
	"egretring.example/egretring/runner"
)

// HeaderReplayed marks the response to a request whose key has run before. The response has the status of that run and
// no body.
const HeaderReplayed = "Egretring-Replayed"

// atMostOnce serves a non-repeatable request with an idempotency key.
type atMostOnce struct {
	*executor
	homes *Homes
	key   deduplicator.Key
}

func (r *Router) serveAtMostOnce(ctx context.Context, e *executor) error {
	key, err := deduplicator.ParseKey(e.call.Request.IdempotencyKey)
	if err != nil {
		return err
	}
	o := &atMostOnce{executor: e, homes: r.homes, key: key}
	if o.homes.isLocal(key) {
		return o.runAtHome(ctx)
	}
	return o.relayToHome(ctx)
}

// runAtHome runs the request at the home of its key, which is this instance, if the key has not run before.
func (o *atMostOnce) runAtHome(ctx context.Context) error {
	decision := o.homes.begin(o.key, o.call.Attempt)
	switch decision.Action {
	case deduplicator.Reject:
		err := classifier.New(decision.Kind, "idempotency key %s", o.key)
		return err.WithRetryAt(decision.RetryAt)
	case deduplicator.Replay:
		o.writer.Header().Set(HeaderReplayed, "true")
		o.writer.WriteHeader(decision.Status)
		return nil
	}
	o.call.Registered = true
	err := o.router.run(ctx, o.executor, true)
	o.homes.end(o.key, evidenceOf(err), o.writer.status)
	return err
}

// evidenceOf returns what the error of a run proves. Apart from BackendFailed, an error that does not prove that the
// request was not run counts as a run with an unknown outcome.
func evidenceOf(err error) describer.Evidence {
	switch {
	case err == nil:
		return describer.Answered
	case classifier.IsErrNotRun(err):
		return describer.NotSent
	case classifier.IsErrKind(err, classifier.BackendFailed):
		return describer.Failed
	}
	return describer.Broken
}

// relayToHome relays the request to the home of its key, or to an instance of the home's zone. A request that a peer in
// the zone of this instance has relayed is not relayed again: that peer and this instance follow different assignments.
func (o *atMostOnce) relayToHome(ctx context.Context) error {
	target, ok := o.homes.relayTarget(o.key)
	if !ok || o.fromOwnZone() {
		return o.unreachable()
	}
	outcome, peer := o.relayTo(ctx, target)
	return o.relayError(outcome, peer)
}

// fromOwnZone reports whether a peer in the zone of this instance has relayed the request. A peer that is not in the
// directory counts as one.
func (o *atMostOnce) fromOwnZone() bool {
	if o.call.RelayedBy == "" {
		return false
	}
	relayer, ok := o.router.directory.Peer(o.call.RelayedBy)
	return !ok || relayer.AvailabilityZone == o.homes.zone
}

func (o *atMostOnce) unreachable() error {
	kind := deduplicator.KindWhenUnreachable(o.call.Attempt, false)
	return classifier.New(kind, "home of idempotency key %s cannot be reached", o.key)
}

// relayError returns the error for the outcome of a relay. The request is not retried after it.
func (o *atMostOnce) relayError(outcome runner.Outcome, peer forwarder.PeerRefusal) error {
	switch outcome.Evidence {
	case describer.Answered:
		return nil
	case describer.Refused:
		return classifier.New(peer.Kind, "home of idempotency key %s refused the request", o.key).WithRetryAt(peer.RetryAt)
	case describer.NotSent:
		return o.unreachable()
	case describer.Failed:
		return classifier.New(classifier.BackendFailed, "backend server answered with an error")
	case describer.Truncated:
		return classifier.New(classifier.BackendTruncated, "answer ended early")
	}
	return classifier.New(classifier.OutcomeUnknown, "connection to the home of key %s was lost after the request was sent", o.key)
}
