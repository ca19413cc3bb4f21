package follower_test

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/authorizer"
	"egretring.example/egretring/follower"
	"egretring.example/egretring/specifier"
	"egretring.example/egretring/timekeeper"
)

var strictBounds = authorizer.Bounds{Revocation: 5 * time.Second, Configuration: 3 * time.Second}

const (
	faultAt   = 10 * time.Second
	revokedAt = faultAt + 500*time.Millisecond
	addedAt   = faultAt + time.Second
	healedAt  = faultAt + 9*time.Second
	endAt     = healedAt + 6*time.Second
)

// keyStore is a store whose second configuration revokes the key "old", and whose third adds the key "new".
type keyStore struct {
	mu       sync.Mutex
	revision int64
	changed  chan struct{}
}

func (s *keyStore) write() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *keyStore) state() (int64, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision, s.changed
}

func configurationOf(revision int64) *specifier.Configuration {
	keys := []string{"kept"}
	if revision < 2 {
		keys = append(keys, "old")
	}
	if revision >= 3 {
		keys = append(keys, "new")
	}
	return &specifier.Configuration{Version: revision, Revision: revision, Teams: specifier.NewTeams(specifier.Team{Name: "a", Keys: keys})}
}

// shiftedClock is a clock that a suspension moves forward.
type shiftedClock struct{ shift atomic.Int64 }

func (c *shiftedClock) Now() time.Time {
	return time.Now().Add(time.Duration(c.shift.Load()))
}

// strictInstance is an instance with strict keys. Its faults can be switched.
type strictInstance struct {
	store *keyStore
	*follower.Follower
	clock shiftedClock
	// refused calls to the store fail, hung ones never end, and others take storeTime. frozen instances answer no other instance.
	refused, hung, frozen atomic.Bool
	storeTime             atomic.Int64
	reads, asked          atomic.Int64
}

func (i *strictInstance) call(ctx context.Context) error {
	if i.hung.Load() {
		<-ctx.Done()
		return ctx.Err()
	}
	timekeeper.Sleep(ctx, time.Duration(i.storeTime.Load()))
	if i.refused.Load() {
		return errOutage
	}
	return ctx.Err()
}

// Configuration implements follower.Source.
func (i *strictInstance) Configuration(ctx context.Context, known int64) (follower.Reading, error) {
	i.reads.Add(1)
	revision, _ := i.store.state()
	if err := i.call(ctx); err != nil {
		return follower.Reading{}, err
	}
	reading := follower.Reading{StoreRevision: revision}
	if revision > known {
		reading.Newer = configurationOf(revision)
	}
	return reading, nil
}

// AwaitChange implements follower.Source.
func (i *strictInstance) AwaitChange(ctx context.Context, after int64, wait time.Duration) (follower.Change, error) {
	if err := i.call(ctx); err != nil {
		return follower.Change{}, err
	}
	revision, changed := i.store.state()
	if revision > after {
		return follower.Change{Changed: true}, nil
	}
	return awaitChange(ctx, changed, after, wait), nil
}

// answer is a follower.Peer that asks the instance.
func (i *strictInstance) answer(ctx context.Context, known int64, wait time.Duration) (follower.Answer, error) {
	i.asked.Add(1)
	if i.frozen.Load() {
		<-ctx.Done()
		return follower.Answer{}, ctx.Err()
	}
	timekeeper.Sleep(ctx, time.Millisecond)
	return i.Answer(ctx, known, wait)
}

// verdict returns the verdict about a key.
func (i *strictInstance) verdict(key string) authorizer.Verdict {
	proof := i.Proof()
	if proof.Configuration == nil {
		return authorizer.NotFresh
	}
	freshness := authorizer.Freshness{Proven: !proof.At.IsZero(), Age: i.clock.Now().Sub(proof.At)}
	return authorizer.Decide(proof.Configuration.Teams, authorizer.Call{Key: key}, freshness, strictBounds).Verdict
}

// strictCell has two owners and an instance that asks them.
type strictCell struct {
	store  *keyStore
	owners [2]*strictInstance
	entry  *strictInstance
}

