package scheduler

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"egretring.example/egretring/keeper"
	"egretring.example/egretring/timekeeper"
)

const (
	// plannerTTL is the time to live of the planning member's store lease.
	plannerTTL = 9 * time.Second
	// plannerMargin is how much earlier than the store the holder considers its lease to have expired.
	plannerMargin = time.Second
	// plannerRenewal is the time between two renewals.
	plannerRenewal = plannerTTL / 3
	// planningTick is the time between two steps of a planning term; each writes at most one shard.
	planningTick = 100 * time.Millisecond
)

// errPlannerFenced is returned when another instance has become the planning member, or may have.
var errPlannerFenced = errors.New("another instance may be the planning member")

// plannerLease is the store lease under which this instance is the planning member.
type plannerLease struct {
	lease keeper.LeaseID
	// epoch is the store revision of the key Cell/Planner.
	epoch   int64
	expires time.Time
	renewAt time.Time
}

func (l *plannerLease) valid(now time.Time) bool { return now.Before(l.expires) }

// runPlanning plans the cell's jobs while this instance holds the key Cell/Planner, and tries to acquire it otherwise.
func (s *Scheduler) runPlanning(ctx context.Context) error {
	for ctx.Err() == nil {
		held, err := s.acquirePlannerLease(ctx)
		if err == nil {
			s.Logger.Info("became the cell's planning member", "Epoch", held.epoch)
			err = s.runPlanningTerm(ctx, held)
			s.releasePlannerLease(held)
		}
		if err != nil && !keeper.IsErrConflict(err) && ctx.Err() == nil {
			s.Logger.Warn("planning of the cell's jobs failed; retrying", "Error", err.Error())
		}
		timekeeper.Sleep(ctx, retryInterval)
	}
	return nil
}

// acquirePlannerLease creates the key Cell/Planner under a new store lease.
func (s *Scheduler) acquirePlannerLease(ctx context.Context) (*plannerLease, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	// The key is read first, because a lease for each attempt would cost a write a second in each instance.
	known, err := s.Store.Get(ctx, plannerKey)
	if err != nil {
		return nil, errors.Wrap(err, "read the planning member")
	}
	if known.Version > 0 {
		return nil, errors.Wrap(keeper.ErrConflict, "another instance is the planning member")
	}
	now := time.Now()
	lease, err := s.Store.Grant(ctx, plannerTTL)
	if err != nil {
		return nil, errors.Wrap(err, "get a store lease for the planning member")
	}
	record := PlannerRecord{Instance: s.Instance, WriteID: rand.Text()}
	body, err := json.Marshal(record)
	if err != nil {
		return nil, errors.Wrap(err, "encode the planning member's record")
	}
	written, err := s.Store.Put(ctx, keeper.PutOptions{Key: plannerKey, Value: body, Lease: lease})
	if err != nil {
		written, err = s.confirmPlannerLease(ctx, record, err)
	}
	if err != nil {
		return nil, err
	}
	return &plannerLease{
		lease: lease, epoch: written.Revision, expires: now.Add(plannerTTL - plannerMargin),
		renewAt: now.Add(plannerRenewal),
	}, nil
}

// confirmPlannerLease reads the key Cell/Planner after a failed write to find out whether that write took effect. The
// write ID identifies this instance's own write.
func (s *Scheduler) confirmPlannerLease(ctx context.Context, record PlannerRecord, cause error) (keeper.Entry, error) {
	found, err := s.Store.Get(ctx, plannerKey)
	if err != nil {
		return found, errors.Wrap(err, "read the planning member")
	}
	var holder PlannerRecord
	if found.Version == 0 || json.Unmarshal(found.Value, &holder) != nil || holder.WriteID != record.WriteID {
		return found, errors.Wrap(cause, "become the planning member")
	}
	return found, nil
}

// releasePlannerLease revokes the lease, so that another instance can become the planning member immediately.
func (s *Scheduler) releasePlannerLease(held *plannerLease) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	_ = s.Store.Revoke(ctx, held.lease)
}

// renewPlannerLease renews the lease when it is due. A failed renewal is retried at the next call until the lease has
// expired or the store no longer knows it.
func (s *Scheduler) renewPlannerLease(ctx context.Context, held *plannerLease) error {
	now := time.Now()
	if !held.valid(now) {
		return errors.Wrap(errPlannerFenced, "the planning member's store lease has expired")
	}
	if now.Before(held.renewAt) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	err := s.Store.Renew(ctx, held.lease)
	switch {
	case err == nil:
		held.expires, held.renewAt = now.Add(plannerTTL-plannerMargin), now.Add(plannerRenewal)
	case keeper.IsErrLeaseExpired(err):
		return errors.Wrap(err, "renew the planning member's store lease")
	}
	return nil
}
