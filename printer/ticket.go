package printer

import (
	"fmt"
	"io"

	"github.com/pkg/errors"

	"egretring.example/egretring/reporter"
	"egretring.example/egretring/ticketer"
)

// Tickets writes a list of tickets.
func Tickets(w io.Writer, tickets []ticketer.AcceptedTicket) error {
	t := newTable(w, "NUMBER", "ID", "BASE", "ACCEPTED", "BY", "OBJECTS", "COMMENT")
	for _, accepted := range tickets {
		t.row(accepted.Number, accepted.Ticket.ID, accepted.Ticket.Base, accepted.AcceptedAt, accepted.AcceptedBy,
			len(accepted.Ticket.ChangedObjects()), accepted.Ticket.Comment)
	}
	return t.flush()
}

// Accepted writes the number of an accepted ticket.
func Accepted(w io.Writer, view reporter.AcceptedView) error {
	_, err := fmt.Fprintf(w, "ticket %s accepted as number %d\n", view.ID, view.Number)
	return errors.Wrap(err, "write number of ticket")
}

// Changes writes what a ticket would change.
func Changes(w io.Writer, view reporter.CheckView) error {
	if len(view.Changes) == 0 {
		_, err := fmt.Fprintf(w, "no change against the state after ticket %d\n", view.Applied)
		return errors.Wrap(err, "write changes of ticket")
	}
	t := newTable(w, "OBJECT", "FIELD", "BEFORE", "AFTER")
	for _, change := range view.Changes {
		t.row(change.Object, change.Field, change.Before, change.After)
	}
	return t.flush()
}

// Progress writes one line that shows how many live instances have applied a ticket, which instances have not, and
// which zones do not report.
func Progress(w io.Writer, view reporter.InForceView) error {
	state := "in force everywhere"
	if !view.InForce {
		state = "not in force everywhere yet"
	}
	_, err := fmt.Fprintf(w, "ticket %d: %s: %d of %d live instances", view.Number, state, view.Applied, view.Live)
	for i, behind := range view.Behind {
		if i == 0 {
			fmt.Fprint(w, "; behind:")
		}
		fmt.Fprintf(w, " %s", behind.Instance)
	}
	for i, zone := range view.SilentZones {
		if i == 0 {
			fmt.Fprint(w, "; zones that do not report:")
		}
		fmt.Fprintf(w, " %s", zone)
	}
	fmt.Fprintln(w)
	return errors.Wrap(err, "write progress")
}
