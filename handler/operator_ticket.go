package handler

import (
	"context"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"egretring.example/egretring/classifier"
	"egretring.example/egretring/parser"
	"egretring.example/egretring/ticketer"
)

// withTicket serves a call whose body is a ticket.
func withTicket[V any](call func(context.Context, ticketer.Ticket) (V, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		ticket, err := readTicket(w, r)
		if err != nil {
			WriteError(w, err)
			return
		}
		view, err := call(r.Context(), ticket)
		writeResult(w, view, err)
	}
}

func readTicket(w http.ResponseWriter, r *http.Request) (ticketer.Ticket, error) {
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, parser.MaxTextBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return ticketer.Ticket{}, classifier.New(classifier.RequestTooLarge,
			"the ticket has more than %d bytes; split it into several tickets", parser.MaxTextBytes)
	}
	if err != nil {
		return ticketer.Ticket{}, classifier.Wrap(err, classifier.BadRequest, "the body could not be read")
	}
	return parser.Parse(text)
}
