package scheduler

import (
	"context"
	"time"

	"egretring.example/egretring/committer"
	"egretring.example/egretring/describer"
	"egretring.example/egretring/forwarder"
	"egretring.example/egretring/starter"
)

// obey carries out a command of the starter.
func (t *term) obey(command starter.Command) {
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
			t.noteError(server.Checkpoint(ctx, taskCall(c.Attempt, c.Epoch)))
		})
	case starter.ThrottleTask:
		t.call(c.Server, false, func(ctx context.Context, server forwarder.TaskServer) {
			t.noteError(server.Throttle(ctx, taskCall(c.Attempt, c.Epoch)))
		})
	}
}

// call queues a call. The right is checked again just before it is sent, because this process may have been paused.
func (t *term) call(id describer.BackendServerID, start bool, run func(context.Context, forwarder.TaskServer)) {
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
		t.Logger.Warn("too many calls wait for a backend server", "BackendServer", id)
	}
}

func (t *term) startTask(ctx context.Context, server forwarder.TaskServer, c starter.StartTask) {
	err := server.Start(ctx, forwarder.StartCall{
		Task: c.Attempt.Task, Attempt: c.Attempt.Number, Epoch: c.Epoch,
		Resources: c.Resources, LeaseSeconds: float64(c.LeaseSeconds),
	})
	result := starter.NoAnswer
	switch {
	case err == nil:
		result = starter.Accepted
	case forwarder.IsErrNotStarted(err), forwarder.IsErrUnknownTask(err):
		result = starter.Refused
	}
	t.noteError(err)
	t.post(starter.StartAnswered{
		Server: c.Server, Task: c.Attempt.Task, Attempt: c.Attempt.Number, Result: result,
	})
}

func (t *term) renew(ctx context.Context, server forwarder.TaskServer, c starter.RenewLeases) {
	renewal := forwarder.RenewCall{Epoch: c.Epoch, LeaseSeconds: float64(c.LeaseSeconds)}
	for _, attempt := range c.Attempts {
		renewal.Tasks = append(renewal.Tasks, forwarder.TaskAttempt{Task: attempt.Task, Attempt: attempt.Number})
	}
	// Attempts that the backend server does not know are found by the next usage report.
	_, err := server.Renew(ctx, renewal)
	t.noteError(err)
	if err == nil {
		t.post(starter.RenewAnswered{Server: c.Server, Epoch: c.Epoch})
	}
}

// stopTask stops an attempt. The answer that it does not run is a confirmation too: the calls to a backend server are
// made one after the other, so no start of it is under way.
func (t *term) stopTask(ctx context.Context, server forwarder.TaskServer, c starter.StopTask) {
	err := server.Stop(ctx, taskCall(c.Attempt, c.Epoch))
	t.noteError(err)
	if err != nil && !forwarder.IsErrUnknownTask(err) {
		return
	}
	t.polling.forget(c.Server, c.Attempt)
	t.post(starter.TaskLeft{
		Server: c.Server, Task: c.Attempt.Task, Attempt: c.Attempt.Number, Outcome: committer.Stopped,
	})
}

// noteError ends the term when a backend server has seen a higher epoch.
func (t *term) noteError(err error) {
	if forwarder.IsErrStaleEpoch(err) {
		t.post(starter.Fenced{})
	}
}

// post passes an event to the starter and waits for room.
func (t *term) post(event starter.Event) {
	_ = t.events.Put(t.alive, event)
}

func taskCall(attempt starter.Attempt, epoch describer.Epoch) forwarder.TaskCall {
	return forwarder.TaskCall{Task: attempt.Task, Attempt: attempt.Number, Epoch: epoch}
}
