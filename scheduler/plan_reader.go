package scheduler

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/keeper"
	"egretring.example/egretring/timekeeper"
	"egretring.example/egretring/watchdog"
)

const (
	// storeTimeout is the longest time without progress of a store call.
	storeTimeout = time.Second
	// planWatchTimeout bounds the time in which a watch of the plan, which is a long poll of the store, gets no data.
	planWatchTimeout = 30 * time.Second
	// retryInterval is the time between two attempts at a store call.
	retryInterval = time.Second
)

// planShardView is one shard of the plan as it was read. It is immutable: a newer one replaces it as a whole.
type planShardView struct {
	revision int64
	jobs     map[describer.JobID]PlannedJob
}

// planView is the whole plan; a shard that is not in the store is nil.
type planView [planShards]*planShardView

func (v *planView) job(id describer.JobID) (PlannedJob, bool) {
	shardView := v[planShardOf(id)]
	if shardView == nil {
		return PlannedJob{}, false
	}
	job, ok := shardView.jobs[id]
	return job, ok
}

// runPlanReader keeps the plan up to date. During an outage of the store the last plan that was read stays in use.
func (s *Scheduler) runPlanReader(ctx context.Context) error {
	for ctx.Err() == nil {
		revision, err := s.readPlan(ctx)
		for err == nil && ctx.Err() == nil {
			revision, err = s.followPlan(ctx, revision)
		}
		timekeeper.Sleep(ctx, retryInterval)
	}
	return nil
}

// followPlan applies the plan changes after a revision and returns the revision from which to watch next.
func (s *Scheduler) followPlan(ctx context.Context, revision int64) (int64, error) {
	watch, progress := watchdog.Watch(ctx, 0, planWatchTimeout)
	defer progress.Stop()
	changes, err := s.Store.Watch(watch, planPrefix, revision)
	if watch.Err() != nil {
		return revision, nil
	}
	if err != nil {
		return 0, errors.Wrap(err, "watch the plan")
	}
	for _, change := range changes.Changes {
		if err := s.setPlan(change.Entry); err != nil {
			return 0, err
		}
	}
	return changes.Revision, nil
}

// readPlan reads the whole plan and returns the revision at which it was read. Shards are never deleted.
func (s *Scheduler) readPlan(ctx context.Context) (int64, error) {
	ctx, progress := watchdog.Watch(ctx, 0, storeTimeout)
	defer progress.Stop()
	page, err := s.Store.List(ctx, planPrefix)
	if err != nil {
		return 0, errors.Wrap(err, "read the plan")
	}
	for _, entry := range page.Entries {
		if err := s.setPlan(entry); err != nil {
			return 0, err
		}
	}
	return page.Revision, nil
}

// setPlan stores a shard unless a newer revision of it is known. The plan reader and a new placing term read the plan
// independently, so an older value may arrive later.
func (s *Scheduler) setPlan(entry keeper.Entry) error {
	number, shard, err := decodeShard(entry)
	if err != nil {
		return err
	}
	shardView := &planShardView{revision: entry.Revision, jobs: make(map[describer.JobID]PlannedJob, len(shard.Jobs))}
	for _, job := range shard.Jobs {
		shardView.jobs[job.Job.ID] = job
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if known := s.plan[number]; known == nil || known.revision < shardView.revision {
		s.plan[number] = shardView
		s.planVersion++
	}
	return nil
}

func decodeShard(entry keeper.Entry) (int, PlanShard, error) {
	var shard PlanShard
	number, err := strconv.Atoi(strings.TrimPrefix(entry.Key, planPrefix))
	if err != nil || number < 0 || number >= planShards {
		return 0, shard, errors.Errorf("key %q is not a plan shard", entry.Key)
	}
	return number, shard, errors.Wrapf(json.Unmarshal(entry.Value, &shard), "decode key %q", entry.Key)
}

// currentPlan returns the plan and its version, which grows with each change.
func (s *Scheduler) currentPlan() (plan planView, version int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.plan, s.planVersion
}
