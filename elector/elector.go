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
	// leaseTTL is the time to live of the owner's lease; it bounds how long a failed owner goes undetected.
	leaseTTL = 1200 * time.Millisecond
	// renewInterval is the time between two renewals of the lease; after a failed one, there is time for two more
	// before the lease expires.
	renewInterval = 300 * time.Millisecond
	// retryInterval is the pause after a failed call.
	retryInterval = 150 * time.Millisecond
	// checkInterval is how often an owner reads its key, because a store may delete keys without ending their lease.
	checkInterval = time.Second
	// defaultWatchTime bounds a watch of the key; the key is read after each watch, so that a change that a watch misses is
	// found.
	defaultWatchTime = 2 * time.Second
	// candidateJitter is the maximum random delay of a candidate after the owner key is deleted, so that candidates do
	// not all write at the same time.
	candidateJitter = 40 * time.Millisecond
	// resignCooldown is how long an instance that has resigned takes part in no election.
	resignCooldown = 4 * time.Second
	// renewalGrace is how long, after its own lease expired, an owner that cannot reach the store continues to renew
	// the leases of runs. A successor waits for longer before it treats runs on unreachable servers as ended.
	renewalGrace = 6 * time.Second
	// MaxOwnershipWithoutStore is the maximum time for which an owner that cannot reach the store still acts as the
	// owner.
	MaxOwnershipWithoutStore = leaseTTL + renewalGrace + renewInterval
)

// OwnerFunc is the function that an instance runs while it is the owner. It returns when the context ends.
type OwnerFunc func(ctx context.Context, term Term)

// Elector runs the election of one instance.
type Elector struct {
	store    keeper.TransactionalStore
	self     Owner
	runOwner OwnerFunc
	clock    timekeeper.Clock
	logger   *slog.Logger
	delay    func(ctx context.Context) time.Duration
	// watchTime returns how long to wait for a change of the owner before it is read again.
	watchTime func() time.Duration
	// standby returns how long to wait for others to become the owner before this instance takes part in an election.
	standby func() time.Duration
	// spread returns the time over which all instances spread their calls after the store refused one.
	spread func() time.Duration

	mu      sync.Mutex
	current Ownership
	// ownedEpoch is the epoch for which this instance acts as the owner, or zero.
	ownedEpoch int64
	// predecessors are earlier owners that may still act as the owner.
	predecessors []Owner
	// losses are those of the owned term.
	losses []time.Time
	// refused is what the end of the owned term records of refusals.
	refused int
	// requestMu serializes the senders to resignations.
	requestMu    sync.Mutex
	resignations chan resignation
	// retired instances take part in no more elections.
	retired     atomic.Bool
	cooldownEnd time.Time
}

// resignation ends one ownership.
type resignation struct {
	epoch  int64
	reason string
	// cooldown keeps the instance out of elections for resignCooldown.
	cooldown bool
}

// combine returns the resignation for the later epoch. For the same epoch, the first reason stays.
func (r resignation) combine(next resignation) resignation {
	switch {
	case next.epoch > r.epoch:
		return next
	case next.epoch == r.epoch:
		r.cooldown = r.cooldown || next.cooldown
	}
	return r
}

// Option configures an Elector.
type Option func(*Elector)

// WithDelay sets a function that returns how long the instance waits in an election for others to win it.
func WithDelay(delay func(ctx context.Context) time.Duration) Option {
	return func(e *Elector) { e.delay = delay }
}

// WithWatchTime sets a function that returns how long the instance waits for a change of the owner before it reads the owner
// again, because a watch may miss a change.
func WithWatchTime(watchTime func() time.Duration) Option {
	return func(e *Elector) { e.watchTime = watchTime }
}

// WithStandby sets a function that returns how long the instance waits for others to become the owner before it takes part in an
// election, and makes no call to the store meanwhile but a watch.
func WithStandby(standby func() time.Duration) Option {
	return func(e *Elector) { e.standby = standby }
}

// WithSpread sets a function that returns the time over which all instances spread their calls after the store has refused one
// because of its rate limit. Otherwise the calls of many instances leave no room for those of the owner.
func WithSpread(spread func() time.Duration) Option {
	return func(e *Elector) { e.spread = spread }
}

