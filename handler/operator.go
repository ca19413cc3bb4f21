package handler

import (
	"context"
	"net/http"
	"strconv"
	"strings"

	"goji.io"
	"goji.io/pat"
	"goji.io/pattern"

	"egretring.example/egretring/classifier"
	"egretring.example/egretring/reporter"
)

// NewOperatorHandler returns the handler of the operators' HTTP API.
func NewOperatorHandler(service OperatorService) http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Post("/v1/tickets"), withTicket(service.Apply))
	mux.HandleFunc(pat.Post("/v1/tickets/check"), withTicket(service.Check))
	mux.HandleFunc(pat.Post("/v1/tickets/diff"), withTicket(service.Diff))
	mux.HandleFunc(pat.Get("/v1/tickets"), withQuery(readTicketQuery, service.Tickets))
	mux.HandleFunc(pat.Get("/v1/tickets/:number"), withNumber(service.Ticket))
	mux.HandleFunc(pat.Get("/v1/inforce/:number"), withNumber(service.InForce))
	mux.HandleFunc(pat.Get("/v1/status"), withoutQuery(service.Status))
	mux.HandleFunc(pat.Get("/v1/services"), withoutQuery(service.Services))
	mux.HandleFunc(pat.Get("/v1/jobs"), withQuery(readJobQuery, service.Jobs))
	mux.HandleFunc(pat.Get("/v1/tasks"), withQuery(readTaskQuery, service.Tasks))
	mux.HandleFunc(pat.Get("/v1/workers"), withQuery(readServerQuery, service.Servers))
	mux.HandleFunc(pat.Get("/v1/zones"), withoutQuery(service.Zones))
	mux.HandleFunc(pat.Get("/v1/teams"), withoutQuery(service.Teams))
	mux.HandleFunc(pat.Get("/v1/why/*"), handleWhy(service))
	mux.HandleFunc(pat.New("/*"), func(w http.ResponseWriter, r *http.Request) {
		WriteError(w, classifier.New(classifier.NotFound, "there is no %s %s", r.Method, r.URL.Path))
	})
	return mux
}

// withQuery serves a call whose options are in the query of the URL.
func withQuery[Q, V any](read func(*query) Q, call func(context.Context, Q) (V, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		values := newQuery(r)
		options := read(values)
		if err := values.check(); err != nil {
			WriteError(w, err)
			return
		}
		view, err := call(r.Context(), options)
		writeResult(w, view, err)
	}
}

// withoutQuery serves a call without options.
func withoutQuery[V any](call func(context.Context) (V, error)) http.HandlerFunc {
	return withQuery(func(*query) struct{} { return struct{}{} }, func(ctx context.Context, _ struct{}) (V, error) {
		return call(ctx)
	})
}

// withNumber serves a call with a ticket number in the path.
func withNumber[V any](call func(context.Context, int64) (V, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		number, err := strconv.ParseInt(pat.Param(r, "number"), 10, 64)
		if err != nil || number < 1 {
			WriteError(w, classifier.New(classifier.BadRequest,
				"%q is not a ticket number; allowed: a whole number from 1", pat.Param(r, "number")))
			return
		}
		view, err := call(r.Context(), number)
		writeResult(w, view, err)
	}
}

func handleWhy(service OperatorService) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		object := strings.Trim(pattern.Path(r.Context()), "/")
		if object == "" {
			WriteError(w, classifier.New(classifier.BadRequest, "the path does not name what to explain"))
			return
		}
		reasons, err := service.Why(r.Context(), object)
		writeResult[[]reporter.Reason](w, reasons, err)
	}
}
