package coordinator

import (
	"context"

	"egretring.example/egretring/classifier"
	"egretring.example/egretring/conductor"
	"egretring.example/egretring/intaker"
	"egretring.example/egretring/lifecycler"
	"egretring.example/egretring/messenger"
	"egretring.example/egretring/specifier"
)

// Queue returns the queue of a host and path. Its error is NotReady before there is a configuration, and NotFound when
// no queue matches.
func (c *Coordinator) Queue(host, path string) (specifier.Queue, error) {
	configuration := c.configuration.Load()
	if configuration == nil {
		return specifier.Queue{}, classifier.New(classifier.NotReady, "no configuration has been read yet")
	}
	queue, ok := configuration.Queues.For(host, path)
	if !ok {
		return specifier.Queue{}, classifier.New(classifier.NotFound, "no queue matches host %q and path %q", host, path)
	}
	return queue, nil
}

// MaxBodyBytes returns the configured limit of a request's body; zero means no limit.
func (c *Coordinator) MaxBodyBytes() int64 {
	if configuration := c.configuration.Load(); configuration != nil {
		return configuration.MaxBodyBytes
	}
	return 0
}

// MaxHeaderBytes returns the configured limit of a request's header; zero means no limit.
func (c *Coordinator) MaxHeaderBytes() int64 {
	if configuration := c.configuration.Load(); configuration != nil {
		return configuration.MaxHeaderBytes
	}
	return 0
}

func (c *Coordinator) accept(ctx context.Context, job specifier.Job, fence intaker.Fence) error {
	if err := c.intaker.AcceptFenced(ctx, job, fence); err != nil {
		return err
	}
	go c.notifyOwner(takeRequest{Job: &job})
	return nil
}

// Cancel cancels a job. It reports whether the caller has such a job.
func (c *Coordinator) Cancel(ctx context.Context, caller specifier.Caller, id specifier.JobID) (bool, error) {
	if !c.intaker.Reachable() {
		if response, tried, err := c.acceptThroughOwner(ctx, acceptRequest{Cancelled: id, Caller: caller}); tried {
			return response.Known, err
		}
	}
	return c.cancel(ctx, caller, id)
}

func (c *Coordinator) cancel(ctx context.Context, caller specifier.Caller, id specifier.JobID) (bool, error) {
	known, err := c.intaker.Cancel(ctx, caller, id)
	if err == nil && known {
		go c.notifyOwner(takeRequest{Cancelled: id})
	}
	return known, err
}

// State returns the state of a job and reports whether the caller has such a job.
func (c *Coordinator) State(ctx context.Context, caller specifier.Caller, id specifier.JobID) (specifier.JobState, bool, error) {
	found := c.stateFromOwner(ctx, id)
	if !found.Known {
		var err error
		if found, err = c.storedState(ctx, id); err != nil {
			return specifier.Queued, false, err
		}
	}
	if !found.Known || !caller.Owns(found.Team) {
		return specifier.Queued, false, nil
	}
	return found.State, true, nil
}

func (c *Coordinator) stateFromOwner(ctx context.Context, id specifier.JobID) jobStateReply {
	if o := c.owner.Load(); o != nil {
		return o.state(ctx, id)
	}
	current := c.elector.Current()
	if current.Epoch == 0 || current.Owner.Instance == c.settings.instance {
		return jobStateReply{}
	}
	response, err := messenger.Call[jobStateRequest, jobStateReply](
		ctx, c.shortCalls, current.Owner.Address, methodJobState, jobStateRequest{Job: id},
	)
	if err != nil {
		c.settings.logger.Warn("owner does not answer; the store is read", "Job", string(id),
			"Owner", current.Owner.Instance, "Error", err.Error())
		return jobStateReply{}
	}
	return response
}

// storedState reads the state of a job from its record or its submission, for a job that the owner does not know or while
// the owner cannot be queried.
func (c *Coordinator) storedState(ctx context.Context, id specifier.JobID) (jobStateReply, error) {
	found, err := c.recordedState(ctx, id)
	if err != nil || found.Known {
		return found, err
	}
	submitted, err := c.settings.store.Get(ctx, intaker.JobKey(id))
	if err != nil {
		return jobStateReply{}, classifier.Wrap(err, classifier.StoreUnavailable, "read job %s", id)
	}
	if submitted.Revision != 0 {
		team, err := intaker.TeamOf(submitted.Value)
		return jobStateReply{Known: err == nil, State: specifier.Queued, Team: team}, err
	}
	// The job may have finished between the two reads; its record has then replaced its submission.
	return c.recordedState(ctx, id)
}

// recordedState reads the state of a job from its record, and reports whether the record exists.
func (c *Coordinator) recordedState(ctx context.Context, id specifier.JobID) (jobStateReply, error) {
	entry, err := c.settings.store.Get(ctx, intaker.StateKey(id))
	if err != nil {
		return jobStateReply{}, classifier.Wrap(err, classifier.StoreUnavailable, "read state of job %s", id)
	}
	if entry.Revision == 0 {
		return jobStateReply{}, nil
	}
	record, err := lifecycler.DecodeRecord(entry.Value)
	if err != nil {
		return jobStateReply{}, err
	}
	found := jobStateReply{Known: true, State: record.State, Team: record.Team}
	if !record.State.Final() {
		found.State = specifier.Running
	}
	return found, nil
}

// Waiting returns the number of accepted jobs of a queue of which no task has started.
func (c *Coordinator) Waiting(ctx context.Context, queue specifier.Queue) (int, error) {
	if o := c.owner.Load(); o != nil {
		var waiting int
		if o.query(ctx, func(stateMachine *conductor.Conductor) { waiting = stateMachine.Waiting(queue.Name) }) {
			return waiting, nil
		}
	}
	current := c.elector.Current()
	if current.Epoch == 0 {
		return 0, classifier.New(classifier.NotReady, "no instance owns the jobs of the cell")
	}
	response, err := messenger.Call[waitingRequest, waitingReply](
		ctx, c.shortCalls, current.Owner.Address, methodWaiting, waitingRequest{Queue: queue.Name},
	)
	if err != nil || !response.Owner {
		return 0, classifier.New(classifier.NotReady, "owner %s does not answer", current.Owner.Instance)
	}
	return response.Waiting, nil
}