// New returns an elector.
func New(
	store keeper.TransactionalStore, self Owner, runOwner OwnerFunc, clock timekeeper.Clock, logger *slog.Logger,
	options ...Option,
) *Elector {
	e := &Elector{
		store: store, self: self, runOwner: runOwner, clock: clock, logger: logger,
		resignations: make(chan resignation, 1), watchTime: func() time.Duration { return defaultWatchTime },
		standby: func() time.Duration { return 0 }, spread: func() time.Duration { return 0 },
	}
	for _, option := range options {
		option(e)
	}
	return e
}

// Current returns the last known ownership; its epoch is zero when no owner is known.
func (e *Elector) Current() Ownership {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.current
}

// Resign gives up the ownership of an epoch, and keeps this instance out of elections for a time. It does not affect
// later ownerships of this instance.
func (e *Elector) Resign(epoch int64, reason string) {
	e.requestEnd(resignation{epoch: epoch, reason: reason, cooldown: true})
}

// OwnershipLost ends the ownership of an epoch after the owner key was found deleted or with another revision. The
// instance may take part in the next election immediately.
func (e *Elector) OwnershipLost(epoch int64, reason string) {
	e.requestEnd(resignation{epoch: epoch, reason: reason})
}

// requestEnd passes on a resignation. Of several pending ones, the one for the latest epoch counts.
func (e *Elector) requestEnd(r resignation) {
	e.requestMu.Lock()
	defer e.requestMu.Unlock()
	select {
	case pending := <-e.resignations:
		r = pending.combine(r)
	default:
	}
	// This does not block: the channel holds one resignation, and only this function sends.
	e.resignations <- r
}

// ResignBefore reports whether a process of this instance, named by its incarnation, has stopped acting as the owner of
// an epoch earlier than a given one. If this process has not, it resigns. Any other process of this instance has ended.
func (e *Elector) ResignBefore(incarnation, before int64) bool {
	if incarnation != e.self.Incarnation {
		return true
	}
	e.mu.Lock()
	epoch := e.ownedEpoch
	e.mu.Unlock()
	if epoch == 0 || epoch >= before {
		return true
	}
	e.Resign(epoch, fmt.Sprintf("a later owner has epoch %d", before))
	return false
}

// IsOwner reports whether this instance acts as the owner. It does so from its election until its OwnerFunc has
// returned.
func (e *Elector) IsOwner() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ownedEpoch != 0
}

// PredecessorsStopped records that all owners before an ownership are known to have stopped, so that a successor need
// not query them again.
func (e *Elector) PredecessorsStopped(ctx context.Context, ownership Ownership) {
	e.mu.Lock()
	current := e.ownedEpoch == ownership.Epoch
	if current {
		e.predecessors = nil
	}
	losses := e.losses
	e.mu.Unlock()
	if !current {
		return
	}
	transaction, err := termTransaction(ownership, termRecord{Owner: e.self, Losses: losses})
	if err == nil {
		_, err = e.store.Commit(ctx, transaction)
	}
	if err != nil {
		e.logger.Info("failed to store that earlier owners have stopped; a successor will query them again",
			"Epoch", ownership.Epoch, "Error", err.Error())
	}
}

// Retire gives up the ownership, if this instance has it, and keeps this instance out of all later elections.
func (e *Elector) Retire() {
	e.retired.Store(true)
	e.Resign(e.Current().Epoch, "instance stops")
}

// Run takes part in elections until the context ends.
func (e *Elector) Run(ctx context.Context) {
	if spread := e.spread(); spread > 0 && e.standby() > 0 {
		// All instances of a cell may start at the same time.
		timekeeper.Sleep(ctx, rand.N(spread))
	}
	for ctx.Err() == nil {
		// A listing returns the store's revision. A watch after the older revision of the key would fail once the store
		// has compacted that part of its history.
		page, err := e.store.List(ctx, OwnerKey)
		if err != nil {
			e.pause(ctx, err)
			continue
		}
		ownership, err := ownershipOf(page.Entry(OwnerKey))
		if err != nil {
			e.logger.Error("failed to decode the owner key", "Error", err.Error())
			timekeeper.Sleep(ctx, renewInterval)
			continue
		}
		e.follow(ctx, ownership, page.Revision)
	}
}

