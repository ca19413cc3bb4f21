package reporter

import (
	"context"

	"egretring.example/egretring/classifier"
	"egretring.example/egretring/describer"
	"egretring.example/egretring/ticketer"
)

// Reporter is the service behind the operators' API. Every source is optional; one that is not set supplies no data.
type Reporter struct {
	instance      describer.InstanceID
	configuration Configuration
	instances     InstanceSource
	zones         ZoneSource
	servers       ServerSource
	services      ServiceSource
	jobs          JobSource
	tasks         TaskSource
	teams         TeamSource
	reasons       []ReasonSource
}

// New returns a reporter.
func New(configuration Configuration, options ...Option) *Reporter {
	r := &Reporter{configuration: configuration}
	for _, option := range options {
		option(r)
	}
	return r
}

// Apply accepts a ticket and returns its number.
func (r *Reporter) Apply(ctx context.Context, ticket ticketer.Ticket) (AcceptedView, error) {
	number, err := r.configuration.Accept(ctx, ticket)
	return AcceptedView{ID: ticket.ID, Number: number}, err
}

// Check reports the changes that a ticket would make, or why it would not be accepted now.
func (r *Reporter) Check(ctx context.Context, ticket ticketer.Ticket) (CheckView, error) {
	if err := r.configuration.Check(ticket); err != nil {
		return CheckView{}, err
	}
	return r.Diff(ctx, ticket)
}

// Diff reports the changes that a ticket would make, even if it would not be accepted.
func (r *Reporter) Diff(_ context.Context, ticket ticketer.Ticket) (CheckView, error) {
	state, err := r.configuration.State()
	if err != nil {
		return CheckView{}, err
	}
	changes := append([]ticketer.Change{}, ticketer.DiffTicket(state, ticket)...)
	return CheckView{Applied: state.Applied(), Changes: changes}, nil
}

// Tickets returns the selected tickets that this instance still has, oldest first.
func (r *Reporter) Tickets(_ context.Context, query TicketQuery) ([]ticketer.AcceptedTicket, error) {
	if _, err := r.configuration.State(); err != nil {
		return nil, err
	}
	selected := filter(r.configuration.Recent(), func(n ticketer.AcceptedTicket) bool { return n.Number > query.After })
	if query.Limit > 0 && len(selected) > query.Limit {
		selected = selected[len(selected)-query.Limit:]
	}
	return selected, nil
}

// Ticket returns one ticket.
func (r *Reporter) Ticket(_ context.Context, number int64) (ticketer.AcceptedTicket, error) {
	state, err := r.configuration.State()
	if err != nil {
		return ticketer.AcceptedTicket{}, err
	}
	recent := r.configuration.Recent()
	for _, accepted := range recent {
		if accepted.Number == number {
			return accepted, nil
		}
	}
	oldest := state.Applied() + 1
	if len(recent) > 0 {
		oldest = recent[0].Number
	}
	return ticketer.AcceptedTicket{}, classifier.New(classifier.NotFound,
		"ticket %d is not among tickets %d to %d, which are kept", number, oldest, state.Applied())
}

// Status returns the state of the cell.
func (r *Reporter) Status(ctx context.Context) (StatusView, error) {
	instances, err := r.readInstances(ctx)
	if err != nil {
		return StatusView{}, err
	}
	zones, err := r.Zones(ctx)
	return StatusView{
		Instance:      r.instance,
		Configuration: r.configuration.Status(),
		Instances:     instances,
		Zones:         zones,
	}, err
}

// Why returns the reasons that the sources give for the state of an object, such as a job, a backend server or a
// request.
func (r *Reporter) Why(ctx context.Context, object string) ([]Reason, error) {
	var all []Reason
	for _, source := range r.reasons {
		reasons, err := source.Reasons(ctx, object)
		if err != nil {
			return nil, err
		}
		all = append(all, reasons...)
	}
	if len(all) == 0 {
		return nil, classifier.New(classifier.NotFound, "nothing is known about %q", object)
	}
	return all, nil
}
