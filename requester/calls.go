package requester

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"egretring.example/egretring/reporter"
	"egretring.example/egretring/ticketer"
)

// Apply applies the text of a ticket. It returns when the ticket was accepted or refused, or when the context ends.
func (c *Client) Apply(ctx context.Context, text []byte) (reporter.AcceptedView, error) {
	var view reporter.AcceptedView
	err := c.doUntilDecided(ctx, call{method: http.MethodPost, path: "/v1/tickets", body: text}, &view)
	return view, err
}

// Check reports what a ticket would change, or why it would not be accepted.
func (c *Client) Check(ctx context.Context, text []byte) (reporter.CheckView, error) {
	var view reporter.CheckView
	err := c.do(ctx, call{method: http.MethodPost, path: "/v1/tickets/check", body: text, timeout: readTimeout}, &view)
	return view, err
}

// Diff reports what a ticket would change, even if it would not be accepted.
func (c *Client) Diff(ctx context.Context, text []byte) (reporter.CheckView, error) {
	var view reporter.CheckView
	err := c.do(ctx, call{method: http.MethodPost, path: "/v1/tickets/diff", body: text, timeout: readTimeout}, &view)
	return view, err
}

// Tickets returns accepted tickets, oldest first.
func (c *Client) Tickets(ctx context.Context, query reporter.TicketQuery) ([]ticketer.AcceptedTicket, error) {
	values := valuesOf("After", strconv.FormatInt(query.After, 10), "Limit", strconv.Itoa(query.Limit))
	return read[[]ticketer.AcceptedTicket](ctx, c, "/v1/tickets", values)
}

// Ticket returns one accepted ticket.
func (c *Client) Ticket(ctx context.Context, number int64) (ticketer.AcceptedTicket, error) {
	return read[ticketer.AcceptedTicket](ctx, c, fmt.Sprintf("/v1/tickets/%d", number), nil)
}

// InForce reports where a ticket is in force.
func (c *Client) InForce(ctx context.Context, number int64) (reporter.InForceView, error) {
	return read[reporter.InForceView](ctx, c, fmt.Sprintf("/v1/inforce/%d", number), nil)
}

// Status returns the state of the cell.
func (c *Client) Status(ctx context.Context) (reporter.StatusView, error) {
	return read[reporter.StatusView](ctx, c, "/v1/status", nil)
}

// Services returns all services.
func (c *Client) Services(ctx context.Context) ([]reporter.ServiceView, error) {
	return read[[]reporter.ServiceView](ctx, c, "/v1/services", nil)
}

// Jobs returns the selected jobs.
func (c *Client) Jobs(ctx context.Context, query reporter.JobQuery) ([]reporter.JobView, error) {
	return read[[]reporter.JobView](ctx, c, "/v1/jobs", valuesOf(
		"Team", string(query.Team),
		"AvailabilityZone", string(query.AvailabilityZone),
		"Policy", string(query.Policy),
	))
}

// Tasks returns the selected tasks.
func (c *Client) Tasks(ctx context.Context, query reporter.TaskQuery) ([]reporter.TaskView, error) {
	return read[[]reporter.TaskView](ctx, c, "/v1/tasks", valuesOf(
		"Job", string(query.Job),
		"AvailabilityZone", string(query.AvailabilityZone),
		"BackendServer", string(query.BackendServer),
		"State", query.State,
	))
}

// Servers returns the selected backend servers.
func (c *Client) Servers(ctx context.Context, query reporter.ServerQuery) ([]reporter.ServerView, error) {
	return read[[]reporter.ServerView](ctx, c, "/v1/workers", valuesOf(
		"AvailabilityZone", string(query.AvailabilityZone),
		"State", string(query.State),
	))
}

// Zones returns all availability zones.
func (c *Client) Zones(ctx context.Context) ([]reporter.ZoneView, error) {
	return read[[]reporter.ZoneView](ctx, c, "/v1/zones", nil)
}

// Teams returns all teams.
func (c *Client) Teams(ctx context.Context) ([]reporter.TeamView, error) {
	return read[[]reporter.TeamView](ctx, c, "/v1/teams", nil)
}

// Why explains a job, task, service, backend server or instance.
func (c *Client) Why(ctx context.Context, object string) ([]reporter.Reason, error) {
	segments := strings.Split(object, "/")
	for i, segment := range segments {
		segments[i] = url.PathEscape(segment)
	}
	return read[[]reporter.Reason](ctx, c, "/v1/why/"+strings.Join(segments, "/"), nil)
}

// valuesOf returns query parameters from pairs of name and value, without those whose value is empty or 0.
func valuesOf(pairs ...string) url.Values {
	values := make(url.Values)
	for i := 0; i+1 < len(pairs); i += 2 {
		if pairs[i+1] != "" && pairs[i+1] != "0" {
			values.Set(pairs[i], pairs[i+1])
		}
	}
	return values
}
