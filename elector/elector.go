package elector

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"egretring.example/egretring/keeper"
	"egretring.example/egretring/timekeeper"
)

const (
	// timeToLive is the life of the owner's lease without renewal; it bounds how long a dead owner is missed.
	timeToLive = 1200 * time.Millisecond
	// renewInterval leaves time for two more renewals before the lease ends.
	renewInterval = 300 * time.Millisecond
	// retryInterval is the pause after a call without success.
	retryInterval = 150 * time.Millisecond
	// checkInterval is how often an owner reads its key, because a store may take keys away without ending the lease.
	checkInterval = time.Second
	// watchWait bounds a watch of the key, so that a silent watch is noticed.
	watchWait = 2 * time.Second
	// candidateJitter spreads the candidates after an owner is gone.
	candidateJitter = 40 * time.Millisecond
	// resignPause keeps an instance that resigned from becoming the owner again at once.
	resignPause = 4 * time.Second
	// holdingGrace is how long an owner that no longer reaches the store goes on renewing the leases of runs. A
	// successor waits for longer before it takes runs on unreachable servers as ended.
	holdingGrace = 6 * time.Second
)

// Duty is what an instance does while it is the owner. It ends when the context ends.
type Duty func(ctx context.Context, ownership Ownership)

// Elector runs the election of one instance.
type Elector struct {
	store  keeper.TransactionalStore
	self   Owner
	duty   Duty
	clock  timekeeper.Clock
	logger *slog.Logger

	mu       sync.Mutex
	current  Ownership
	resigned chan resignation
	// retired instances no longer stand.
	retired  atomic.Bool
	pauseEnd time.Time
}

// resignation ends one ownership.
type resignation struct {
	epoch  int64
	reason string
}

// New returns an elector.
func New(store keeper.TransactionalStore, self Owner, duty Duty, clock timekeeper.Clock, logger *slog.Logger) *Elector {
	return &Elector{store: store, self: self, duty: duty, clock: clock, logger: logger, resigned: make(chan resignation, 1)}
}

// Current returns the owner as far as this instance knows; its epoch is zero when there is none.
func (e *Elector) Current() Ownership {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.current
}

// Resign gives up the ownership of an epoch. Later ownerships of this instance are not touched.
func (e *Elector) Resign(epoch int64, reason string) {
	select {
	case e.resigned <- resignation{epoch: epoch, reason: reason}:
	default:
		// One resignation waits already.
	}
}

// Retire gives up the ownership, if this instance has it, and never stands again.
func (e *Elector) Retire() {
	e.retired.Store(true)
	e.Resign(e.Current().Epoch, "instance stops")
}

// Run takes part in elections until the context ends.
func (e *Elector) Run(ctx context.Context) {
	for ctx.Err() == nil {
		entry, err := e.store.Get(ctx, OwnerKey)
		if err != nil {
			pause(ctx, retryInterval)
			continue
		}
		ownership, err := ownershipOf(entry)
		if err != nil {
			e.logger.Error("owner's key cannot be read", "Error", err.Error())
			pause(ctx, renewInterval)
			continue
		}
		e.note(ownership)
		switch {
		case ownership.Epoch == 0 || ownership.Owner.Instance == e.self.Instance:
			e.stand(ctx, ownership)
		default:
			e.follow(ctx, entry)
		}
	}
}

// follow waits until the owner's key changes.
func (e *Elector) follow(ctx context.Context, entry keeper.Entry) {
	_, err := e.store.Watch(ctx, keeper.WatchOptions{
		Prefix: OwnerKey, AfterRevision: entry.Revision, Wait: watchWait,
	})
	if err != nil {
		pause(ctx, retryInterval)
	}
}

func (e *Elector) note(ownership Ownership) {
	e.mu.Lock()
	changed := ownership != e.current
	e.current = ownership
	e.mu.Unlock()
	if changed {
		e.logger.Info("owner changed", "Owner", ownership.Owner.Instance, "Epoch", ownership.Epoch)
	}
}

// stand tries to become the owner in place of none, or of an earlier process of the same instance.
func (e *Elector) stand(ctx context.Context, before Ownership) {
	if wait := e.pauseEnd.Sub(e.clock.Now()); wait > 0 || e.retired.Load() {
		pause(ctx, renewInterval)
		return
	}
	if before.Epoch == 0 {
		pause(ctx, time.Duration(rand.Int64N(int64(candidateJitter))))
	}
	askedAt := e.clock.Now()
	lease, err := e.store.Grant(ctx, keeper.LeaseOptions{TimeToLive: timeToLive})
	if err != nil {
		pause(ctx, retryInterval)
		return
	}
	value, err := json.Marshal(e.self)
	if err != nil {
		e.logger.Error("owner cannot be encoded", "Error", err.Error())
		return
	}
	epoch, err := e.store.Commit(ctx, keeper.Transaction{
		Conditions: []keeper.Condition{{Key: OwnerKey, Revision: before.Epoch}},
		Writes:     []keeper.Write{{Key: OwnerKey, Value: value, Lease: lease}},
	})
	if err != nil {
		// A write without an answer is found by the next read, as an owner with this instance's name.
		if !errors.Is(err, keeper.ErrConflict) {
			pause(ctx, retryInterval)
		}
		return
	}
	e.own(ctx, Ownership{Owner: e.self, Epoch: epoch}, lease, askedAt)
}

// own carries out the duty while the lease holds.
func (e *Elector) own(ctx context.Context, ownership Ownership, lease keeper.LeaseID, renewedAt time.Time) {
	e.note(ownership)
	if e.retired.Load() {
		e.Resign(ownership.Epoch, "instance stops")
	}
	dutyContext, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		e.duty(dutyContext, ownership)
	}()
	reason := e.keep(ctx, ownership, lease, renewedAt)
	cancel()
	<-done
	e.logger.Warn("ownership ended", "Epoch", ownership.Epoch, "Reason", reason)
	e.note(Ownership{})
	release, stop := context.WithTimeout(context.WithoutCancel(ctx), renewInterval)
	defer stop()
	if err := e.store.Revoke(release, lease); err != nil {
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
			e.pauseEnd = e.clock.Now().Add(resignPause)
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

func pause(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
