package coordinator

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"egretring.example/egretring/classifier"
	"egretring.example/egretring/conductor"
	"egretring.example/egretring/intaker"
	"egretring.example/egretring/keeper"
	"egretring.example/egretring/messenger"
	"egretring.example/egretring/rater"
	"egretring.example/egretring/specifier"
)

// Methods of the protocol between instances.
const (
	methodJobState = "JobState"
	methodWaiting  = "Waiting"
	methodAdvise   = "Advise"
	methodTake     = "Take"
	methodAccept   = "Accept"
	methodStopped  = "Stopped"
	methodLend     = "Lend"
	methodNewer    = "NewerConfiguration"
)

// maxAdviceTime bounds the calls of longCalls: advice calls through another instance and relayed submissions.
const maxAdviceTime = 4 * time.Second

// jobStateRequest queries the owner for the state of a job.
type jobStateRequest struct {
	Job specifier.JobID
}

type jobStateReply struct {
	Known bool
	State specifier.JobState
	// Team is the team of the job; the instance that asks compares it with the caller's.
	Team string `json:",omitempty"`
}

// waitingRequest queries the owner for the number of accepted jobs of a queue of which no task has started.
type waitingRequest struct {
	Queue string
}

type waitingReply struct {
	// Owner is false when the instance does not own the cell.
	Owner   bool
	Waiting int
}

// adviseRequest requests an advice call from an instance.
type adviseRequest struct {
	Step    specifier.StepID
	Servers []specifier.ServerID
}

type adviseReply struct {
	Grants []specifier.Grant
	// ValidFor is the remaining validity of the tickets.
	ValidFor time.Duration
}

// takeRequest notifies the owner of a stored submission or cancellation before its watch of the store returns the
// change.
type takeRequest struct {
	Job       *specifier.Job  `json:",omitempty"`
	Cancelled specifier.JobID `json:",omitempty"`
}

// event returns the event of the request for the owner's state machine.
func (r takeRequest) event() conductor.Event {
	if r.Job != nil {
		return conductor.JobArrived{Job: *r.Job}
	}
	return conductor.JobCancelled{Job: r.Cancelled}
}

type takeReply struct {
	// Statement is that about the team of a submitted job. Instances that do not ask the owner of this shard for configurations learn it
	// here.
	Statement *rater.Stated `json:",omitempty"`
}

// acceptRequest requests that the owner stores a submission or cancellation for an instance that cannot reach the
// store.
type acceptRequest struct {
	Job       *specifier.Job  `json:",omitempty"`
	Cancelled specifier.JobID `json:",omitempty"`
	// Caller is the caller of a cancellation.
	Caller specifier.Caller `json:",omitzero"`
	// Permit is the revision of the statement about the job's team under which it may be stored.
	Permit int64 `json:",omitempty"`
	// Patience is the maximum remaining wait of the caller; clocks of instances may differ, so that no deadline can be
	// sent.
	Patience time.Duration
}

// acceptReply carries the kind and message of an error; an empty kind means success.
type acceptReply struct {
	Kind    string `json:",omitempty"`
	Message string `json:",omitempty"`
	// RetryAfter is how long a refused caller should wait before it retries.
	RetryAfter time.Duration `json:",omitempty"`
	// Known is false for the cancellation of a job that does not exist.
	Known bool `json:",omitempty"`
	// Moved is set if the job was not stored because the statement about its team has been replaced by this entry.
	Moved *keeper.Entry `json:",omitempty"`
}

func (c *Coordinator) methods() messenger.Methods {
	return messenger.Methods{
		methodJobState: messenger.NewMethod(c.handleJobState),
		methodWaiting:  messenger.NewMethod(c.handleWaiting),
		methodAdvise:   messenger.NewMethod(c.handleAdvise),
		methodTake:     messenger.NewMethod(c.handleTake),
		methodAccept:   messenger.NewMethod(c.handleAccept),
		methodStopped:  messenger.NewMethod(c.handleStopped),
		methodLend:     messenger.NewMethod(c.handleLend),
		methodNewer:    messenger.NewMethod(c.handleNewer),
	}
}

func (c *Coordinator) handleJobState(ctx context.Context, request jobStateRequest) (jobStateReply, error) {
	o := c.owner.Load()
	if o == nil {
		return jobStateReply{}, nil
	}
	return o.state(ctx, request.Job), nil
}

func (c *Coordinator) handleAccept(ctx context.Context, request acceptRequest) (acceptReply, error) {
	ctx, cancel := context.WithTimeout(ctx, request.Patience)
	defer cancel()
	response := acceptReply{Known: true}
	var err error
	switch {
	case request.Job != nil && !c.intaker.Reachable():
		err = classifier.New(classifier.Overloaded, "store does not answer the owner either")
	case request.Job != nil:
		err = c.accept(ctx, *request.Job, c.fenceOf(*request.Job, request.Permit))
	default:
		response.Known, err = c.cancel(ctx, request.Caller, request.Cancelled)
	}
	var moved *intaker.FenceMovedError
	if errors.As(err, &moved) {
		response.Moved = &moved.Current
		err = classifier.Wrap(err, classifier.StoreUnavailable, "job %s is neither accepted nor refused", request.Job.ID)
	}
	if err != nil {
		response.Kind, response.Message = classifier.ErrorResponseOf(classifier.KindOf(err)).Name, err.Error()
		var refusal *classifier.Error
		if errors.As(err, &refusal) && !refusal.RetryAt().IsZero() {
			response.RetryAfter = time.Until(refusal.RetryAt())
		}
	}
	return response, nil
}

