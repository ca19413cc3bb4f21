package scheduler

import (
	"context"
	"time"

	"gopkg.in/tomb.v2"

	"egretring.example/egretring/buffer"
	"egretring.example/egretring/committer"
	"egretring.example/egretring/describer"
	"egretring.example/egretring/forwarder"
	"egretring.example/egretring/starter"
	"egretring.example/egretring/timekeeper"
	"egretring.example/egretring/watchdog"
)

const (
	// termEvents bounds the queue of responses and reports for the starter.
	termEvents = 1 << 14
	// termTick is the time between two checks of the right to place tasks, the plan and the backend servers.
	termTick = 100 * time.Millisecond
	// holdHorizon is how far ahead a hold agreement allows renewals before the right is checked again. A hold agreement
	// lets the members of a zone continue in their epoch while the store is unreachable for all of them.
	holdHorizon = time.Second
	// recoveryTimeout is the longest time without progress of one attempt at the recovery; it is retried after an error.
	recoveryTimeout = 10 * time.Second
)

// placingTerm is the period in which this instance is the zone's placing member under one epoch.
type placingTerm struct {
	*Scheduler
	tomb tomb.Tomb
	// termContext is cancelled when the term ends.
	termContext     context.Context
	epoch           describer.Epoch
	starter         *starter.Starter
	recordCommitter *committer.Committer
	pool            *pool
	events          *buffer.Queue[starter.Event]
	reports         *buffer.Queue[Progress]
	// uncommitted are records that did not fit into the committer's queue, in order; refresh offers them again.
	uncommitted []committer.Record
	applied     appliedPlan
	// serversVersion is the version of the backend servers that the starter has received.
	serversVersion int
	polling        polling
	queries        *buffer.Queue[query]
}

func newPlacingTerm(s *Scheduler, epoch describer.Epoch) *placingTerm {
	return &placingTerm{
		Scheduler: s, epoch: epoch, starter: starter.New(), pool: newPool(),
		events:  buffer.NewQueue[starter.Event](termEvents),
		reports: buffer.NewQueue[Progress](1),
		applied: newAppliedPlan(s.Zone),
		polling: newPolling(),
		queries: buffer.NewQueue[query](waitingQueries),
	}
}

func (t *placingTerm) start() {
	t.termContext = t.tomb.Context(context.Background())
	t.tomb.Go(func() error { return t.run(t.termContext) })
}

func (t *placingTerm) stop() {
	t.tomb.Kill(nil)
	if err := t.tomb.Wait(); err != nil {
		t.Logger.Warn("placing term ended with an error", "Epoch", t.epoch, "Error", err.Error())
	}
}

// run recovers the zone's tasks and then runs the starter until the term ends.
func (t *placingTerm) run(ctx context.Context) error {
	defer t.tomb.Kill(nil)
	state, ok := t.recover(ctx)
	if !ok {
		return nil
	}
	t.recordCommitter.Start()
	defer func() { _ = t.recordCommitter.Stop() }()
	for range poolWorkers {
		t.tomb.Go(func() error { return t.pool.work(ctx) })
	}
	t.tomb.Go(func() error { return t.runUsage(ctx) })
	t.tomb.Go(func() error { return t.runProgress(ctx) })
	t.refresh()
	t.applied.recover(state.Finished)
	t.send(starter.RecordsRecovered{Records: state.Records, Finished: state.Finished})
	t.Logger.Info("became the zone's placing member", "Zone", t.Zone, "Epoch", t.epoch, "Records", len(state.Records))
	t.drive(ctx)
	return nil
}

