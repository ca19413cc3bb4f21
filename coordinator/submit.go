package coordinator

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"egretring.example/egretring/accountant"
	"egretring.example/egretring/classifier"
	"egretring.example/egretring/intaker"
	"egretring.example/egretring/specifier"
)

const (
	// relayAfter is how long the store may take to confirm a submission before the owner is requested to store it, too.
	relayAfter = 200 * time.Millisecond
	// unconfirmedAfter is how long a submission without a confirmation is waited for. Its caller may then submit it elsewhere, and
	// this instance goes on to store it.
	unconfirmedAfter = 700 * time.Millisecond
)

// Submit accepts a job. The context's deadline is the time until which the caller waits. If the store does not serve this
// instance, or takes long, the owner is requested to store the job, too. The store has one job for an ID, so that both may
// succeed. A job that its team may never run is refused, unless it was accepted before.
func (c *Coordinator) Submit(ctx context.Context, job specifier.Job) error {
	if refusal := c.checkQuota(job); refusal != nil {
		return c.refuseUnlessAccepted(ctx, job, refusal)
	}
	s := submission{job: job, arrivedAt: c.settings.clock.Now()}
	if accepted, err := c.checkRate(ctx, &s); err != nil || accepted {
		return err
	}
	s.job.AcceptedAt = c.settings.clock.Now()
	own := c.storeJob(ctx, s)
	defer own.cancel()
	if !c.intaker.Failing() {
		patience := time.NewTimer(relayAfter)
		defer patience.Stop()
		select {
		case err := <-own.result:
			return err
		case <-patience.C:
		}
	}
	relayed := make(chan relayResult, 1)
	go func() {
		relayed <- c.storeThroughOwner(ctx, s)
	}()
	return own.combine(relayed)
}

// checkQuota checks a job by the newest configuration that this instance knows. Without one, the owner keeps a job that can never run
// waiting.
func (c *Coordinator) checkQuota(job specifier.Job) error {
	configuration := c.configuration.Load()
	if configuration == nil {
		return nil
	}
	return accountant.Check(configuration.Teams, job)
}

// refuseUnlessAccepted returns a refusal, or nil for a job that was accepted before the limit of its team was lowered: it waits for a limit
// that permits it, so that a refusal, which promises that the job never runs, would be wrong.
func (c *Coordinator) refuseUnlessAccepted(ctx context.Context, job specifier.Job, refusal error) error {
	if accepted, err := c.acceptedBefore(ctx, job); err != nil || accepted {
		return err
	}
	return refusal
}

// attempt is an attempt of this instance to store a job.
type attempt struct {
	result  chan error
	cancel  context.CancelFunc
	begunAt time.Time
}

// relayResult is the result of a request to the owner to store a job.
type relayResult struct {
	tried bool
	err   error
}

// mayHaveRun reports whether the job may be stored although the result is an error.
func (r relayResult) mayHaveRun() bool {
	return r.tried && !classifier.IsErrNotRun(r.err)
}

func (c *Coordinator) storeJob(ctx context.Context, s submission) *attempt {
	ctx, cancel := context.WithCancel(ctx)
	a := &attempt{result: make(chan error, 1), cancel: cancel, begunAt: time.Now()}
	go func() { a.result <- c.store(ctx, s) }()
	return a
}

// store stores a job, and decides it again when the statement about its team has been replaced.
func (c *Coordinator) store(ctx context.Context, s submission) error {
	for {
		err := c.accept(ctx, s.job, c.fenceOf(s.job, s.permit.Revision))
		var moved *intaker.FenceMovedError
		if !errors.As(err, &moved) {
			return err
		}
		if err := c.decideAgain(ctx, &s, moved.Current); err != nil {
			return err
		}
	}
}

// storeThroughOwner requests that the owner stores a job. The owner does not decide the submission again, because it does not know when it
// arrived.
func (c *Coordinator) storeThroughOwner(ctx context.Context, s submission) relayResult {
	for {
		response, tried, err := c.acceptThroughOwner(ctx, acceptRequest{Job: &s.job, Permit: s.permit.Revision})
		if response.Moved == nil {
			return relayResult{tried: tried, err: err}
		}
		if err := c.decideAgain(ctx, &s, *response.Moved); err != nil {
			return relayResult{tried: true, err: err}
		}
	}
}

// combine waits until one of the two attempts to store a job has succeeded or both have failed, and returns the outcome.
func (a *attempt) combine(relayed <-chan relayResult) error {
	var own error
	var relay relayResult
	select {
	case own = <-a.result:
		if own == nil {
			return nil
		}
		relay = <-relayed
	case relay = <-relayed:
		if relay.tried && relay.err == nil {
			return nil
		}
		own = a.await()
	}
	switch {
	case own == nil || relay.tried && relay.err == nil:
		return nil
	case classifier.IsErrNotRun(own) && relay.mayHaveRun():
		return relay.err
	default:
		return own
	}
}

// await waits for the attempt after the owner has not stored the job.
func (a *attempt) await() error {
	patience := time.NewTimer(unconfirmedAfter - time.Since(a.begunAt))
	defer patience.Stop()
	select {
	case err := <-a.result:
		return err
	case <-patience.C:
		a.cancel()
		return <-a.result
	}
}
