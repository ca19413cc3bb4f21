package handler

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"egretring.example/egretring/classifier"
	"egretring.example/egretring/deduplicator"
	"egretring.example/egretring/describer"
	"egretring.example/egretring/forwarder"
	"egretring.example/egretring/router"
)

// RouteService serves the requests of callers.
type RouteService interface {
	// Service returns a configured service.
	Service(id describer.ServiceID) (describer.Service, error)
	// Route serves one request. After an error, part of the response may have been written; see
	// router.IsErrResponseStarted.
	Route(ctx context.Context, call router.Call, w http.ResponseWriter) error
}

// CallerOptions are the limits of callers' requests.
type CallerOptions struct {
	MaxRequestBytes int64
	DefaultTimeout  time.Duration
	MaxTimeout      time.Duration
	// Relayed is true for the listener that serves requests relayed by other entry instances.
	Relayed bool
}

// CallerHandler handles the requests of callers and relayed requests.
type CallerHandler struct {
	service RouteService
	options CallerOptions
	logger  *slog.Logger
}

// NewCallerHandler returns a handler of callers' requests.
func NewCallerHandler(service RouteService, options CallerOptions, logger *slog.Logger) *CallerHandler {
	return &CallerHandler{service: service, options: options, logger: logger}
}

// ServeHTTP implements http.Handler.
func (c *CallerHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	call, err := c.parse(w, r)
	if err == nil {
		err = c.service.Route(r.Context(), call, w)
	} else {
		err = errorBeforeHome(r.Header, err)
	}
	if err == nil {
		return
	}
	c.log(r, call, err)
	if router.IsErrResponseStarted(err) {
		// Only closing the connection can still show the caller that the response is not complete.
		panic(http.ErrAbortHandler)
	}
	WriteError(w, err)
}

// errorBeforeHome returns the error of a request that was rejected before the home of its idempotency key, the only
// instance that may admit it to a run, was consulted. For a retry the outcome NotRun would be wrong, because an earlier
// attempt may have run. Errors in the request itself keep their kind.
func errorBeforeHome(header http.Header, err error) error {
	kind := classifier.KindOf(err)
	if header.Get(forwarder.HeaderIdempotencyKey) == "" || kind == classifier.BadRequest || kind == classifier.RequestTooLarge {
		return err
	}
	// A header that cannot be parsed does not prove a first attempt.
	attempt, _ := deduplicator.ParseAttempt(header.Get(HeaderAttempt))
	outside := deduplicator.KindOutsideHome(kind, attempt)
	if outside == kind {
		return err
	}
	return classifier.Wrap(err, outside, "this attempt was not run, but an earlier one may have been")
}

func (c *CallerHandler) log(r *http.Request, call router.Call, err error) {
	kind := classifier.KindOf(err)
	c.logger.LogAttrs(r.Context(), slog.LevelWarn, "request ended with an error",
		slog.String("Service", string(call.Request.Service)),
		slog.String("RequestKind", string(call.Request.Kind)),
		slog.String("Kind", kind.String()),
		slog.String("Outcome", string(classifier.ErrorResponseOf(kind).Outcome)),
		slog.String("Error", err.Error()))
}

func (c *CallerHandler) parse(w http.ResponseWriter, r *http.Request) (router.Call, error) {
	service, kindID, err := c.target(r.URL.Path)
	if err != nil {
		return router.Call{}, err
	}
	kind := service.KindOf(kindID)
	options, err := parseHeaders(r, c.options, time.Now(), kind)
	if err != nil {
		return router.Call{}, err
	}
	body, err := readBody(w, r, c.options.MaxRequestBytes)
	if err != nil {
		return router.Call{}, err
	}
	request := describer.Request{
		Service:        service.ID,
		Kind:           kindID,
		Team:           options.team,
		Class:          options.class,
		Deadline:       options.deadline,
		Repeatable:     options.repeatable,
		IdempotencyKey: options.key,
		Relayed:        c.options.Relayed,
	}
	return router.Call{
		Request:    request,
		Method:     r.Method,
		Path:       r.URL.RequestURI(),
		Header:     r.Header,
		Body:       body,
		Attempt:    options.attempt,
		RelayedBy:  options.relayedBy,
		Registered: options.registered,
	}, nil
}

// target returns the service and the kind that a path names.
func (c *CallerHandler) target(path string) (describer.Service, describer.KindID, error) {
	parts := strings.SplitN(strings.TrimPrefix(path, "/"), "/", 3)
	if len(parts) < 2 || parts[0] == "" || parts[1] == "" {
		return describer.Service{}, "", classifier.New(classifier.BadRequest,
			"path %q does not name a service and a kind of request", path)
	}
	service, err := c.service.Service(describer.ServiceID(parts[0]))
	return service, describer.KindID(parts[1]), err
}

func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, classifier.New(classifier.RequestTooLarge, "request body has more than %d bytes", limit)
	}
	if err != nil {
		return nil, classifier.Wrap(err, classifier.BadRequest, "request body is not complete")
	}
	return body, nil
}
