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
)

const (
	// termEvents bounds the answers and reports that wait for the starter.
	termEvents = 1 << 14
	// termTick is the time between two looks at the right, the plan and the backend servers.
	termTick = 100 * time.Millisecond
	// holdHorizon is how long a hold agreement lets leases be renewed without a new look at the right.
	holdHorizon = time.Second
	// recoveryTimeout bounds one attempt to read the records; it is repeated after an error.
	recoveryTimeout = 10 * time.Second
)

// term is the time in which this instance places the zone's tasks under one epoch.
type term struct {
	*Scheduler
	tomb tomb.Tomb
	// alive ends with the term.
	alive   context.Context
	epoch   describer.Epoch
	core    *starter.Starter
	journal *committer.Committer
	pool    *pool
	events  *buffer.Queue[starter.Event]
	reports *buffer.Queue[Progress]
	// overdue are records for which the committer had no room.
	overdue []committer.Record
	applied appliedPlan
	// serversVersion is the version of the backend servers that the starter knows.
	serversVersion int
	polling        polling
	queries        *buffer.Queue[query]
}

func newTerm(s *Scheduler, epoch describer.Epoch) *term {
	return &term{
		Scheduler: s, epoch: epoch, core: starter.New(), pool: newPool(),
		events:  buffer.NewQueue[starter.Event](termEvents),
		reports: buffer.NewQueue[Progress](1),
		applied: newAppliedPlan(s.Zone),
		polling: newPolling(),
		queries: buffer.NewQueue[query](waitingQueries),
	}
}

func (t *term) start() {
	t.alive = t.tomb.Context(context.Background())
	t.tomb.Go(func() error { return t.run(t.alive) })
}

func (t *term) stop() {
	t.tomb.Kill(nil)
	if err := t.tomb.Wait(); err != nil {
		t.Logger.Warn("placing of tasks ended with an error", "Epoch", t.epoch, "Error", err.Error())
	}
}

// run recovers the zone's tasks and then drives the starter until the term ends.
func (t *term) run(ctx context.Context) error {
	defer t.tomb.Kill(nil)
	state, ok := t.recover(ctx)
	if !ok {
		return nil
	}
	t.journal.Start()
	defer func() { _ = t.journal.Stop() }()
	for range poolWorkers {
		t.tomb.Go(func() error { return t.pool.work(ctx) })
	}
	t.tomb.Go(func() error { return t.runUsage(ctx) })
	t.tomb.Go(func() error { return t.runProgress(ctx) })
	t.refresh()
	t.applied.recover(state.Finished)
	t.send(starter.RecordsRecovered{Records: state.Records, Finished: state.Finished})
	t.Logger.Info("placing the zone's tasks", "Zone", t.Zone, "Epoch", t.epoch, "Records", len(state.Records))
	t.drive(ctx)
	return nil
}

// recover seals the records of earlier members and reads them, after that claims the progress key, and reads the plan
// last: what an earlier member reported about an older plan is then in the store before this member starts anything.
func (t *term) recover(ctx context.Context) (committer.State, bool) {
	for ctx.Err() == nil {
		limited, cancel := context.WithTimeout(ctx, recoveryTimeout)
		journal, state, err := committer.Recover(limited, t.Store, t.Zone, t.epoch, t.writer())
		if err == nil {
			err = t.claimProgress(limited)
		}
		if err == nil {
			_, err = t.readPlan(limited)
		}
		cancel()
		_, version := t.allServers()
		switch {
		case err == nil && version > 0:
			t.journal = committer.New(t.Store, t.Zone, journal)
			return state, true
		case committer.IsErrFenced(err):
			t.Logger.Warn("a newer placing member has taken over", "Epoch", t.epoch, "Error", err.Error())
			return committer.State{}, false
		case err != nil:
			t.Logger.Warn("task records cannot be read yet", "Epoch", t.epoch, "Error", err.Error())
		}
		timekeeper.Sleep(ctx, retryInterval)
	}
	return committer.State{}, false
}

func (t *term) drive(ctx context.Context) {
	ticker := time.NewTicker(termTick)
	defer ticker.Stop()
	wake := time.NewTimer(0)
	defer wake.Stop()
	for {
		select {
		case event := <-t.events.Items():
			t.send(event)
		case records := <-t.journal.Durable():
			t.send(starter.RecordsCommitted{Records: records})
		case <-t.journal.Dead():
			t.send(starter.Fenced{})
			t.Logger.Warn("a newer placing member has taken over", "Epoch", t.epoch)
			return
		case <-ticker.C:
			t.refresh()
			t.offerProgress()
		case q := <-t.queries.Items():
			q.answer <- t.core.Tasks()
		case <-wake.C:
			t.send(starter.Ticked{})
		case <-ctx.Done():
			return
		}
		if at, ok := t.core.NextDeadline(); ok {
			wake.Reset(time.Until(at))
		}
	}
}

// refresh gives the starter the present right, backend servers and plan, and commits what had to wait.
func (t *term) refresh() {
	t.send(starter.RightChanged(t.right(time.Now())))
	if servers, version := t.zoneServers(); version != t.serversVersion {
		t.serversVersion = version
		t.send(starter.ServersChanged{Servers: servers})
	}
	if plan, version := t.currentPlan(); version != t.applied.version {
		for _, event := range t.applied.update(plan, version) {
			t.send(event)
		}
	}
	overdue := t.overdue
	t.overdue = nil
	for _, record := range overdue {
		t.commit(record)
	}
}

// right returns what this member may do now. Starts need the store lease; a hold agreement allows renewals only, because
// a start has to be committed to the store.
func (t *term) right(now time.Time) starter.RightChanged {
	right := t.Membership.Right()
	changed := starter.RightChanged{Epoch: t.epoch, StartUntil: right.Deadline, RenewUntil: right.Deadline}
	if horizon := now.Add(holdHorizon); right.Held && changed.RenewUntil.Before(horizon) {
		changed.RenewUntil = horizon
	}
	if !t.places() {
		changed.StartUntil, changed.RenewUntil = time.Time{}, time.Time{}
	}
	return changed
}

// places reports whether this instance still holds position 0 under the epoch of the term.
func (t *term) places() bool {
	epoch, ok := placingEpoch(t.Membership)
	return ok && epoch == t.epoch
}

func (t *term) send(event starter.Event) {
	for _, command := range t.core.Handle(time.Now(), event) {
		t.obey(command)
	}
}

func (t *term) commit(record committer.Record) {
	if len(t.overdue) > 0 || t.journal.Commit(record) != nil {
		t.overdue = append(t.overdue, record)
	}
}

func (t *term) writer() string {
	return string(t.Instance)
}

// server returns the task calls of a backend server of the zone.
func (t *term) server(id describer.BackendServerID) (forwarder.TaskServer, bool) {
	known, ok := t.zoneServer(id)
	if !ok {
		return nil, false
	}
	return t.Connect(known), true
}
