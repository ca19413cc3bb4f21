package scheduler

import (
	"context"
	"time"

	"egretring.example/egretring/committer"
	"egretring.example/egretring/describer"
	"egretring.example/egretring/forwarder"
	"egretring.example/egretring/starter"
)

// execute carries out a command of the starter.
func (t *placingTerm) execute(command starter.Command) {
	switch c := command.(type) {
	case starter.CommitRecord:
		t.commit(c.Record)
	case starter.ReportFinished:
		t.applied.finish(c)
	case starter.StartTask:
		t.call(c.Server, true, func(ctx context.Context, server forwarder.TaskServer) { t.startTask(ctx, server, c) })
	case starter.RenewLeases:
		t.call(c.Server, false, func(ctx context.Context, server forwarder.TaskServer) { t.renew(ctx, server, c) })
	case starter.StopTask:
		t.call(c.Server, false, func(ctx context.Context, server forwarder.TaskServer) { t.stopTask(ctx, server, c) })
	case starter.CheckpointTask:
		t.call(c.Server, false, func(ctx context.Context, server forwarder.TaskServer) {
			t.checkFenced(server.Checkpoint(ctx, taskCall(c.Attempt, c.Epoch)))
		})
	case starter.ThrottleTask:
		t.call(c.Server, false, func(ctx context.Context, server forwarder.TaskServer) {
			t.checkFenced(server.Throttle(ctx, taskCall(c.Attempt, c.Epoch)))
		})
	}
}

// call queues a call to a backend server. The right to start tasks, or to renew leases for calls other than starts, is
// checked again just before the call is sent, because this process may have been paused in between.
func (t *placingTerm) call(id describer.BackendServerID, start bool, run func(context.Context, forwarder.TaskServer)) {
	queued := t.pool.submit(call{
		server: id, deadline: time.Now().Add(starter.CallTimeout),
		run: func(ctx context.Context) {
			now := time.Now()
			right := t.right(now)
			until := right.RenewUntil
			if start {
				until = right.StartUntil
			}
			server, known := t.server(id)
			if known && now.Before(until) {
				run(ctx, server)
			}
		},
	})
	if !queued {
		t.Logger.Warn("call to a backend server dropped because its queue is full", "BackendServer", id)
	}
}

func (t *placingTerm) startTask(ctx context.Context, server forwarder.TaskServer, c starter.StartTask) {
	err := server.Start(ctx, forwarder.StartCall{
		Task: c.Attempt.Task, Attempt: c.Attempt.Number, Epoch: c.Epoch,
		Resources: c.Resources, LeaseSeconds: float64(c.LeaseSeconds),
	})
	result := starter.OutcomeUnknown
	switch {
	case err == nil:
		result = starter.Accepted
	case forwarder.IsErrNotStarted(err), forwarder.IsErrUnknownTask(err):
		result = starter.Refused
	}
	t.checkFenced(err)
	t.post(starter.StartResponded{
		Server: c.Server, Task: c.Attempt.Task, Attempt: c.Attempt.Number, Result: result,
	})
}

func (t *placingTerm) renew(ctx context.Context, server forwarder.TaskServer, c starter.RenewLeases) {
	renewal := forwarder.RenewCall{Epoch: c.Epoch, LeaseSeconds: float64(c.LeaseSeconds)}
	for _, attempt := range c.Attempts {
		renewal.Tasks = append(renewal.Tasks, forwarder.TaskAttempt{Task: attempt.Task, Attempt: attempt.Number})
	}
	// The response's list of unknown attempts is not used: the next usage report shows which attempts do not run.
	_, err := server.Renew(ctx, renewal)
	t.checkFenced(err)
	if err == nil {
		t.post(starter.RenewResponded{Server: c.Server, Epoch: c.Epoch})
	}
}

// stopTask stops an attempt. A response that the backend server does not run the attempt confirms the stop as well:
// calls to a backend server are made one after the other, so no start of this attempt is in flight.
func (t *placingTerm) stopTask(ctx context.Context, server forwarder.TaskServer, c starter.StopTask) {
	err := server.Stop(ctx, taskCall(c.Attempt, c.Epoch))
	t.checkFenced(err)
	if err != nil && !forwarder.IsErrUnknownTask(err) {
		return
	}
	t.polling.markStopped(c.Server, c.Attempt)
	t.post(starter.AttemptEnded{
		Server: c.Server, Task: c.Attempt.Task, Attempt: c.Attempt.Number, Outcome: committer.Stopped,
	})
}

// checkFenced fences the starter when a backend server has seen a higher epoch.
func (t *placingTerm) checkFenced(err error) {
	if forwarder.IsErrStaleEpoch(err) {
		t.post(starter.Fenced{})
	}
}

// post queues an event for the starter. It blocks while the queue is full, until the term ends.
func (t *placingTerm) post(event starter.Event) {
	_ = t.events.Put(t.termContext, event)
}

func taskCall(attempt starter.Attempt, epoch describer.Epoch) forwarder.TaskCall {
	return forwarder.TaskCall{Task: attempt.Task, Attempt: attempt.Number, Epoch: epoch}
}
