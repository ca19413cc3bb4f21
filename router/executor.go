package router

import (
	"context"

	"go.opentelemetry.io/otel/attribute"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/dispatcher"
	"egretring.example/egretring/forwarder"
	"egretring.example/egretring/runner"
)

// HeaderRegistered marks a relayed request whose idempotency key was recorded by the key's home.
const HeaderRegistered = "Egretring-Registered"

// executor carries out the attempts and relays of one call.
type executor struct {
	router *Router
	call   Call
	writer *statusRecorder
	// relayedTo is the peer to which the request was relayed last.
	relayedTo describer.InstanceID
}

// Attempt implements runner.Executor.
func (e *executor) Attempt(ctx context.Context, start dispatcher.StartAttempt) runner.Outcome {
	server, ok := e.router.directory.Server(start.BackendServer)
	if !ok {
		return runner.Outcome{Evidence: describer.NotSent}
	}
	ctx, span := e.router.tracer.Start(ctx, "forward to backend server",
		attribute.String("BackendServer", string(server.ID)), attribute.Int("Attempt", start.Attempt))
	defer span.End()
	result := e.router.exchanger.Exchange(ctx, forwarder.ExchangeOptions{
		Server: server, Request: e.request(), Deadline: start.Deadline, Writer: e.writer,
	})
	span.SetAttributes(attribute.String("Evidence", result.Evidence.String()))
	if result.Leaving {
		e.router.onLeaving(server.ID)
	}
	if result.MayStillRun {
		e.router.onHeld(server)
	}
	return outcomeOf(result)
}

// Relay implements runner.Executor.
func (e *executor) Relay(ctx context.Context, relay dispatcher.RelayToPeer) runner.Outcome {
	outcome, _ := e.relayTo(ctx, relay.Instance)
	return outcome
}

// relayTo relays the request to a peer. A peer without a known address counts as NotSent.
func (e *executor) relayTo(ctx context.Context, instance describer.InstanceID) (runner.Outcome, forwarder.PeerRefusal) {
	peer, ok := e.router.directory.Peer(instance)
	if !ok {
		return runner.Outcome{Evidence: describer.NotSent}, forwarder.PeerRefusal{}
	}
	e.relayedTo = instance
	ctx, span := e.router.tracer.Start(ctx, "relay to peer", attribute.String("Instance", string(instance)))
	defer span.End()
	result := e.router.exchanger.Exchange(ctx, forwarder.ExchangeOptions{
		Server:    describer.BackendServer{Address: peer.RelayAddress},
		Request:   e.relayRequest(),
		Deadline:  e.call.Request.Deadline,
		Writer:    e.writer,
		RelayedBy: e.router.instance,
	})
	span.SetAttributes(attribute.String("Evidence", result.Evidence.String()))
	return outcomeOf(result), result.Peer
}

func (e *executor) request() forwarder.Request {
	return forwarder.Request{Method: e.call.Method, Path: e.call.Path, Header: e.call.Header, Body: e.call.Body}
}

// relayRequest returns the request for a peer. HeaderRegistered is set only when the home of the request's idempotency
// key has recorded this run, regardless of the headers that the caller sent.
func (e *executor) relayRequest() forwarder.Request {
	request := e.request()
	request.Header = request.Header.Clone()
	request.Header.Del(HeaderRegistered)
	if e.call.Registered {
		request.Header.Set(HeaderRegistered, "true")
	}
	return request
}

func outcomeOf(result forwarder.Result) runner.Outcome {
	return runner.Outcome{
		Evidence:         result.Evidence,
		ResponseStarted:  result.ResponseStarted,
		ResponseComplete: result.Evidence == describer.Answered,
		ServerLeaving:    result.Leaving,
		MayStillRun:      result.MayStillRun,
	}
}