// recover seals the records of earlier placing members and reads them, then claims the progress key, and reads the plan
// last. This order ensures that everything that an earlier member reported about an older plan is in the store before
// this member starts a task.
func (t *placingTerm) recover(ctx context.Context) (committer.State, bool) {
	for ctx.Err() == nil {
		limited, progress := watchdog.Watch(ctx, 0, recoveryTimeout)
		journal, state, err := committer.Recover(limited, t.Store, t.Zone, t.epoch, t.writer())
		if err == nil {
			err = t.claimProgress(limited)
		}
		if err == nil {
			_, err = t.readPlan(limited)
		}
		progress.Stop()
		_, version := t.allServers()
		switch {
		case err == nil && version > 0:
			t.recordCommitter = committer.New(t.Store, t.Zone, journal)
			return state, true
		case committer.IsErrFenced(err):
			t.Logger.Warn("a newer placing member has taken over", "Epoch", t.epoch, "Error", err.Error())
			return committer.State{}, false
		case err != nil:
			t.Logger.Warn("recovery of the zone's tasks failed; retrying", "Epoch", t.epoch, "Error", err.Error())
		}
		timekeeper.Sleep(ctx, retryInterval)
	}
	return committer.State{}, false
}

// drive is the event loop of the term. The starter is called from this goroutine only.
func (t *placingTerm) drive(ctx context.Context) {
	ticker := time.NewTicker(termTick)
	defer ticker.Stop()
	wake := time.NewTimer(0)
	defer wake.Stop()
	for {
		select {
		case event := <-t.events.Items():
			t.send(event)
		case records := <-t.recordCommitter.Durable():
			t.send(starter.RecordsCommitted{Records: records})
		case <-t.recordCommitter.Done():
			t.send(starter.Fenced{})
			t.Logger.Warn("a newer placing member has taken over", "Epoch", t.epoch)
			return
		case <-ticker.C:
			t.refresh()
			t.offerProgress()
		case q := <-t.queries.Items():
			q.result <- t.starter.Tasks()
		case <-wake.C:
			t.send(starter.Ticked{})
		case <-ctx.Done():
			return
		}
		if at, ok := t.starter.NextDeadline(); ok {
			wake.Reset(time.Until(at))
		}
	}
}

// refresh gives the starter the current right to place tasks, and the backend servers and the plan if they have
// changed. It then offers the uncommitted records to the committer again.
func (t *placingTerm) refresh() {
	t.send(starter.PlacementRightChanged(t.right(time.Now())))
	if servers, version := t.zoneServers(); version != t.serversVersion {
		t.serversVersion = version
		t.send(starter.ServersChanged{Servers: servers})
	}
	if plan, version := t.currentPlan(); version != t.applied.version {
		for _, event := range t.applied.update(plan, version) {
			t.send(event)
		}
	}
	uncommitted := t.uncommitted
	t.uncommitted = nil
	for _, record := range uncommitted {
		t.commit(record)
	}
}

// right returns until when this member may start tasks and renew their leases. Starts need the store lease. A hold
// agreement allows renewals only, because a start has to be committed to the store.
func (t *placingTerm) right(now time.Time) starter.PlacementRightChanged {
	right := t.Membership.Right()
	changed := starter.PlacementRightChanged{Epoch: t.epoch, StartUntil: right.Deadline, RenewUntil: right.Deadline}
	if horizon := now.Add(holdHorizon); right.Held && changed.RenewUntil.Before(horizon) {
		changed.RenewUntil = horizon
	}
	if !t.isPlacing() {
		changed.StartUntil, changed.RenewUntil = time.Time{}, time.Time{}
	}
	return changed
}

// isPlacing reports whether this instance still holds position 0 under the epoch of the term.
func (t *placingTerm) isPlacing() bool {
	epoch, ok := placingEpoch(t.Membership)
	return ok && epoch == t.epoch
}

func (t *placingTerm) send(event starter.Event) {
	for _, command := range t.starter.Handle(time.Now(), event) {
		t.execute(command)
	}
}

// commit passes a record to the committer. Records keep their order: while some are uncommitted, later ones join them.
func (t *placingTerm) commit(record committer.Record) {
	if len(t.uncommitted) > 0 || t.recordCommitter.Commit(record) != nil {
		t.uncommitted = append(t.uncommitted, record)
	}
}

func (t *placingTerm) writer() string {
	return string(t.Instance)
}

// server returns the client for the task calls of a backend server of the zone.
func (t *placingTerm) server(id describer.BackendServerID) (forwarder.TaskServer, bool) {
	known, ok := t.zoneServer(id)
	if !ok {
		return nil, false
	}
	return t.Connect(known), true
}