// follow follows the ownership that was read at a revision of the store, and takes part in elections. It returns when the owner
// key has to be read again: after an election, and when a watch reports no change, because it may miss one.
func (e *Elector) follow(ctx context.Context, ownership Ownership, revision int64) {
	for ctx.Err() == nil {
		e.setCurrent(ownership)
		wait := e.watchTime()
		if ownership.Epoch == 0 {
			wait = e.standby()
		}
		if ownership.Owner.Instance == e.self.Instance || wait == 0 {
			e.campaign(ctx, ownership)
			return
		}
		changes, err := e.store.Watch(ctx, keeper.WatchOptions{Prefix: OwnerKey, AfterRevision: revision, Wait: wait})
		if err != nil {
			e.pause(ctx, err)
			return
		}
		changed, found, err := lastChange(changes)
		switch {
		case err != nil:
			return
		case changed:
			ownership, revision = found, changes.Revision
		case ownership.Epoch == 0:
			e.campaign(ctx, ownership)
			return
		default:
			return
		}
	}
}

// lastChange returns the ownership after some changes, and whether they contain one of the owner key.
func lastChange(changes keeper.Changes) (changed bool, found Ownership, err error) {
	for _, change := range changes.Changes {
		if change.Entry.Key != OwnerKey {
			continue
		}
		changed, found, err = true, Ownership{}, nil
		if !change.Deleted {
			found, err = ownershipOf(change.Entry)
		}
	}
	return changed, found, err
}

// pause waits after a failed call. A store that refuses calls because of its rate limit has to get fewer of them.
func (e *Elector) pause(ctx context.Context, err error) {
	wait := retryInterval
	if spread := e.spread(); errors.Is(err, keeper.ErrRateLimited) && spread > retryInterval {
		wait += rand.N(spread)
	}
	timekeeper.Sleep(ctx, wait)
}

func (e *Elector) setCurrent(ownership Ownership) {
	e.mu.Lock()
	changed := ownership != e.current
	e.current = ownership
	e.mu.Unlock()
	if changed {
		e.logger.Info("owner changed", "Owner", ownership.Owner.Instance, "Epoch", ownership.Epoch)
	}
}

// campaign tries to become the owner when there is none, or in place of an earlier process of the same instance.
func (e *Elector) campaign(ctx context.Context, before Ownership) {
	if wait := e.cooldownEnd.Sub(e.clock.Now()); wait > 0 || e.retired.Load() {
		timekeeper.Sleep(ctx, renewInterval)
		return
	}
	if before.Epoch == 0 {
		timekeeper.Sleep(ctx, time.Duration(rand.Int64N(int64(candidateJitter))))
		if e.deferToOthers(ctx) {
			return
		}
	}
	entry, err := e.store.Get(ctx, TermKey)
	if err != nil {
		e.pause(ctx, err)
		return
	}
	requestedAt := e.clock.Now()
	term, err := termAfter(entry, requestedAt)
	if err != nil {
		e.logger.Error("failed to decode the term; assuming that its owner is still active", "Error", err.Error())
	}
	lease, err := e.store.Grant(ctx, keeper.LeaseOptions{TimeToLive: leaseTTL})
	if err != nil {
		e.pause(ctx, err)
		return
	}
	value, err := json.Marshal(e.self)
	if err != nil {
		e.logger.Error("failed to encode the owner", "Error", err.Error())
		return
	}
	transaction, err := termTransaction(before, termRecord{Owner: e.self, Predecessors: term.Predecessors, Losses: term.Losses})
	if err != nil {
		e.logger.Error("failed to encode the term", "Error", err.Error())
		return
	}
	transaction.Conditions = append(transaction.Conditions, keeper.Condition{Key: TermKey, Revision: entry.Revision})
	transaction.Writes = append([]keeper.Write{{Key: OwnerKey, Value: value, Lease: lease}}, transaction.Writes...)
	epoch, err := e.store.Commit(ctx, transaction)
	if err != nil {
		// If a write without a response took effect, the next read finds an owner with this instance's name.
		if !errors.Is(err, keeper.ErrConflict) {
			e.pause(ctx, err)
		}
		return
	}
	term.Ownership = Ownership{Owner: e.self, Epoch: epoch}
	e.runTerm(ctx, term, lease, requestedAt)
}

// deferToOthers waits so that instances that should own the cell before this one can win the election. It reports
// whether this instance should not campaign now, because there is an owner or the owner key cannot be read.
func (e *Elector) deferToOthers(ctx context.Context) bool {
	if e.delay == nil {
		return false
	}
	wait := e.delay(ctx)
	if wait == 0 {
		return false
	}
	timekeeper.Sleep(ctx, wait)
	// The delay grows when the instance has become the owner of something else, such as another shard, in the meantime.
	if longer := e.delay(ctx); longer > wait {
		timekeeper.Sleep(ctx, longer-wait)
	}
	entry, err := e.store.Get(ctx, OwnerKey)
	return err != nil || entry.Revision != 0
}
