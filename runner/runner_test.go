package runner_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/classifier"
	"egretring.example/egretring/describer"
	"egretring.example/egretring/dispatcher"
	"egretring.example/egretring/runner"
)

// scriptedStateMachine returns for each event the commands that a test gives for it, and records the events.
type scriptedStateMachine struct {
	events  []dispatcher.Event
	respond func(dispatcher.Event) []dispatcher.Command
}

func (c *scriptedStateMachine) Handle(_ time.Time, event dispatcher.Event) []dispatcher.Command {
	c.events = append(c.events, event)
	return c.respond(event)
}

func (c *scriptedStateMachine) NextDeadline() (time.Time, bool) {
	return time.Time{}, false
}

type scriptedExecutor struct {
	outcomes []runner.Outcome
	attempts int
	block    bool
}

func (e *scriptedExecutor) Attempt(ctx context.Context, _ dispatcher.StartAttempt) runner.Outcome {
	e.attempts++
	if e.block {
		<-ctx.Done()
		return runner.Outcome{Evidence: describer.Aborted}
	}
	return e.outcomes[e.attempts-1]
}

func (e *scriptedExecutor) Relay(context.Context, dispatcher.RelayToPeer) runner.Outcome {
	return runner.Outcome{Evidence: describer.NotSent}
}

func startFirst(event dispatcher.Event) []dispatcher.Command {
	arrived, ok := event.(dispatcher.RequestArrived)
	if !ok {
		return nil
	}
	return []dispatcher.Command{dispatcher.StartAttempt{
		ID: arrived.Request.ID, Attempt: 1, Deadline: time.Now().Add(time.Minute),
	}}
}

// TestNoStartWithoutRight guards against an instance that resumes after a pause and starts work on an expired lease.
func TestNoStartWithoutRight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stateMachine := &scriptedStateMachine{respond: func(event dispatcher.Event) []dispatcher.Command {
			if ended, ok := event.(dispatcher.AttemptEnded); ok {
				return []dispatcher.Command{dispatcher.FailRequest{ID: ended.ID, Kind: classifier.NoBackendServer}}
			}
			return startFirst(event)
		}}
		executor := &scriptedExecutor{}
		subject := runner.New(stateMachine, runner.WithMayStart(func(time.Time) bool { return false }))
		subject.Start()
		err := subject.Run(t.Context(), describer.Request{ID: 1}, executor)
		require.True(t, classifier.IsErrKind(err, classifier.NoBackendServer))
		require.Zero(t, executor.attempts)
		require.NoError(t, subject.Stop())
		require.Equal(t, describer.NotSent, stateMachine.events[1].(dispatcher.AttemptEnded).Evidence)
	})
}

// TestCancelledRequestReportsUnsentAttempt guards against a slot that stays in use after its request was cancelled,
// because the state machine is not notified that the attempt was never started.
func TestCancelledRequestReportsUnsentAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stateMachine := &scriptedStateMachine{respond: func(event dispatcher.Event) []dispatcher.Command {
			if cancelled, ok := event.(dispatcher.RequestCancelled); ok {
				return []dispatcher.Command{dispatcher.StartAttempt{ID: cancelled.ID, Attempt: 1}}
			}
			return nil
		}}
		subject := runner.New(stateMachine)
		subject.Start()
		ctx, cancel := context.WithCancel(t.Context())
		go cancel()
		err := subject.Run(ctx, describer.Request{ID: 1}, &scriptedExecutor{})
		require.True(t, classifier.IsErrKind(err, classifier.Cancelled))
		synctest.Wait()
		require.NoError(t, subject.Stop())
		last := stateMachine.events[len(stateMachine.events)-1]
		require.Equal(t, dispatcher.AttemptEnded{ID: 1, Attempt: 1, Evidence: describer.NotSent}, last)
	})
}

// TestAbortEndsRunningAttempt guards against an aborted attempt that keeps running.
func TestAbortEndsRunningAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stateMachine := &scriptedStateMachine{respond: func(event dispatcher.Event) []dispatcher.Command {
			switch event := event.(type) {
			case dispatcher.Ticked:
				return []dispatcher.Command{dispatcher.AbortAttempt{ID: 1, Attempt: 1}}
			case dispatcher.AttemptEnded:
				return []dispatcher.Command{dispatcher.FailRequest{ID: event.ID, Kind: classifier.OutcomeUnknown}}
			}
			return startFirst(event)
		}}
		subject := runner.New(stateMachine)
		subject.Start()
		result := make(chan error, 1)
		go func() {
			result <- subject.Run(t.Context(), describer.Request{ID: 1}, &scriptedExecutor{block: true})
		}()
		synctest.Wait()
		subject.Notify(dispatcher.Ticked{})
		require.True(t, classifier.IsErrKind(<-result, classifier.OutcomeUnknown))
		require.NoError(t, subject.Stop())
	})
}

// TestStopAfterSendIsOutcomeUnknown guards against the outcome "not run" for a request that may have run when the
// runner stops.
func TestStopAfterSendIsOutcomeUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stateMachine := &scriptedStateMachine{respond: startFirst}
		executor := &scriptedExecutor{outcomes: []runner.Outcome{{Evidence: describer.Broken}}}
		subject := runner.New(stateMachine)
		subject.Start()
		result := make(chan error, 1)
		go func() { result <- subject.Run(t.Context(), describer.Request{ID: 1}, executor) }()
		synctest.Wait()
		require.NoError(t, subject.Stop())
		require.True(t, classifier.IsErrKind(<-result, classifier.OutcomeUnknown))
	})
}

// TestInspectAfterTimeout guards against a function that still runs after its caller has stopped waiting for it, at the
// same time as the caller's next steps. This was a data race in the load that instances report to each other.
func TestInspectAfterTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		subject := runner.New(&scriptedStateMachine{respond: startFirst})
		subject.Start()
		release := make(chan struct{})
		blocked := make(chan error, 1)
		go func() {
			blocked <- subject.Inspect(t.Context(), func() { <-release })
		}()
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		inspected := false
		require.ErrorIs(t, subject.Inspect(ctx, func() { inspected = true }), context.DeadlineExceeded)
		close(release)
		require.NoError(t, <-blocked)
		require.NoError(t, subject.Inspect(t.Context(), func() {}))
		require.False(t, inspected)
		require.NoError(t, subject.Stop())
	})
}
