package handler

import (
	"net/http"
	"strconv"
	"time"

	"egretring.example/egretring/classifier"
	"egretring.example/egretring/deduplicator"
	"egretring.example/egretring/describer"
	"egretring.example/egretring/forwarder"
	"egretring.example/egretring/router"
)

// The headers of callers' requests.
const (
	HeaderTeam       = "Egretring-Team"
	HeaderAttempt    = "Egretring-Attempt"
	HeaderRepeatable = "Egretring-Repeatable"
	HeaderClass      = "Egretring-Class"
)

type requestOptions struct {
	team       describer.TeamID
	class      describer.Class
	deadline   time.Time
	repeatable bool
	key        string
	attempt    int
	relayedBy  describer.InstanceID
	registered bool
}

func parseHeaders(
	r *http.Request, limits CallerOptions, now time.Time, kind describer.Kind,
) (requestOptions, error) {
	options := requestOptions{
		team: describer.TeamID(r.Header.Get(HeaderTeam)),
		key:  r.Header.Get(forwarder.HeaderIdempotencyKey),
	}
	var err error
	if options.deadline, err = parseDeadline(r.Header, limits, now); err != nil {
		return options, err
	}
	if options.class, err = parseClass(r.Header, kind.Class); err != nil {
		return options, err
	}
	if options.repeatable, err = parseRepeatable(r, kind); err != nil {
		return options, err
	}
	if options.attempt, err = deduplicator.ParseAttempt(r.Header.Get(HeaderAttempt)); err != nil {
		return options, err
	}
	if limits.Relayed {
		options.relayedBy = describer.InstanceID(r.Header.Get(forwarder.HeaderRelayed))
		options.registered = r.Header.Get(router.HeaderRegistered) == "true"
	}
	return options, nil
}

func parseDeadline(header http.Header, limits CallerOptions, now time.Time) (time.Time, error) {
	deadline := now.Add(limits.DefaultTimeout)
	if text := header.Get(forwarder.HeaderTimeout); text != "" {
		timeout, err := time.ParseDuration(text)
		if err != nil {
			return deadline, classifier.New(classifier.BadDeadline, "header %s: %q is not a duration", forwarder.HeaderTimeout, text)
		}
		deadline = now.Add(timeout)
	}
	if text := header.Get(forwarder.HeaderDeadline); text != "" {
		parsed, err := time.Parse(time.RFC3339Nano, text)
		if err != nil {
			return deadline, classifier.New(classifier.BadDeadline, "header %s: %q is not a time", forwarder.HeaderDeadline, text)
		}
		deadline = parsed
	}
	if !deadline.After(now) {
		return deadline, classifier.New(classifier.BadDeadline, "deadline %s has passed", deadline.Format(time.RFC3339Nano))
	}
	if deadline.After(now.Add(limits.MaxTimeout)) {
		return deadline, classifier.New(classifier.BadDeadline,
			"deadline is more than %s away", limits.MaxTimeout)
	}
	return deadline, nil
}

// parseClass returns the class of a request; the header can only make it less urgent than the class of its kind.
func parseClass(header http.Header, kindClass describer.Class) (describer.Class, error) {
	text := header.Get(HeaderClass)
	if text == "" {
		return kindClass, nil
	}
	class, err := describer.ParseClass(text)
	if err != nil {
		return kindClass, classifier.Wrap(err, classifier.BadRequest, "header %s", HeaderClass)
	}
	return max(class, kindClass), nil
}

func parseRepeatable(r *http.Request, kind describer.Kind) (bool, error) {
	repeatable := r.Method == http.MethodGet || r.Method == http.MethodHead
	if kind.Repeatable != nil {
		repeatable = *kind.Repeatable
	}
	text := r.Header.Get(HeaderRepeatable)
	if text == "" {
		return repeatable, nil
	}
	repeatable, err := strconv.ParseBool(text)
	if err != nil {
		return false, classifier.New(classifier.BadRequest, "header %s: %q is neither true nor false", HeaderRepeatable, text)
	}
	return repeatable, nil
}
