package elector

import (
	"context"
	"time"

	"egretring.example/egretring/keeper"
)

// runTerm runs the owner's function until the ownership ends, and ends the term in the store.
func (e *Elector) runTerm(ctx context.Context, term Term, lease keeper.LeaseID, renewedAt time.Time) {
	e.setCurrent(term.Ownership)
	if e.retired.Load() {
		e.Resign(term.Epoch, "instance stops")
	}
	e.setOwned(term)
	ownerContext, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		e.runOwner(ownerContext, term)
	}()
	reason := e.renewUntilEnd(ctx, term.Ownership, lease, renewedAt)
	cancel()
	<-done
	left := e.takeOwned()
	e.logger.Warn("ownership ended", "Epoch", term.Epoch, "Reason", reason)
	e.setCurrent(Ownership{})
	left.Owner, left.Ended = e.self, true
	e.endTerm(context.WithoutCancel(ctx), term.Ownership, lease, left)
}

// setOwned records the owned term.
func (e *Elector) setOwned(term Term) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ownedEpoch, e.predecessors, e.losses, e.refused = term.Epoch, term.Predecessors, term.Losses, 0
}

// takeOwned ends the recorded ownership. It returns what its end records.
func (e *Elector) takeOwned() termRecord {
	e.mu.Lock()
	defer e.mu.Unlock()
	left := termRecord{Predecessors: e.predecessors, Losses: e.losses, Refused: e.refused}
	e.ownedEpoch, e.predecessors, e.losses, e.refused = 0, nil, nil, 0
	return left
}

// NoteLoss adds a loss to those of an epoch that this instance owns: its owner has left connections open although it ends in
// good order.
func (e *Elector) NoteLoss(epoch int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ownedEpoch == epoch {
		e.losses = withLoss(e.losses, e.clock.Now())
	}
}

// NoteRefused states how many owners in a row, up to that of an epoch, end because servers refuse their connections.
func (e *Elector) NoteRefused(epoch int64, inARow int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ownedEpoch == epoch {
		e.refused = inARow
	}
}

// endTerm records the end of the term in the store, so that a successor knows that this owner has stopped, deletes the
// owner key and revokes the lease.
func (e *Elector) endTerm(ctx context.Context, ownership Ownership, lease keeper.LeaseID, record termRecord) {
	ctx, cancel := context.WithTimeout(ctx, renewInterval)
	defer cancel()
	transaction, err := termTransaction(ownership, record)
	if err == nil {
		transaction.Deletes = []string{OwnerKey}
		_, err = e.store.Commit(ctx, transaction)
	}
	if err != nil {
		e.logger.Warn("failed to store the end of the term", "Epoch", ownership.Epoch, "Error", err.Error())
	}
	if err := e.store.Revoke(ctx, lease); err != nil {
		e.logger.Warn("failed to revoke the owner's lease; it will expire", "Error", err.Error())
	}
}

// renewUntilEnd renews the lease until the ownership ends, and returns why it ended.
func (e *Elector) renewUntilEnd(ctx context.Context, ownership Ownership, lease keeper.LeaseID, renewedAt time.Time) string {
	checkedAt := renewedAt
	for {
		select {
		case <-ctx.Done():
			return "instance stops"
		case r := <-e.resignations:
			if r.epoch != ownership.Epoch {
				continue
			}
			if r.cooldown {
				e.cooldownEnd = e.clock.Now().Add(resignCooldown)
			}
			return r.reason
		case <-time.After(renewInterval):
		}
		requestedAt := e.clock.Now()
		err := e.store.Renew(ctx, lease)
		switch {
		case err == nil:
			renewedAt = requestedAt
		case keeper.IsErrLeaseExpired(err):
			return "lease lapsed"
		}
		now := e.clock.Now()
		if now.Sub(renewedAt) > leaseTTL+renewalGrace {
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
