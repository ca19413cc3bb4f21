package router

import (
	"context"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"

	"egretring.example/egretring/classifier"
	"egretring.example/egretring/describer"
	"egretring.example/egretring/forwarder"
	"egretring.example/egretring/meter"
	"egretring.example/egretring/runner"
	"egretring.example/egretring/tracer"
)

// Exchanger sends a request to a backend server or a peer and writes the response to the caller.
type Exchanger interface {
	Exchange(ctx context.Context, options forwarder.ExchangeOptions) forwarder.Result
}

// Runner runs a request as the dispatcher decides. It is implemented by runner.Runner.
type Runner interface {
	Run(ctx context.Context, request describer.Request, executor runner.Executor) error
}

// Services looks up the configured services.
type Services interface {
	Service(id describer.ServiceID) (describer.Service, error)
}

// Router serves requests of callers.
type Router struct {
	Services

	instance  describer.InstanceID
	runner    Runner
	exchanger Exchanger
	directory *Directory
	homes     *Homes
	meter     *meter.Meter
	tracer    *tracer.Tracer
	onLeaving func(describer.BackendServerID)
	onHeld    func(describer.BackendServer)
	onEnded   func(EndedRequest)
	lastID    atomic.Uint64
}

// New returns a router of an instance.
func New(
	instance describer.InstanceID, services Services, run Runner, exchanger Exchanger, directory *Directory,
	options ...Option,
) *Router {
	r := &Router{
		Services:  services,
		instance:  instance,
		runner:    run,
		exchanger: exchanger,
		directory: directory,
		meter:     meter.New(),
		tracer:    tracer.New(slog.New(slog.DiscardHandler), string(instance), 0),
		onLeaving: func(describer.BackendServerID) {},
		onHeld:    func(describer.BackendServer) {},
		onEnded:   func(EndedRequest) {},
	}
	for _, option := range options {
		option(r)
	}
	return r
}

// Route serves one request and returns nil when its whole response has been sent.
func (r *Router) Route(ctx context.Context, call Call, w http.ResponseWriter) error {
	startedAt := time.Now()
	call.Request.ID = describer.RequestID(r.lastID.Add(1))
	ctx = r.tracer.Extract(ctx, propagation.HeaderCarrier(call.Header))
	ctx, span := r.tracer.Start(ctx, "route request",
		attribute.String("Instance", string(r.instance)),
		attribute.String("Service", string(call.Request.Service)),
		attribute.String("RequestKind", string(call.Request.Kind)))
	defer span.End()
	r.meter.Count(meter.RequestsReceived, 1)
	ended := EndedRequest{Trace: span.SpanContext().TraceID().String(), At: startedAt, Request: call.Request}
	ended.RequestID = ensureRequestID(&call, ended.Trace)
	e := &executor{router: r, call: call, writer: &statusRecorder{ResponseWriter: w}}
	err := r.serve(ctx, e)
	r.meter.Observe(meter.RequestTime, time.Since(startedAt))
	r.countEnd(err)
	ended.RelayedTo, ended.Duration, ended.Err = e.relayedTo, time.Since(startedAt), err
	if err != nil || ended.RelayedTo != "" {
		r.onEnded(ended)
	}
	if err != nil && e.writer.status == 0 {
		w.Header().Set(forwarder.HeaderRequest, e.call.Header.Get(forwarder.HeaderRequest))
	}
	span.SetAttributes(attribute.Bool("Answered", err == nil))
	if err != nil && e.writer.status != 0 {
		return &responseStartedError{cause: err}
	}
	return err
}

func (r *Router) countEnd(err error) {
	switch {
	case err == nil:
		r.meter.Count(meter.RequestsAnswered, 1)
	case classifier.IsErrNotRun(err):
		r.meter.Count(meter.RequestsRefused, 1)
	default:
		r.meter.Count(meter.RequestsUnknown, 1)
	}
}

// serve handles a non-repeatable request with a key through the home of the key, unless the home has already recorded
// this run, and runs all other requests directly.
func (r *Router) serve(ctx context.Context, e *executor) error {
	request := e.call.Request
	if request.Repeatable || request.IdempotencyKey == "" || r.homes == nil || e.call.Registered {
		return r.run(ctx, e, e.call.RelayedBy == "")
	}
	return r.serveAtMostOnce(ctx, e)
}