// acceptThroughOwner requests that the owner stores a submission or cancellation. It reports false when it sent
// the owner no request: no other instance is known as the owner, it cannot be connected to, or the context has no
// deadline or too little time left.
func (c *Coordinator) acceptThroughOwner(ctx context.Context, request acceptRequest) (acceptReply, bool, error) {
	current := c.elector.Current()
	deadline, limited := ctx.Deadline()
	if current.Epoch == 0 || current.Owner.Instance == c.settings.instance || !limited {
		return acceptReply{}, false, nil
	}
	request.Patience = min(time.Until(deadline)-relayMargin, maxRelayWait)
	if request.Patience <= 0 {
		return acceptReply{}, false, nil
	}
	ctx, cancel := context.WithTimeout(ctx, request.Patience+relayMargin)
	defer cancel()
	response, err := messenger.Call[acceptRequest, acceptReply](
		ctx, c.longCalls, current.Owner.Address, methodAccept, request,
	)
	if messenger.IsErrBackoff(err) || messenger.IsErrRefused(err) {
		return response, false, nil
	}
	if err != nil {
		return response, true, classifier.Wrap(err, classifier.OutcomeUnknown, "owner %s did not confirm", current.Owner.Instance)
	}
	if kind, known := classifier.ParseKind(response.Kind); known {
		refusal := classifier.New(kind, "owner %s: %s", current.Owner.Instance, response.Message)
		if response.RetryAfter > 0 {
			refusal = refusal.WithRetryAt(time.Now().Add(response.RetryAfter))
		}
		return response, true, refusal
	}
	return response, true, nil
}

func (c *Coordinator) handleTake(_ context.Context, request takeRequest) (takeReply, error) {
	o := c.owner.Load()
	if o == nil {
		return takeReply{}, nil
	}
	o.post(request.event())
	if request.Job == nil || request.Job.Team == "" {
		return takeReply{}, nil
	}
	stated := c.statements.of(c.settings.clock.Now(), request.Job.Team)
	return takeReply{Statement: &stated}, nil
}

// notifyOwner notifies the owner of a stored submission or cancellation. A lost notification does no harm, because the
// owner's watch of the store finds the change.
func (c *Coordinator) notifyOwner(request takeRequest) {
	if o := c.owner.Load(); o != nil {
		o.post(request.event())
		return
	}
	current := c.elector.Current()
	if current.Epoch == 0 || current.Owner.Instance == c.settings.instance {
		return
	}
	sentAt := c.settings.clock.Now()
	response, err := messenger.Call[takeRequest, takeReply](
		context.Background(), c.shortCalls, current.Owner.Address, methodTake, request,
	)
	if err != nil {
		c.settings.logger.Info("owner was not told; its watch finds the change", "Owner", current.Owner.Instance,
			"Error", err.Error())
		return
	}
	if response.Statement != nil {
		c.statements.learn(sentAt, []rater.Stated{*response.Statement})
	}
}

func (c *Coordinator) handleWaiting(ctx context.Context, request waitingRequest) (waitingReply, error) {
	o := c.owner.Load()
	if o == nil {
		return waitingReply{}, nil
	}
	var waiting int
	owns := o.query(ctx, func(stateMachine *conductor.Conductor) { waiting = stateMachine.Waiting(request.Queue) })
	return waitingReply{Owner: owns, Waiting: waiting}, nil
}

func (c *Coordinator) handleAdvise(ctx context.Context, request adviseRequest) (adviseReply, error) {
	advice, err := c.settings.advice.Advise(ctx, request.Step, request.Servers)
	if err != nil {
		return adviseReply{}, err
	}
	return adviseReply{Grants: advice.Grants, ValidFor: advice.ValidUntil.Sub(c.settings.clock.Now())}, nil
}

// advise makes an advice call, through another instance if the command names one, and posts the result.
func (o *owner) advise(ctx context.Context, c conductor.Advise, address string) {
	event := conductor.Advised{Step: c.Step, Advisor: c.Advisor, Servers: c.Servers, Incarnations: c.Incarnations, SentAt: o.settings.clock.Now()}
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	request := adviseRequest{Step: c.Step, Servers: c.Servers}
	startedAt := time.Now()
	var response adviseReply
	var err error
	if c.Advisor == o.settings.instance {
		response, err = o.handleAdvise(ctx, request)
	} else {
		response, err = messenger.Call[adviseRequest, adviseReply](ctx, o.longCalls, address, methodAdvise, request)
	}
	o.settings.meter.Observe("Advice.Microseconds", time.Since(startedAt))
	if err != nil {
		o.settings.logger.Warn("advice call failed", "Step", c.Step.String(), "Advisor", c.Advisor, "Error", err.Error())
		event.Failed = true
	}
	event.Grants = response.Grants
	event.ValidUntil = o.settings.clock.Now().Add(response.ValidFor)
	o.post(event)
}
