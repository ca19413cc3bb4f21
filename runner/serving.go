package runner

import (
	"context"
	"time"

	"egretring.example/egretring/classifier"
	"egretring.example/egretring/describer"
	"egretring.example/egretring/dispatcher"
	"egretring.example/egretring/meter"
)

// serving is the state of the goroutine that serves one request.
type serving struct {
	runner    *Runner
	call      *call
	request   describer.Request
	executor  Executor
	arrivedAt time.Time
	started   bool
	// mayHaveRun is true once an attempt or a relay has ended without proof that the request was not run.
	mayHaveRun bool
}

func (s *serving) serve(ctx context.Context) error {
	for {
		select {
		case command := <-s.call.commands:
			if done, err := s.execute(ctx, command); done {
				return err
			}
		case refusal := <-s.call.refusal:
			s.runner.post(message{id: s.request.ID, closes: true})
			return s.refusal(refusal)
		case <-ctx.Done():
			return s.cancel()
		case <-s.runner.tomb.Dying():
			return s.unfinished(classifier.Draining, "instance is stopping")
		}
	}
}

func (s *serving) cancel() error {
	s.runner.post(message{event: dispatcher.RequestCancelled{ID: s.request.ID}, id: s.request.ID, closes: true})
	return s.unfinished(classifier.Cancelled, "caller gave up the request")
}

// unfinished returns an error of the given kind, unless the request may have run.
func (s *serving) unfinished(kind classifier.Kind, text string) error {
	if s.mayHaveRun && classifier.ErrorResponseOf(kind).Outcome == classifier.NotRun {
		kind = classifier.OutcomeUnknown
	}
	return classifier.New(kind, "%s", text)
}

// execute carries out a command and reports whether the request has ended.
func (s *serving) execute(ctx context.Context, command dispatcher.Command) (bool, error) {
	switch command := command.(type) {
	case dispatcher.StartAttempt:
		outcome := s.attempt(ctx, command)
		return s.ended(outcome, dispatcher.AttemptEnded{
			ID: command.ID, Attempt: command.Attempt, Evidence: outcome.Evidence, ResponseStarted: outcome.ResponseStarted,
			ServerLeaving: outcome.ServerLeaving, SlotHeld: outcome.MayStillRun,
		})
	case dispatcher.RelayToPeer:
		s.runner.meter.Count(meter.RequestsRelayed, 1)
		relayContext, cancel := s.call.beginRelay(ctx, command.Deadline)
		defer cancel()
		outcome := s.executor.Relay(relayContext, command)
		return s.ended(outcome, dispatcher.RelayEnded{
			ID: command.ID, Evidence: outcome.Evidence, ResponseStarted: outcome.ResponseStarted,
		})
	}
	return false, nil
}

func (s *serving) refusal(command dispatcher.FailRequest) error {
	err := classifier.New(command.Kind, "request to service %s, kind %s: %s after %v; expected wait %v, time to the deadline at arrival %v",
		s.request.Service, s.request.Kind, classifier.ErrorResponseOf(command.Kind).Name,
		rounded(time.Since(s.arrivedAt)), rounded(command.ExpectedWait), rounded(s.request.Deadline.Sub(s.arrivedAt)))
	return err.WithRetryAt(command.RetryAt)
}

// rounded drops the digits of a duration that are of no use in an error message.
func rounded(duration time.Duration) time.Duration {
	return duration.Round(100 * time.Microsecond)
}

func (s *serving) attempt(ctx context.Context, start dispatcher.StartAttempt) Outcome {
	if !s.runner.mayStart(time.Now()) {
		s.runner.meter.Count(meter.StartsWithheld, 1)
		return Outcome{Evidence: describer.NotSent}
	}
	s.observeWait()
	attemptContext, cancel := s.call.beginAttempt(ctx, start.Attempt, start.Deadline)
	defer cancel()
	s.runner.meter.Count(meter.AttemptsStarted, 1)
	return s.executor.Attempt(attemptContext, start)
}

func (s *serving) observeWait() {
	if s.started {
		return
	}
	s.started = true
	s.runner.meter.Observe(meter.RequestWait, time.Since(s.arrivedAt))
}

// ended reports the end of an attempt or a relay to the state machine. It returns whether the request has ended as well,
// and in that case its error. A response that has started ends the request even if it is incomplete.
func (s *serving) ended(outcome Outcome, event dispatcher.Event) (bool, error) {
	if !outcome.Evidence.ProvesNotRun() {
		s.mayHaveRun = true
	}
	if outcome.Evidence != describer.Answered {
		s.runner.meter.Count(meter.AttemptsFailed, 1)
	}
	done := outcome.ResponseStarted || outcome.ResponseComplete || outcome.Evidence == describer.Answered
	s.runner.post(message{event: event, id: s.request.ID, closes: done})
	if !done {
		return false, nil
	}
	if outcome.ResponseComplete || outcome.Evidence == describer.Answered {
		return true, nil
	}
	return true, classifier.New(classifier.BackendTruncated, "answer of the backend server ended early")
}
