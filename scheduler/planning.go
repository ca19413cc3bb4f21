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
	// plannerMargin is how much earlier than the store the holder considers its lease expired.
	plannerMargin = time.Second
	// plannerRenewal is the time between two renewals.
	plannerRenewal = plannerTTL / 3
	// planningTick is the time between two steps of the planner; each writes at most one shard.
	planningTick = 100 * time.Millisecond
)

// errPlannerFenced is returned when another instance has become the planning member.
var errPlannerFenced = errors.New("another instance plans")

// office is the right of the planning member.
type office struct {
	lease   keeper.LeaseID
	epoch   int64
	expires time.Time
	renewAt time.Time
}

func (o *office) valid(now time.Time) bool { return now.Before(o.expires) }

// runPlanning plans the cell's jobs while this instance holds the key Cell/Planner, and tries to get it otherwise.
func (s *Scheduler) runPlanning(ctx context.Context) error {
	for ctx.Err() == nil {
		held, err := s.takeOffice(ctx)
		if err == nil {
			s.Logger.Info("planning the cell's jobs", "Epoch", held.epoch)
			err = s.planWhile(ctx, held)
			s.leaveOffice(held)
		}
		if err != nil && !keeper.IsErrConflict(err) && ctx.Err() == nil {
			s.Logger.Warn("planning of jobs is interrupted", "Error", err.Error())
		}
		timekeeper.Sleep(ctx, retryInterval)
	}
	return nil
}

// takeOffice creates the key Cell/Planner under a new lease.
func (s *Scheduler) takeOffice(ctx context.Context) (*office, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	// The key is looked at first, because a lease for each attempt would cost a write a second in each instance.
	known, err := s.Store.Get(ctx, plannerKey)
	if err != nil {
		return nil, errors.Wrap(err, "read the planning member")
	}
	if known.Version > 0 {
		return nil, errors.Wrap(keeper.ErrConflict, "another instance plans")
	}
	now := time.Now()
	lease, err := s.Store.Grant(ctx, plannerTTL)
	if err != nil {
		return nil, errors.Wrap(err, "get a lease for planning")
	}
	record := PlannerRecord{Instance: s.Instance, WriteID: rand.Text()}
	body, err := json.Marshal(record)
	if err != nil {
		return nil, errors.Wrap(err, "encode the planning member")
	}
	written, err := s.Store.Put(ctx, keeper.PutOptions{Key: plannerKey, Value: body, Lease: lease})
	if err != nil {
		written, err = s.recogniseOffice(ctx, record, err)
	}
	if err != nil {
		return nil, err
	}
	return &office{
		lease: lease, epoch: written.Revision, expires: now.Add(plannerTTL - plannerMargin),
		renewAt: now.Add(plannerRenewal),
	}, nil
}

// recogniseOffice finds out whether a write without an answer took effect.
func (s *Scheduler) recogniseOffice(ctx context.Context, record PlannerRecord, cause error) (keeper.Entry, error) {
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

// leaveOffice lets another instance plan at once.
func (s *Scheduler) leaveOffice(held *office) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	_ = s.Store.Revoke(ctx, held.lease)
}

// keepOffice renews the lease when it is due.
func (s *Scheduler) keepOffice(ctx context.Context, held *office) error {
	now := time.Now()
	if !held.valid(now) {
		return errors.Wrap(errPlannerFenced, "lease for planning has expired")
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
	case keeper.IsErrLeaseLapsed(err):
		return errors.Wrap(err, "renew the lease for planning")
	}
	return nil
}
