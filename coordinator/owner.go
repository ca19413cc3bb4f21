package coordinator

import (
	"context"
	"time"

	"egretring.example/egretring/conductor"
	"egretring.example/egretring/connector"
	"egretring.example/egretring/elector"
	"egretring.example/egretring/keeper"
	"egretring.example/egretring/specifier"
	"egretring.example/egretring/timekeeper"
)

// owner runs the scheduling state machine and its I/O during one term of this instance as the owner.
type owner struct {
	*Coordinator
	ownership elector.Ownership
	// predecessors are earlier owners that may still renew leases of runs.
	predecessors []elector.Owner
	// first is set when there has been no owner before.
	first bool
	// refusedBefore is how many owners in a row before this one have resigned because servers refused their connections.
	refusedBefore int
	stateMachine  *conductor.Conductor
	events        chan queuedEvent
	queries       chan func(*conductor.Conductor)
	// laneRevisions are the revisions of the keys of the commit lanes; see laneKey.
	laneRevisions   [conductor.CommitLanes]int64
	memberAddresses map[string]string
	done            <-chan struct{}
	commitTimeout   keeper.AdaptiveTimeout
	// intakeRevision is the store's revision of the last list of submissions. What is in the store since a read after
	// intakeReadAt was not there before.
	intakeRevision int64
	intakeReadAt   time.Time
	// recovered are the servers and transfers that were read after the election.
	recovered conductor.ServersListed
	// refusals are those that were decided and not yet stated.
	refusals chan decidedRefusals
	delay    maxDelay
	load     loadLine
	// connections are those to the backend servers.
	connections *connector.Pool
	// counted are the teams that have had runs in this term.
	counted map[string]bool
}

// queuedEvent is an event and the time at which it was posted.
type queuedEvent struct {
	event conductor.Event
	at    time.Time
}

// runOwner is the function that the elector runs while this instance is the owner.
func (c *Coordinator) runOwner(ctx context.Context, term elector.Term) {
	ownership := term.Ownership
	o := &owner{
		Coordinator: c, ownership: ownership, predecessors: term.Predecessors, first: term.First, refusedBefore: term.RefusedBefore,
		events: make(chan queuedEvent, eventQueueSize), queries: make(chan func(*conductor.Conductor)),
		memberAddresses: make(map[string]string), done: ctx.Done(), counted: make(map[string]bool),
		refusals: make(chan decidedRefusals, 1),
	}
	o.connections = connector.New(
		connector.WithLimits(c.serverLimits), connector.WithLosses(term.Losses), connector.WithLogger(c.settings.logger),
		connector.WithMeter(c.settings.meter),
	)
	defer o.closeConnections()
	startedAt := c.settings.clock.Now()
	for {
		err := o.recover(ctx)
		if err == nil {
			break
		}
		if ctx.Err() != nil {
			return
		}
		c.settings.logger.Warn("failed to restore jobs from the store; retrying", "Epoch", ownership.Epoch, "Error", err.Error())
		timekeeper.Sleep(ctx, retryInterval)
	}
	c.settings.logger.Info("ownership begins", "Epoch", ownership.Epoch,
		"RecoveryTime", c.settings.clock.Now().Sub(startedAt).String())
	c.owner.Store(o)
	defer c.owner.Store(nil)
	o.configureAgain()
	defer o.clearQuotas()
	go o.watchIntake(ctx)
	go o.followServers(ctx)
	go o.followMembers(ctx)
	go o.awaitPredecessors(ctx)
	go o.watchLag(ctx)
	go o.stateRefusals(ctx)
	go o.readSpeeds(ctx)
	if c.settings.shards != nil {
		go o.deleteReturned(ctx, o.recovered)
	}
	o.run(ctx)
}

// configureAgain uses the configuration that arrived while the jobs were restored. From now on, later ones are posted.
func (o *owner) configureAgain() {
	if configuration := o.configuration.Load(); configuration != nil {
		o.stateMachine.Handle(o.settings.clock.Now(), conductor.Configured{Configuration: *configuration})
	}
}

// post queues an event for the owner's goroutine. It blocks while the queue is full, and drops the event after the
// term.
func (o *owner) post(event conductor.Event) {
	select {
	case o.events <- queuedEvent{event: event, at: o.settings.clock.Now()}:
	case <-o.done:
	}
}