// newStrictCell starts the instances after a function has changed the cell.
func newStrictCell(t *testing.T, setUp func(c *strictCell)) *strictCell {
	store := &keyStore{changed: make(chan struct{})}
	store.write()
	c := &strictCell{store: store, entry: &strictInstance{store: store}, owners: [2]*strictInstance{{store: store}, {store: store}}}
	setUp(c)
	for n, i := range []*strictInstance{c.owners[0], c.owners[1], c.entry} {
		var asks []follower.Peer
		for _, owner := range c.owners {
			if owner != i {
				asks = append(asks, owner.answer)
			}
		}
		i.storeTime.Store(int64(4 * time.Millisecond))
		i.Follower = follower.New(i, follower.WithLogger(slog.New(slog.NewTextHandler(io.Discard, nil))), follower.WithFreshness(
			follower.Freshness{
				Clock: &i.clock, Enough: follower.EnoughFor(strictBounds.MaxAgeOfRefusal()), Owners: func() []follower.Peer { return asks },
				ReadsStore: func() bool { return n < 2 },
			}))
	}
	// The rounds of the instances fall on different times.
	for n, i := range []*strictInstance{c.owners[0], c.owners[1], c.entry} {
		time.AfterFunc(time.Duration(n)*370*time.Millisecond, func() { i.Run(t.Context()) })
	}
	return c
}

// strictResult is what callers of the entry saw while a fault lasted and after it.
type strictResult struct {
	// refusedFor is how long the key that is always valid was not accepted, and lastRefusal when that last was so.
	refusedFor, lastRefusal time.Duration
	// oldGone is when the revoked key was last accepted.
	oldGone time.Duration
	// uncertainFor is how long the revoked key was neither accepted nor refused for good.
	uncertainFor time.Duration
}

// play switches a fault on and off, and checks at each step what no fault may change: a revoked key is not accepted after its
// bound, and an added one is not refused for good after its.
func play(t *testing.T, c *strictCell, fault func(c *strictCell, on bool)) strictResult {
	const step = 20 * time.Millisecond
	var result strictResult
	time.Sleep(5 * time.Second)
	for at := 5 * time.Second; at < endAt; at += step {
		switch at {
		case faultAt:
			fault(c, true)
		case healedAt:
			fault(c, false)
		case revokedAt, addedAt:
			c.store.write()
		}
		if c.entry.verdict("kept") != authorizer.Accepted {
			result.refusedFor += step
			result.lastRefusal = at
		}
		old := c.entry.verdict("old")
		if old == authorizer.Accepted {
			require.LessOrEqual(t, at, revokedAt+strictBounds.Revocation)
			result.oldGone = at
		}
		if old == authorizer.NotFresh {
			result.uncertainFor += step
		}
		if at > addedAt+strictBounds.Configuration {
			require.NotEqual(t, authorizer.UnknownKey, c.entry.verdict("new"), "at %s", at)
		}
		require.NotEqual(t, authorizer.UnknownKey, c.entry.verdict("kept"))
		time.Sleep(step)
	}
	require.Equal(t, authorizer.Accepted, c.entry.verdict("new"))
	require.Equal(t, authorizer.UnknownKey, c.entry.verdict("old"))
	return result
}

