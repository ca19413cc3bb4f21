package runner

import (
	"context"
	"sync/atomic"
	"time"

	"gopkg.in/tomb.v2"

	"egretring.example/egretring/buffer"
	"egretring.example/egretring/classifier"
	"egretring.example/egretring/describer"
	"egretring.example/egretring/dispatcher"
	"egretring.example/egretring/meter"
)

// queueLength limits the events that wait for the state machine.
const queueLength = 4096

// StateMachine is the state machine of the request path. It is implemented by dispatcher.Dispatcher.
type StateMachine interface {
	Handle(now time.Time, event dispatcher.Event) []dispatcher.Command
	NextDeadline() (time.Time, bool)
}

// Runner runs a state machine.
type Runner struct {
	tomb         tomb.Tomb
	stateMachine StateMachine
	mayStart     func(now time.Time) bool
	meter        *meter.Meter
	inbox        *buffer.Queue[message]
	calls        map[describer.RequestID]*call
}

// message is an event for the state machine, with the call that it opens or closes.
type message struct {
	event  dispatcher.Event
	opens  *call
	id     describer.RequestID
	closes bool
	// inspect is run after the event by the goroutine that owns the state machine.
	inspect func()
}

// Option configures a Runner.
type Option func(*Runner)

// WithMayStart sets the function that decides at each start of an attempt whether this instance may start work.
func WithMayStart(mayStart func(now time.Time) bool) Option {
	return func(r *Runner) { r.mayStart = mayStart }
}

// WithMeter sets the meter for attempts, relays and waiting times.
func WithMeter(m *meter.Meter) Option {
	return func(r *Runner) { r.meter = m }
}

// New returns a runner of a state machine.
func New(stateMachine StateMachine, options ...Option) *Runner {
	r := &Runner{
		stateMachine: stateMachine,
		mayStart:     func(time.Time) bool { return true },
		meter:        meter.New(),
		inbox:        buffer.NewQueue[message](queueLength),
		calls:        make(map[describer.RequestID]*call),
	}
	for _, option := range options {
		option(r)
	}
	return r
}

// Start starts the goroutine that owns the state machine.
func (r *Runner) Start() {
	r.tomb.Go(r.loop)
}

// Stop ends the goroutine that owns the state machine and waits for it.
func (r *Runner) Stop() error {
	r.tomb.Kill(nil)
	return r.tomb.Wait()
}

// Notify passes an event that belongs to no request to the state machine. It waits while the queue of events is full.
func (r *Runner) Notify(event dispatcher.Event) {
	r.post(message{event: event})
}

// NotifyThen passes an event that belongs to no request to the state machine, and calls a function in the goroutine of
// the state machine once the event has been handled. It waits while the queue of events is full.
func (r *Runner) NotifyThen(event dispatcher.Event, handled func()) {
	r.post(message{event: event, inspect: handled})
}

// Waiting returns how many events wait for the state machine.
func (r *Runner) Waiting() int {
	return len(r.inbox.Items())
}

// Inspect runs a function in the goroutine that owns the state machine and waits for it. After an error the function
// was not run and never will be, so that its caller may continue to use the data that it shares with the function.
func (r *Runner) Inspect(ctx context.Context, inspect func()) error {
	done := make(chan struct{})
	// claimed is set by whichever comes first: the goroutine that runs the function, or the caller that stops waiting.
	var claimed atomic.Bool
	m := message{inspect: func() {
		if claimed.CompareAndSwap(false, true) {
			defer close(done)
			inspect()
		}
	}}
	if err := r.inbox.Put(ctx, m); err != nil {
		return err
	}
	var err error
	select {
	case <-done:
		return nil
	case <-r.tomb.Dying():
		err = tomb.ErrDying
	case <-ctx.Done():
		err = ctx.Err()
	}
	if claimed.CompareAndSwap(false, true) {
		return err
	}
	<-done
	return nil
}

// Run serves one request and returns nil when its whole response has been sent.
func (r *Runner) Run(ctx context.Context, request describer.Request, executor Executor) error {
	c := newCall()
	arrival := message{event: dispatcher.RequestArrived{Request: request}, opens: c, id: request.ID}
	if err := r.inbox.Offer(arrival); err != nil {
		return classifier.New(classifier.Overloaded, "too many events wait for the dispatcher")
	}
	s := serving{runner: r, call: c, request: request, executor: executor, arrivedAt: time.Now()}
	return s.serve(ctx)
}

// post passes a message to the state machine and waits while the queue is full. The message is dropped only when the
// runner stops.
func (r *Runner) post(m message) {
	if err := r.inbox.Put(r.tomb.Context(context.Background()), m); err != nil {
		return
	}
}

func (r *Runner) loop() error {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		r.setTimer(timer)
		select {
		case m := <-r.inbox.Items():
			r.handle(m)
		case <-timer.C:
			r.apply(dispatcher.Ticked{})
		case <-r.tomb.Dying():
			return nil
		}
	}
}

func (r *Runner) setTimer(timer *time.Timer) {
	deadline, ok := r.stateMachine.NextDeadline()
	if !ok {
		timer.Stop()
		return
	}
	timer.Reset(time.Until(deadline))
}

func (r *Runner) handle(m message) {
	if m.opens != nil {
		r.calls[m.id] = m.opens
	}
	if m.event != nil {
		r.apply(m.event)
	}
	if m.inspect != nil {
		m.inspect()
	}
	if m.closes {
		r.close(m.id)
	}
}

// close removes a call and reports to the state machine the attempts and relays that its goroutine did not start.
func (r *Runner) close(id describer.RequestID) {
	c := r.calls[id]
	if c == nil {
		return
	}
	delete(r.calls, id)
	for {
		select {
		case command := <-c.commands:
			r.reportNotSent(command)
		default:
			return
		}
	}
}

func (r *Runner) apply(event dispatcher.Event) {
	for _, command := range r.stateMachine.Handle(time.Now(), event) {
		r.deliver(command)
	}
}

func (r *Runner) deliver(command dispatcher.Command) {
	id := requestOf(command)
	c := r.calls[id]
	if c == nil {
		r.reportNotSent(command)
		return
	}
	switch command := command.(type) {
	case dispatcher.AbortAttempt:
		c.applyAbort(command)
	case dispatcher.FailRequest:
		select {
		case c.refusal <- command:
		default:
			// The request has been refused already.
		}
	default:
		select {
		case c.commands <- command:
		default:
			r.reportNotSent(command)
		}
	}
}

// reportNotSent reports to the state machine that the attempt or the relay of a command was not started. Other commands
// need no report.
func (r *Runner) reportNotSent(command dispatcher.Command) {
	switch command := command.(type) {
	case dispatcher.StartAttempt:
		r.apply(dispatcher.AttemptEnded{ID: command.ID, Attempt: command.Attempt, Evidence: describer.NotSent})
	case dispatcher.RelayToPeer:
		r.apply(dispatcher.RelayEnded{ID: command.ID, Evidence: describer.NotSent})
	}
}

func requestOf(command dispatcher.Command) describer.RequestID {
	switch command := command.(type) {
	case dispatcher.StartAttempt:
		return command.ID
	case dispatcher.RelayToPeer:
		return command.ID
	case dispatcher.FailRequest:
		return command.ID
	case dispatcher.AbortAttempt:
		return command.ID
	}
	return 0
}