// query runs a function in the owner's goroutine and waits for it. It reports whether the function ran.
func (o *owner) query(ctx context.Context, runQuery func(*conductor.Conductor)) bool {
	finished := make(chan struct{})
	wrapped := func(stateMachine *conductor.Conductor) {
		runQuery(stateMachine)
		close(finished)
	}
	select {
	case o.queries <- wrapped:
	case <-o.done:
		return false
	case <-ctx.Done():
		return false
	}
	<-finished
	return true
}

func (o *owner) run(ctx context.Context) {
	timer := time.NewTimer(planInterval)
	defer func() { timer.Stop() }()
	// A new timer is cheaper than Reset: a timer that was reset makes the runtime scan all timers of the process when it falls due.
	planIn := func(wait time.Duration) {
		timer.Stop()
		timer = time.NewTimer(wait)
	}
	var plannedAt time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case runQuery := <-o.queries:
			runQuery(o.stateMachine)
			continue
		case next := <-o.events:
			now := o.settings.clock.Now()
			o.delay.record(now.Sub(next.at))
			o.load.handled(now.Sub(next.at))
			o.stateMachine.Handle(now, next.event)
			o.handleQueued()
			o.load.handling += o.settings.clock.Now().Sub(now)
		case <-timer.C:
		}
		now := o.settings.clock.Now()
		if wait := minPlanInterval - now.Sub(plannedAt); wait > 0 {
			planIn(wait)
			continue
		}
		plannedAt = now
		commands := o.stateMachine.Plan(now)
		decidedAt := o.settings.clock.Now()
		o.load.planned(decidedAt.Sub(now))
		o.stateMachine.PlanTook(now, decidedAt.Sub(now))
		for _, command := range commands {
			o.execute(ctx, command)
		}
		o.load.executing += o.settings.clock.Now().Sub(decidedAt)
		o.logLoad()
		wait := planInterval
		if next, due := o.stateMachine.NextPlan(); due {
			wait = min(wait, max(next.Sub(now), minPlanDelay))
		}
		planIn(wait)
	}
}

func (o *owner) handleQueued() {
	for range maxEventsPerPlan {
		select {
		case next := <-o.events:
			now := o.settings.clock.Now()
			o.load.handled(now.Sub(next.at))
			o.stateMachine.Handle(now, next.event)
		default:
			return
		}
	}
}

func (o *owner) followServers(ctx context.Context) {
	for ctx.Err() == nil {
		listed, err := o.listServers(ctx)
		if err == nil {
			o.post(listed)
			timekeeper.Sleep(ctx, listInterval)
			continue
		}
		timekeeper.Sleep(ctx, retryInterval)
	}
}

// listServers reads the servers, and their transfers while these may change.
func (o *owner) listServers(ctx context.Context) (conductor.ServersListed, error) {
	var listed conductor.ServersListed
	follows := false
	if o.settings.shards != nil {
		o.query(ctx, func(stateMachine *conductor.Conductor) {
			follows = stateMachine.FollowsTransfers(o.settings.clock.Now())
		})
	}
	var err error
	if follows {
		// Without the store the list still shows which servers are draining.
		if listed.Transfers, err = o.readTransfers(ctx); err != nil {
			o.settings.meter.Count("Store.TransferReadFailures", 1)
		}
	}
	listed.Servers, err = o.settings.directory.Servers(ctx)
	return listed, err
}

func (o *owner) followMembers(ctx context.Context) {
	beganAt := o.settings.clock.Now()
	for ctx.Err() == nil {
		members, err := o.settings.membership.members(ctx)
		if err != nil {
			timekeeper.Sleep(ctx, retryInterval)
			continue
		}
		if reason := o.handOverReason(members); reason != "" && o.settings.clock.Now().Sub(beganAt) > minTermBeforeHandOver {
			o.elector.Resign(o.ownership.Epoch, reason)
		}
		addresses := make(map[string]string, len(members))
		for _, m := range members {
			addresses[m.Instance] = m.Address
		}
		o.post(conductor.AdvisorsChanged{Advisors: o.advisors(members)})
		o.query(ctx, func(*conductor.Conductor) { o.memberAddresses = addresses })
		timekeeper.Sleep(ctx, memberInterval)
	}
}

// state returns the state of a job that the state machine knows.
func (o *owner) state(ctx context.Context, id specifier.JobID) jobStateReply {
	var found jobStateReply
	answered := o.query(ctx, func(stateMachine *conductor.Conductor) {
		found.State, found.Known = stateMachine.State(id)
		found.Team = stateMachine.TeamOf(id)
	})
	if !answered {
		return jobStateReply{}
	}
	return found
}
