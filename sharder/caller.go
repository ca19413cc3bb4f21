package sharder

import (
	"context"

	"egretring.example/egretring/coordinator"
	"egretring.example/egretring/specifier"
)

// Queue returns the queue of a host and path; see coordinator.Coordinator.Queue.
func (s *Sharder) Queue(host, path string) (specifier.Queue, error) {
	shards := s.coordinators()
	if len(shards) == 0 {
		return specifier.Queue{}, errLayoutUnknown()
	}
	return shards[0].Queue(host, path)
}

// MaxBodyBytes returns the configured limit of a request's body; zero means no limit.
func (s *Sharder) MaxBodyBytes() int64 {
	if shards := s.coordinators(); len(shards) > 0 {
		return shards[0].MaxBodyBytes()
	}
	return 0
}

// MaxHeaderBytes returns the configured limit of a request's header; zero means no limit.
func (s *Sharder) MaxHeaderBytes() int64 {
	if shards := s.coordinators(); len(shards) > 0 {
		return shards[0].MaxHeaderBytes()
	}
	return 0
}

// Submit accepts a job; see coordinator.Coordinator.Submit.
func (s *Sharder) Submit(ctx context.Context, job specifier.Job) error {
	shards := s.coordinators()
	if len(shards) == 0 {
		return errLayoutUnknown()
	}
	return shards[s.layout.shardOf(job.Team, job.ID)].Submit(ctx, job)
}

// Cancel cancels a job. It reports whether the caller has such a job.
func (s *Sharder) Cancel(ctx context.Context, caller specifier.Caller, id specifier.JobID) (bool, error) {
	return s.find(caller, id, func(shard *coordinator.Coordinator) (bool, error) { return shard.Cancel(ctx, caller, id) })
}

// find calls a function for the shards in which a caller's job may be, until one knows the job. An error counts only if no other
// shard knows it.
func (s *Sharder) find(
	caller specifier.Caller, id specifier.JobID, try func(shard *coordinator.Coordinator) (bool, error),
) (bool, error) {
	shards := s.coordinators()
	if len(shards) == 0 {
		return false, errLayoutUnknown()
	}
	var firstErr error
	for _, index := range s.layout.shardsFor(caller, id) {
		known, err := try(shards[index])
		if err == nil && known {
			return true, nil
		}
		if firstErr == nil {
			firstErr = err
		}
	}
	return false, firstErr
}

// State returns the state of a job and reports whether the caller has such a job.
func (s *Sharder) State(ctx context.Context, caller specifier.Caller, id specifier.JobID) (specifier.JobState, bool, error) {
	state := specifier.Queued
	known, err := s.find(caller, id, func(shard *coordinator.Coordinator) (known bool, err error) {
		state, known, err = shard.State(ctx, caller, id)
		return known, err
	})
	return state, known, err
}

// Waiting returns the number of accepted jobs of a queue of which no task has started, in all shards.
func (s *Sharder) Waiting(ctx context.Context, queue specifier.Queue) (int, error) {
	shards := s.coordinators()
	if len(shards) == 0 {
		return 0, errLayoutUnknown()
	}
	total := 0
	for _, shard := range shards {
		waiting, err := shard.Waiting(ctx, queue)
		if err != nil {
			return 0, err
		}
		total += waiting
	}
	return total, nil
}
