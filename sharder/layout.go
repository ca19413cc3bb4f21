package sharder

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"egretring.example/egretring/keeper"
	"egretring.example/egretring/timekeeper"
)

const (
	// layoutKey is the key of the layout. It has no lease: the layout stays in force for as long as the store exists.
	layoutKey = rootPrefix + "layout"
	// layoutRetryInterval is the pause after a failed call, and between two counts of the backend servers.
	layoutRetryInterval = 250 * time.Millisecond
	// stableCountsNeeded is how many counts in a row must find the same number of servers before the layout is determined,
	// which takes two seconds: when a cell starts, servers register one after the other, and each writes to the store about
	// every 1.5 s.
	stableCountsNeeded = 8
	// maxCountTime is the longest time for which the servers are counted; a cell without servers gets one shard. Callers start
	// ten seconds after the instances.
	maxCountTime = 6 * time.Second
	// maxLayoutDelay is how long the smallest instance waits for larger ones, which will own the shards, to write the layout.
	// Instances start within 0.3 s of each other.
	maxLayoutDelay = time.Second
)

// layoutDelay returns how long an instance waits for larger ones to write the layout.
func layoutDelay(processors float64) time.Duration {
	if processors <= 0 {
		return 0
	}
	return time.Duration((1 - min(processors, 1)) * float64(maxLayoutDelay))
}

// layout is the value of layoutKey.
type layout struct {
	Shards int
	// Teams has the shards of the teams that were known when the layout was written; those of others follow from their names. A
	// cell with one shard, or without teams, has none.
	Teams []teamShard `json:",omitempty"`
}

// readLayout returns the stored layout; it has no shards when there is none yet.
func readLayout(ctx context.Context, store keeper.TransactionalStore) (layout, error) {
	entry, err := store.Get(ctx, layoutKey)
	if err != nil || entry.Revision == 0 {
		return layout{}, err
	}
	var known layout
	if err := json.Unmarshal(entry.Value, &known); err != nil {
		return layout{}, errors.Wrap(err, "decode layout")
	}
	if known.Shards < 1 || known.Shards > maxShards {
		return layout{}, errors.Errorf("layout has %d shards; 1 to %d are possible", known.Shards, maxShards)
	}
	for _, assigned := range known.Teams {
		if assigned.Shard < 0 || assigned.Shard >= known.Shards {
			return layout{}, errors.Errorf("layout assigns team %s to shard %d of %d", assigned.Team, assigned.Shard, known.Shards)
		}
	}
	return known, nil
}

// writeLayout stores the layout unless another instance has done so.
func writeLayout(ctx context.Context, store keeper.TransactionalStore, determined layout) error {
	value, err := json.Marshal(determined)
	if err != nil {
		return errors.Wrap(err, "encode layout")
	}
	_, err = store.Commit(ctx, keeper.Transaction{
		Conditions: []keeper.Condition{{Key: layoutKey}},
		Writes:     []keeper.Write{{Key: layoutKey, Value: value}},
	})
	return err
}

// serverCounter tracks the number of backend servers until it is stable.
type serverCounter struct {
	begunAt      time.Time
	servers      int
	stableCounts int
	// stableAt is when the number was first accepted as final.
	stableAt time.Time
}

// observe records a count of the servers, and reports whether it is final.
func (c *serverCounter) observe(now time.Time, servers int) bool {
	if servers == c.servers && servers > 0 {
		c.stableCounts++
	} else {
		c.servers, c.stableCounts = servers, 1
	}
	return c.stableCounts >= stableCountsNeeded || now.Sub(c.begunAt) >= maxCountTime
}

// awaitLayout returns the layout of the cell. It retries until the layout is in the store.
func (s *Sharder) awaitLayout(ctx context.Context) (layout, error) {
	counter := serverCounter{begunAt: time.Now()}
	for {
		known, err := s.tryLayout(ctx, &counter)
		if known.Shards > 0 {
			return known, nil
		}
		if err != nil && !keeper.IsErrConflict(err) {
			s.logger.Warn("failed to determine the shard layout; retrying", "Error", err.Error())
		}
		if !timekeeper.Sleep(ctx, layoutRetryInterval) {
			return layout{}, ctx.Err()
		}
	}
}

// tryLayout reads the layout. If there is none, it counts the servers, and writes the layout once their number is final.
func (s *Sharder) tryLayout(ctx context.Context, counter *serverCounter) (layout, error) {
	known, err := readLayout(ctx, s.store)
	if known.Shards > 0 || err != nil {
		return known, err
	}
	servers, err := s.directory.Servers(ctx)
	if err != nil {
		return layout{}, err
	}
	if !counter.observe(time.Now(), len(servers)) {
		return layout{}, nil
	}
	configuration := s.configurations.Proof().Configuration
	if s.keys.Required && configuration == nil && time.Since(counter.begunAt) < maxCountTime {
		return layout{}, nil
	}
	if counter.stableAt.IsZero() {
		counter.stableAt = time.Now()
	}
	if time.Since(counter.stableAt) < layoutDelay(s.processors) {
		return layout{}, nil
	}
	determined := layout{Shards: ShardsFor(len(servers), s.processors)}
	if configuration != nil && determined.Shards > 1 {
		determined.Teams = assignTeams(configuration.Teams.All(), determined.Shards)
	}
	// The next attempt reads the layout back, also after a write without a response.
	return layout{}, writeLayout(ctx, s.store, determined)
}
