package coordinator

import (
	"context"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"egretring.example/egretring/conductor"
	"egretring.example/egretring/connector"
	"egretring.example/egretring/intaker"
	"egretring.example/egretring/keeper"
	"egretring.example/egretring/limiter"
	"egretring.example/egretring/specifier"
	"egretring.example/egretring/timekeeper"
)

// execute carries out a command. A command that waits for a response runs in its own goroutine and posts its result as
// an event.
func (o *owner) execute(ctx context.Context, command conductor.Command) {
	switch c := command.(type) {
	case conductor.Commit:
		go o.write(ctx, c)
	case conductor.Start:
		go o.start(ctx, c)
	case conductor.Stop:
		go o.stop(ctx, c)
	case conductor.Renew:
		go o.renewLease(ctx, c)
	case conductor.Advise:
		go o.advise(ctx, c, o.memberAddresses[c.Advisor])
	case conductor.DeleteJobs:
		go o.deleteJobs(ctx, c)
	case conductor.Move:
		go o.move(ctx, c)
	case conductor.Borrow:
		o.borrow(ctx, c)
	case conductor.Resign:
		o.elector.NoteRefused(o.ownership.Epoch, c.Refused)
		o.elector.Resign(o.ownership.Epoch, c.Reason)
	case conductor.Refuse:
		o.decided(c.Refusals)
	case conductor.RecordSpeeds:
		go o.recordSpeeds(ctx, c)
	case conductor.Decision:
		o.log(c)
	}
}

func (o *owner) log(d conductor.Decision) {
	o.settings.meter.Count("Decisions."+d.Name, 1)
	o.settings.logger.Info("decision", "Decision", d.Name, "Job", string(d.Task.Job), "Task", d.Task.String(), "Run", d.Run,
		"Server", string(d.Server), "Detail", d.Detail, "Epoch", o.ownership.Epoch)
}

// call makes a call to a server once it has a connection. The timeout does not include the wait for one. Without one the call is not made.
func (o *owner) call(
	ctx context.Context, server specifier.Server, class limiter.Class, timeout time.Duration, send func(ctx context.Context),
) {
	shards := o.settings.shards
	borrowed := shards != nil && shards.HomeOf(server) != shards.Index
	ctx, release, err := o.connections.Reserve(ctx, connector.Call{Server: server, Class: class, Borrowed: borrowed})
	if err != nil {
		return
	}
	defer release()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	send(ctx)
}

func (o *owner) start(ctx context.Context, c conductor.Start) {
	startedAt := time.Now()
	class := limiter.Order
	if c.Urgent {
		class = limiter.UrgentStart
	}
	reply := specifier.OrderReply{Result: specifier.OrderNotSent}
	o.call(ctx, c.Server, class, orderTimeout, func(ctx context.Context) { reply = o.settings.servers.Start(ctx, c) })
	o.settings.meter.Observe("Orders.StartMicroseconds", time.Since(startedAt))
	o.post(conductor.OrderEnded{
		Server: c.Server.ID, Incarnation: c.Server.Incarnation, Task: c.Order.Task, Run: c.Order.Run,
		Fence: c.Order.Fence, Result: reply.Result, Clock: reply.Clock, HasClock: reply.HasClock,
	})
}

func (o *owner) stop(ctx context.Context, c conductor.Stop) {
	result := specifier.OrderNotSent
	o.call(ctx, c.Server, limiter.Order, orderTimeout, func(ctx context.Context) { result = o.settings.servers.Stop(ctx, c) })
	o.post(conductor.OrderEnded{
		Server: c.Server.ID, Incarnation: c.Server.Incarnation, Task: c.Task, Run: c.Run,
		Fence: c.Fence, Stop: true, Result: result,
	})
}

func (o *owner) renewLease(ctx context.Context, c conductor.Renew) {
	sentAt := o.settings.clock.Now()
	var report specifier.ServerReport
	result := specifier.OrderNotSent
	o.call(ctx, c.Server, limiter.Renewal, c.Wait+renewTimeout, func(ctx context.Context) {
		report, result = o.settings.servers.Renew(ctx, c)
	})
	o.post(conductor.RenewEnded{
		Server: c.Server.ID, Incarnation: c.Server.Incarnation, Sequence: c.Sequence, Fence: c.Fence,
		Acknowledged: c.Acknowledged, SentAt: sentAt, Result: result, Report: report,
	})
}

// write commits records and retries until the outcome is known. All attempts write the same token to the lane's key, so
// that a conflict shows whether an earlier attempt took effect.
func (o *owner) write(ctx context.Context, c conductor.Commit) {
	lane := laneKey(c.Lane)
	transaction := keeper.Transaction{Conditions: []keeper.Condition{
		o.ownership.Condition(), {Key: lane, Revision: o.laneRevisions[c.Lane]},
	}}
	token := strconv.FormatInt(o.ownership.Epoch, 10) + "/" + strconv.FormatInt(o.settings.clock.Now().UnixNano(), 10)
	transaction.Writes = append(transaction.Writes, keeper.Write{Key: lane, Value: []byte(token)})
	for _, change := range c.Changes {
		transaction.Writes = append(transaction.Writes, keeper.Write{Key: intaker.StateKey(change.Job), Value: change.Value})
		if change.Final {
			transaction.Deletes = append(transaction.Deletes, intaker.JobKey(change.Job))
		}
	}
	startedAt := time.Now()
	for attempt := 0; ctx.Err() == nil; attempt++ {
		revision, err := o.commitTimeout.Commit(ctx, o.settings.store, transaction, attempt)
		var conflict *keeper.ConflictError
		if errors.As(err, &conflict) {
			if conflict.EntryOf(o.ownership.Condition().Key).Revision != o.ownership.Epoch {
				o.elector.OwnershipLost(o.ownership.Epoch, "another instance owns the cell, or the owner's key is gone")
				return
			}
			entry := conflict.EntryOf(lane)
			if string(entry.Value) == token {
				revision, err = entry.Revision, nil
			} else {
				transaction.Conditions[1].Revision = entry.Revision
				o.settings.logger.Warn("lane key was changed by an earlier attempt; retrying the commit", "Lane", c.Lane,
					"Revision", entry.Revision)
				continue
			}
		}
		if keeper.IsErrInvalid(err) {
			o.settings.logger.Error("store does not accept the records of jobs", "Jobs", len(c.Changes), "Bytes", c.Size(),
				"Error", err.Error())
			o.post(conductor.CommitEnded{Lane: c.Lane, Invalid: true})
			return
		}
		if err == nil {
			o.laneRevisions[c.Lane] = revision
			o.settings.meter.Observe("Store.CommitMicroseconds", time.Since(startedAt))
			o.post(conductor.CommitEnded{Lane: c.Lane})
			return
		}
		o.settings.meter.Count("Store.CommitRetries", 1)
		timekeeper.Sleep(ctx, retryInterval)
	}
}

// deleteJobs deletes the cancellations and records of jobs that finished long ago.
func (o *owner) deleteJobs(ctx context.Context, c conductor.DeleteJobs) {
	transaction := keeper.Transaction{Conditions: []keeper.Condition{o.ownership.Condition()}}
	for _, id := range c.Jobs {
		transaction.Deletes = append(transaction.Deletes, intaker.CancelKey(id), intaker.StateKey(id))
	}
	_, err := o.settings.store.Commit(ctx, transaction)
	if err != nil {
		o.settings.logger.Warn("failed to delete the keys of old jobs; will retry", "Jobs", len(c.Jobs), "Error", err.Error())
	}
	o.post(conductor.JobsDeleted{Jobs: c.Jobs, Done: err == nil})
}
