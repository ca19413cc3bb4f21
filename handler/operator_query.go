package handler

import (
	"net/http"
	"net/url"
	"slices"
	"strconv"

	"egretring.example/egretring/classifier"
	"egretring.example/egretring/describer"
	"egretring.example/egretring/reporter"
)

// maxTickets bounds the tickets in one response.
const maxTickets = 2000

// query reads the parameters of a URL query. Its method check rejects parameters that were not read.
type query struct {
	values url.Values
	read   []string
	err    error
}

func newQuery(r *http.Request) *query {
	values, err := url.ParseQuery(r.URL.RawQuery)
	if err != nil {
		return &query{err: classifier.Wrap(err, classifier.BadRequest, "the query cannot be read")}
	}
	return &query{values: values}
}

func (q *query) text(name string) string {
	q.read = append(q.read, name)
	return q.values.Get(name)
}

func (q *query) integer(name string, maximum int64) int64 {
	text := q.text(name)
	if text == "" {
		return 0
	}
	number, err := strconv.ParseInt(text, 10, 64)
	if err != nil || number < 0 || number > maximum {
		q.err = classifier.New(classifier.BadRequest,
			"parameter %s is %q; allowed: a whole number from 0 to %d", name, text, maximum)
	}
	return number
}

func (q *query) check() error {
	if q.err != nil {
		return q.err
	}
	for name := range q.values {
		if !slices.Contains(q.read, name) {
			return classifier.New(classifier.BadRequest, "parameter %q is unknown; allowed: %q", name, q.read)
		}
	}
	return nil
}

func readTicketQuery(q *query) reporter.TicketQuery {
	return reporter.TicketQuery{After: q.integer("After", 1<<53), Limit: int(q.integer("Limit", maxTickets))}
}

func readJobQuery(q *query) reporter.JobQuery {
	return reporter.JobQuery{
		Team:             describer.TeamID(q.text("Team")),
		AvailabilityZone: describer.AvailabilityZoneID(q.text("AvailabilityZone")),
		Policy:           describer.JobPolicy(q.text("Policy")),
	}
}

func readTaskQuery(q *query) reporter.TaskQuery {
	return reporter.TaskQuery{
		Job:              describer.JobID(q.text("Job")),
		AvailabilityZone: describer.AvailabilityZoneID(q.text("AvailabilityZone")),
		BackendServer:    describer.BackendServerID(q.text("BackendServer")),
		State:            q.text("State"),
	}
}

func readServerQuery(q *query) reporter.ServerQuery {
	return reporter.ServerQuery{
		AvailabilityZone: describer.AvailabilityZoneID(q.text("AvailabilityZone")),
		State:            describer.ServerState(q.text("State")),
	}
}
