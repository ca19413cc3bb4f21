package elector

import (
	"context"
	"encoding/json"
	"fmt"
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
	// LongestDutyWithoutStore is how long an owner that no longer reaches the store may go on with its duty.
	LongestDutyWithoutStore = timeToLive + holdingGrace + renewInterval
)

// Duty is what an instance does while it is the owner. It ends when the context ends.
type Duty func(ctx context.Context, term Term)

// Elector runs the election of one instance.
type Elector struct {
	store  keeper.TransactionalStore
	self   Owner
	duty   Duty
	clock  timekeeper.Clock
	logger *slog.Logger
	delay  func(ctx context.Context) time.Duration

	mu      sync.Mutex
	current Ownership
	// onDuty is the epoch of the duty that is being carried out, or zero.
	onDuty int64
	// predecessors are the owners before this one that may still carry out their duty.
	predecessors []Owner
	resigned     chan resignation
	// retired instances no longer stand.
	retired  atomic.Bool
	pauseEnd time.Time
}

// resignation ends one ownership.
type resignation struct {
	epoch  int64
	reason string
	// pause says that the instance should not become the owner again at once.
	pause bool
}

// Option configures an Elector.
type Option func(*Elector)

// WithDelay sets a function that returns how long the instance leaves an election to others.
func WithDelay(delay func(ctx context.Context) time.Duration) Option {
	return func(e *Elector) { e.delay = delay }
}

// New returns an elector.
func New(
	store keeper.TransactionalStore, self Owner, duty Duty, clock timekeeper.Clock, logger *slog.Logger, options ...Option,
) *Elector {
	e := &Elector{store: store, self: self, duty: duty, clock: clock, logger: logger, resigned: make(chan resignation, 1)}
	for _, option := range options {
		option(e)
	}
	return e
}

// Current returns the owner as far as this instance knows; its epoch is zero when there is none.
func (e *Elector) Current() Ownership {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.current
}

// Resign gives up the ownership of an epoch, and leaves it to others for a time. Later ownerships of this instance are not
// touched.
func (e *Elector) Resign(epoch int64, reason string) {
	e.end(resignation{epoch: epoch, reason: reason, pause: true})
}

// Lose ends the ownership of an epoch that the store no longer shows. The instance stands again at once.
func (e *Elector) Lose(epoch int64, reason string) {
	e.end(resignation{epoch: epoch, reason: reason})
}

func (e *Elector) end(r resignation) {
	select {
	case e.resigned <- r:
	default:
		// One resignation waits already.
	}
}

// Stopped reports that a process of this instance carries out no duty of an earlier epoch, and gives such a duty up. A
// process other than this one has ended.
func (e *Elector) Stopped(incarnation, before int64) bool {
	if incarnation != e.self.Incarnation {
		return true
	}
	e.mu.Lock()
	epoch := e.onDuty
	e.mu.Unlock()
	if epoch == 0 || epoch >= before {
		return true
	}
	e.Resign(epoch, fmt.Sprintf("a later owner has epoch %d", before))
	return false
}

// OnDuty reports whether this instance is the owner, from its election on.
func (e *Elector) OnDuty() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.onDuty != 0
}

// PredecessorsStopped notes that all owners before an epoch are known to have stopped, so that a successor need not ask
// again.
func (e *Elector) PredecessorsStopped(ctx context.Context, ownership Ownership) {
	e.mu.Lock()
	current := e.onDuty == ownership.Epoch
	if current {
		e.predecessors = nil
	}
	e.mu.Unlock()
	if !current {
		return
	}
	transaction, err := termTransaction(ownership, termRecord{Owner: e.self})
	if err == nil {
		_, err = e.store.Commit(ctx, transaction)
	}
	if err != nil {
		e.logger.Info("a successor has to ask earlier owners again", "Epoch", ownership.Epoch, "Error", err.Error())
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
		// A listing tells the store's revision: a watch from the older revision of the key fails once that history is gone.
		page, err := e.store.List(ctx, OwnerKey)
		if err != nil {
			timekeeper.Sleep(ctx, retryInterval)
			continue
		}
		ownership, err := ownershipOf(page.Entry(OwnerKey))
		if err != nil {
			e.logger.Error("owner's key cannot be read", "Error", err.Error())
			timekeeper.Sleep(ctx, renewInterval)
			continue
		}
		e.note(ownership)
		switch {
		case ownership.Epoch == 0 || ownership.Owner.Instance == e.self.Instance:
			e.stand(ctx, ownership)
		default:
			e.follow(ctx, page.Revision)
		}
	}
}

// follow waits until the owner's key changes after a revision of the store.
func (e *Elector) follow(ctx context.Context, revision int64) {
	_, err := e.store.Watch(ctx, keeper.WatchOptions{
		Prefix: OwnerKey, AfterRevision: revision, Wait: watchWait,
	})
	if err != nil {
		timekeeper.Sleep(ctx, retryInterval)
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
		timekeeper.Sleep(ctx, renewInterval)
		return
	}
	if before.Epoch == 0 {
		timekeeper.Sleep(ctx, time.Duration(rand.Int64N(int64(candidateJitter))))
		if e.leaveToOthers(ctx) {
			return
		}
	}
	entry, err := e.store.Get(ctx, TermKey)
	if err != nil {
		timekeeper.Sleep(ctx, retryInterval)
		return
	}
	predecessors, err := predecessorsOf(entry)
	if err != nil {
		e.logger.Error("term cannot be read; its owner is taken as still at work", "Error", err.Error())
	}
	askedAt := e.clock.Now()
	lease, err := e.store.Grant(ctx, keeper.LeaseOptions{TimeToLive: timeToLive})
	if err != nil {
		timekeeper.Sleep(ctx, retryInterval)
		return
	}
	value, err := json.Marshal(e.self)
	if err != nil {
		e.logger.Error("owner cannot be encoded", "Error", err.Error())
		return
	}
	transaction, err := termTransaction(before, termRecord{Owner: e.self, Predecessors: predecessors})
	if err != nil {
		e.logger.Error("term cannot be encoded", "Error", err.Error())
		return
	}
	transaction.Conditions = append(transaction.Conditions, keeper.Condition{Key: TermKey, Revision: entry.Revision})
	transaction.Writes = append([]keeper.Write{{Key: OwnerKey, Value: value, Lease: lease}}, transaction.Writes...)
	epoch, err := e.store.Commit(ctx, transaction)
	if err != nil {
		// A write without an answer is found by the next read, as an owner with this instance's name.
		if !errors.Is(err, keeper.ErrConflict) {
			timekeeper.Sleep(ctx, retryInterval)
		}
		return
	}
	term := Term{Ownership: Ownership{Owner: e.self, Epoch: epoch}, Predecessors: predecessors}
	e.own(ctx, term, lease, askedAt)
}

// leaveToOthers waits for others that should own the cell before this instance, and reports whether one does.
func (e *Elector) leaveToOthers(ctx context.Context) bool {
	if e.delay == nil {
		return false
	}
	wait := e.delay(ctx)
	if wait == 0 {
		return false
	}
	timekeeper.Sleep(ctx, wait)
	// The instance may have become the owner of something else meanwhile.
	if longer := e.delay(ctx); longer > wait {
		timekeeper.Sleep(ctx, longer-wait)
	}
	entry, err := e.store.Get(ctx, OwnerKey)
	return err != nil || entry.Revision != 0
}