// TestStrictKeys guards against a revoked key that works after its bound, a valid one that is refused for good, and valid keys that
// are refused although one way to a proof is left, while the store refuses an instance, calls hang or are slow, owners do not
// answer, or clocks step.
func TestStrictKeys(t *testing.T) {
	for name, k := range map[string]struct {
		fault func(c *strictCell, on bool)
		// refusedAtMost and uncertainAtMost bound the times of the result; refusedAtLeast shows that the fault has its effect.
		refusedAtMost, refusedAtLeast, uncertainAtMost time.Duration
	}{
		"no fault": {fault: func(*strictCell, bool) {}},
		"store refuses the instance": {
			fault: func(c *strictCell, on bool) { c.entry.refused.Store(on) },
		},
		"calls of the instance to the store hang": {
			fault: func(c *strictCell, on bool) { c.entry.hung.Store(on) },
		},
		"first owner frozen": {
			fault: func(c *strictCell, on bool) { c.owners[0].frozen.Store(on) },
		},
		"store refuses the first owner": {
			fault: func(c *strictCell, on bool) { c.owners[0].refused.Store(on) },
		},
		"store refuses the first owner and the instance": {
			fault: func(c *strictCell, on bool) { c.owners[0].refused.Store(on); c.entry.refused.Store(on) },
		},
		"both owners frozen": {
			fault: func(c *strictCell, on bool) { c.owners[0].frozen.Store(on); c.owners[1].frozen.Store(on) },
		},
		"both owners frozen and calls of the instance to the store hang": {
			fault: func(c *strictCell, on bool) {
				c.owners[0].frozen.Store(on)
				c.owners[1].frozen.Store(on)
				c.entry.hung.Store(on)
			},
			refusedAtMost: 7 * time.Second, refusedAtLeast: 4 * time.Second, uncertainAtMost: 8 * time.Second,
		},
		"store refuses everybody, owners pass on ageing proofs": {
			fault: func(c *strictCell, on bool) {
				for _, i := range []*strictInstance{c.owners[0], c.owners[1], c.entry} {
					i.refused.Store(on)
				}
			},
			refusedAtMost: 7 * time.Second, refusedAtLeast: 4 * time.Second, uncertainAtMost: 8 * time.Second,
		},
		"store 60 times slower": {
			fault: func(c *strictCell, on bool) {
				for _, i := range []*strictInstance{c.owners[0], c.owners[1], c.entry} {
					i.storeTime.Store(int64(4 * time.Millisecond))
					if on {
						i.storeTime.Store(int64(240 * time.Millisecond))
					}
				}
			},
		},
		"store answers after 3 s with what it had at the beginning, and no owner answers": {
			fault: func(c *strictCell, on bool) {
				c.owners[0].frozen.Store(on)
				c.owners[1].frozen.Store(on)
				c.entry.storeTime.Store(int64(4 * time.Millisecond))
				if on {
					c.entry.storeTime.Store(int64(3 * time.Second))
				}
			},
			refusedAtMost: 7 * time.Second, refusedAtLeast: time.Second, uncertainAtMost: 9 * time.Second,
		},
		"clock of the instance steps forward": {
			fault:         func(c *strictCell, _ bool) { c.entry.clock.shift.Add(int64(time.Minute)) },
			refusedAtMost: 2100 * time.Millisecond, refusedAtLeast: 100 * time.Millisecond, uncertainAtMost: 2100 * time.Millisecond,
		},
		"clock of an owner steps forward": {
			fault: func(c *strictCell, _ bool) { c.owners[0].clock.shift.Add(int64(time.Minute)) },
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				result := play(t, newStrictCell(t, func(*strictCell) {}), k.fault)
				t.Logf("%+v", result)
				require.LessOrEqual(t, result.refusedFor, k.refusedAtMost)
				require.GreaterOrEqual(t, result.refusedFor, k.refusedAtLeast)
				require.LessOrEqual(t, result.uncertainFor, k.uncertainAtMost)
				if k.refusedAtMost == 0 {
					require.LessOrEqual(t, result.oldGone, revokedAt+strictBounds.Configuration)
				}
			})
		})
	}
}

// TestStrictCalls guards against reads of the store that grow with the number of instances, owners that read it less than once a
// second, and instances that do not read it when no owner answers.
func TestStrictCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newStrictCell(t, func(*strictCell) {})
		time.Sleep(10 * time.Second)
		count := func() (owner, entry, asked int64) {
			return c.owners[0].reads.Load(), c.entry.reads.Load(), c.owners[0].asked.Load()
		}
		owner, entry, asked := count()
		time.Sleep(time.Minute)
		ownerLater, entryLater, askedLater := count()
		require.InDelta(t, 60, ownerLater-owner, 1)
		require.Zero(t, entryLater-entry)
		require.InDelta(t, 60, askedLater-asked, 1)
		c.owners[0].frozen.Store(true)
		c.owners[1].frozen.Store(true)
		time.Sleep(time.Minute)
		require.InDelta(t, 60, c.entry.reads.Load()-entryLater, 1)
	})
}

// TestStoreWithoutConfiguration guards against a store without a configuration that is read without a pause, a failed first read that is
// not repeated soon, and a first configuration that is noticed late.
func TestStoreWithoutConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newStrictCell(t, func(c *strictCell) {
			c.store.revision = 0
			c.owners[0].refused.Store(true)
		})
		time.Sleep(time.Second)
		require.Greater(t, c.owners[0].reads.Load(), int64(10))
		c.owners[0].refused.Store(false)
		time.Sleep(10 * time.Second)
		require.LessOrEqual(t, c.entry.reads.Load(), int64(12))
		c.store.write()
		time.Sleep(100 * time.Millisecond)
		for _, i := range []*strictInstance{c.owners[0], c.owners[1], c.entry} {
			require.Equal(t, authorizer.Accepted, i.verdict("kept"))
		}
	})
}
