package elector

import (
	"context"
	"time"

	"egretring.example/egretring/keeper"
)

// own carries out the duty while the lease holds.
func (e *Elector) own(ctx context.Context, term Term, lease keeper.LeaseID, renewedAt time.Time) {
	e.note(term.Ownership)
	if e.retired.Load() {
		e.Resign(term.Epoch, "instance stops")
	}
	e.setDuty(term.Epoch, term.Predecessors)
	dutyContext, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		e.duty(dutyContext, term)
	}()
	reason := e.keep(ctx, term.Ownership, lease, renewedAt)
	cancel()
	<-done
	predecessors := e.setDuty(0, nil)
	e.logger.Warn("ownership ended", "Epoch", term.Epoch, "Reason", reason)
	e.note(Ownership{})
	e.release(context.WithoutCancel(ctx), term.Ownership, lease, predecessors)
}

// setDuty notes the epoch on duty, and returns the predecessors of the former one that were not found to have stopped.
func (e *Elector) setDuty(epoch int64, predecessors []Owner) []Owner {
	e.mu.Lock()
	defer e.mu.Unlock()
	former := e.predecessors
	e.onDuty, e.predecessors = epoch, predecessors
	return former
}

// release ends the term in the store, so that a successor knows that this owner has stopped.
func (e *Elector) release(ctx context.Context, ownership Ownership, lease keeper.LeaseID, predecessors []Owner) {
	ctx, cancel := context.WithTimeout(ctx, renewInterval)
	defer cancel()
	transaction, err := termTransaction(ownership, termRecord{Owner: e.self, Ended: true, Predecessors: predecessors})
	if err == nil {
		transaction.Deletes = []string{OwnerKey}
		_, err = e.store.Commit(ctx, transaction)
	}
	if err != nil {
		e.logger.Warn("end of the term was not stored", "Epoch", ownership.Epoch, "Error", err.Error())
	}
	if err := e.store.Revoke(ctx, lease); err != nil {
		e.logger.Warn("owner's lease was not given back and lapses by itself", "Error", err.Error())
	}
}

// keep renews the lease until the ownership ends, and returns why it ended.
func (e *Elector) keep(ctx context.Context, ownership Ownership, lease keeper.LeaseID, renewedAt time.Time) string {
	checkedAt := renewedAt
	for {
		select {
		case <-ctx.Done():
			return "instance stops"
		case r := <-e.resigned:
			if r.epoch != ownership.Epoch {
				continue
			}
			if r.pause {
				e.pauseEnd = e.clock.Now().Add(resignPause)
			}
			return r.reason
		case <-time.After(renewInterval):
		}
		askedAt := e.clock.Now()
		err := e.store.Renew(ctx, lease)
		switch {
		case err == nil:
			renewedAt = askedAt
		case keeper.IsErrLeaseLapsed(err):
			return "lease lapsed"
		}
		now := e.clock.Now()
		if now.Sub(renewedAt) > timeToLive+holdingGrace {
			return "store is out of reach"
		}
		if err == nil && now.Sub(checkedAt) >= checkInterval {
			entry, err := e.store.Get(ctx, OwnerKey)
			if err == nil && entry.Revision != ownership.Epoch {
				return "key was taken away"
			}
			checkedAt = now
		}
	}
}
