package coordinator

import (
	"bytes"
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"egretring.example/egretring/keeper"
	"egretring.example/egretring/rater"
	"egretring.example/egretring/timekeeper"
)

// decidedRefusals are the refusals of the state machine's last decision.
type decidedRefusals struct {
	refusals []rater.Refusal
	at       time.Time
}

// decided passes a decision to stateRefusals, in place of an earlier one that is still waiting. Only the owner's goroutine calls it.
func (o *owner) decided(refusals []rater.Refusal) {
	select {
	case <-o.refusals:
	default:
	}
	refusals = slices.DeleteFunc(slices.Clone(refusals), func(r rater.Refusal) bool { return len(r.Team) > maxRefusedTeam })
	o.refusals <- decidedRefusals{refusals: refusals, at: o.settings.clock.Now()}
}

// stateRefusals writes statements about the refusals of teams to the store. Only when a write is confirmed, instances learn the statement. A
// configuration without teams causes no calls to the store.
func (o *owner) stateRefusals(ctx context.Context) {
	var latest *decidedRefusals
	if configuration := o.configuration.Load(); configuration == nil || configuration.Teams.Len() == 0 {
		select {
		case decided := <-o.refusals:
			latest = &decided
		case <-ctx.Done():
			return
		}
	}
	register := o.readStatements(ctx)
	for ctx.Err() == nil {
		if latest != nil {
			register.Want(latest.at, latest.refusals)
			latest = nil
		}
		write, replaced, wait := register.Next(o.settings.clock.Now())
		if write != nil {
			o.writeStatement(ctx, register, *write, replaced)
			continue
		}
		var due <-chan time.Time
		if wait > 0 {
			due = time.After(wait)
		}
		select {
		case decided := <-o.refusals:
			latest = &decided
		case <-due:
		case <-ctx.Done():
		}
	}
}

// readStatements returns a register with the statements of earlier owners. Since the election, these cannot write any more.
func (o *owner) readStatements(ctx context.Context) *rater.Register {
	for ctx.Err() == nil {
		page, err := o.settings.store.List(ctx, refusalPrefix)
		if err != nil {
			timekeeper.Sleep(ctx, rater.MinStatementTime)
			continue
		}
		var stored []rater.Stated
		for _, entry := range page.Entries {
			stored = append(stored, o.observeStatement(strings.TrimPrefix(entry.Key, refusalPrefix), entry))
		}
		return rater.NewRegister(o.settings.clock.Now(), stored)
	}
	return rater.NewRegister(o.settings.clock.Now(), nil)
}

// writeStatement makes one attempt at the write of a statement. After an attempt without a response the register repeats it: a conflict then
// shows whether the earlier one took effect.
func (o *owner) writeStatement(ctx context.Context, register *rater.Register, statement rater.Statement, replaced rater.Stated) {
	value, err := json.Marshal(statement)
	if err != nil {
		o.settings.logger.Error("failed to encode refusals", "Team", replaced.Team, "Error", err.Error())
		return
	}
	key := refusalKey(replaced.Team)
	sentAt := o.settings.clock.Now()
	o.settings.meter.Count("Refusals.Writes", 1)
	revision, err := o.commitTimeout.Commit(ctx, o.settings.store, keeper.Transaction{
		Conditions: []keeper.Condition{o.ownership.Condition(), {Key: key, Revision: replaced.Revision}},
		Writes:     []keeper.Write{{Key: key, Value: value}},
	}, 0)
	var conflict *keeper.ConflictError
	if errors.As(err, &conflict) {
		if conflict.EntryOf(o.ownership.Condition().Key).Revision != o.ownership.Epoch {
			o.elector.OwnershipLost(o.ownership.Epoch, "another instance owns the cell, or the owner's key is gone")
			return
		}
		entry := conflict.EntryOf(key)
		if !bytes.Equal(entry.Value, value) {
			// An instance has ended the refusals.
			register.Conflict(o.settings.clock.Now(), o.observeStatement(replaced.Team, entry))
			return
		}
		revision, err = entry.Revision, nil
	}
	if err != nil {
		o.settings.logger.Info("refusals could not be written; will retry", "Team", replaced.Team, "Error", err.Error())
		return
	}
	stated := register.Confirm(o.settings.clock.Now(), replaced.Team, revision)
	o.statements.learn(sentAt, []rater.Stated{stated})
	if (len(statement.Refusals) == 0) != (len(replaced.Refusals) == 0) {
		o.settings.logger.Info("refusals stated", "Team", replaced.Team, "Revision", revision, "Lines", len(statement.Refusals),
			"Took", o.settings.clock.Now().Sub(sentAt).String())
	}
}
