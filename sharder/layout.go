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
	// layoutKey is the key of the layout. It has no lease: the layout holds for as long as the store.
	layoutKey = rootPrefix + "layout"
	// layoutRetry is the pause after a call without success, and between two counts of the backend servers.
	layoutRetry = 250 * time.Millisecond
	// equalCounts is how often the same number of servers must be counted before the layout is settled, two seconds: when a
	// cell starts, servers register one after the other, and each writes to the store about every 1.5 s.
	equalCounts = 8
	// longestCount is how long the servers are counted at most; a cell without servers gets one shard. Callers come ten seconds
	// after the instances.
	longestCount = 6 * time.Second
	// longestSettling is how long the smallest instance leaves the layout to larger ones, which will own the shards. Instances
	// start within 0.3 s of each other.
	longestSettling = time.Second
)

// settlingDelay returns how long an instance leaves the layout to larger ones.
func settlingDelay(processors float64) time.Duration {
	if processors <= 0 {
		return 0
	}
	return time.Duration((1 - min(processors, 1)) * float64(longestSettling))
}

// layout is the value of the layout's key.
type layout struct {
	Shards int
}

// readLayout returns the settled number of shards, or zero when there is none.
func readLayout(ctx context.Context, store keeper.TransactionalStore) (int, error) {
	entry, err := store.Get(ctx, layoutKey)
	if err != nil || entry.Revision == 0 {
		return 0, err
	}
	var known layout
	if err := json.Unmarshal(entry.Value, &known); err != nil {
		return 0, errors.Wrap(err, "decode layout")
	}
	if known.Shards < 1 || known.Shards > mostShards {
		return 0, errors.Errorf("layout has %d shards; 1 to %d are possible", known.Shards, mostShards)
	}
	return known.Shards, nil
}

// writeLayout settles the number of shards unless another instance has done so.
func writeLayout(ctx context.Context, store keeper.TransactionalStore, shards int) error {
	value, err := json.Marshal(layout{Shards: shards})
	if err != nil {
		return errors.Wrap(err, "encode layout")
	}
	_, err = store.Commit(ctx, keeper.Transaction{
		Conditions: []keeper.Condition{{Key: layoutKey}},
		Writes:     []keeper.Write{{Key: layoutKey, Value: value}},
	})
	return err
}

// census counts backend servers until the number is steady.
type census struct {
	begunAt time.Time
	servers int
	equal   int
	// steadyAt is when the number was first final.
	steadyAt time.Time
}

// count reports whether the number of servers is final.
func (c *census) count(now time.Time, servers int) bool {
	if servers == c.servers && servers > 0 {
		c.equal++
	} else {
		c.servers, c.equal = servers, 1
	}
	return c.equal >= equalCounts || now.Sub(c.begunAt) >= longestCount
}

// settle returns the number of shards of the cell. It waits for the store.
func (s *Sharder) settle(ctx context.Context) (int, error) {
	counted := census{begunAt: time.Now()}
	for {
		shards, err := s.attempt(ctx, &counted)
		if shards > 0 {
			return shards, nil
		}
		if err != nil && !keeper.IsErrConflict(err) {
			s.logger.Warn("layout is not settled yet", "Error", err.Error())
		}
		if !timekeeper.Sleep(ctx, layoutRetry) {
			return 0, ctx.Err()
		}
	}
}

// attempt reads the layout, and settles it once the number of servers is steady.
func (s *Sharder) attempt(ctx context.Context, counted *census) (int, error) {
	shards, err := readLayout(ctx, s.store)
	if shards > 0 || err != nil {
		return shards, err
	}
	servers, err := s.directory.Servers(ctx)
	if err != nil {
		return 0, err
	}
	if !counted.count(time.Now(), len(servers)) {
		return 0, nil
	}
	if counted.steadyAt.IsZero() {
		counted.steadyAt = time.Now()
	}
	if time.Since(counted.steadyAt) < settlingDelay(s.processors) {
		return 0, nil
	}
	// A write without an answer is found by the next read.
	return 0, writeLayout(ctx, s.store, ShardsFor(len(servers), s.processors))
}
