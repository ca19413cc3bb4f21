package coordinator_test

import (
	"context"
	"fmt"
	"math"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/classifier"
	"egretring.example/egretring/conductor"
	"egretring.example/egretring/elector"
	"egretring.example/egretring/fakekeeper"
	"egretring.example/egretring/messenger"
	"egretring.example/egretring/specifier"
)

func runWithCell(t *testing.T, instances int, test func(t *testing.T, c *cell), processors ...float64) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, instances, processors...)
		test(t, c)
		c.stop()
		require.Empty(t, c.servers.startedTwice())
	})
}

// TestAnyInstanceServesJobs guards against jobs whose submission or state query only works on the owner.
func TestAnyInstanceServesJobs(t *testing.T) {
	runWithCell(t, 3, func(t *testing.T, c *cell) {
		for i := range c.instances {
			require.NoError(t, c.submit(i, specifier.JobID(rune('a'+i))))
		}
		time.Sleep(3 * runTime)
		for i := range c.instances {
			for job := range c.instances {
				require.Equal(t, specifier.Completed, c.state(i, specifier.JobID(rune('a'+job))))
			}
		}
		_, known, err := c.instances[1].State(t.Context(), specifier.Caller{Unchecked: true}, "unknown")
		require.NoError(t, err)
		require.False(t, known)
	})
}

// TestClocksOfInstancesDiffer guards against jobs that do not start in time because the clock of the instance that accepted them
// is ahead of the owner's, or behind it.
func TestClocksOfInstancesDiffer(t *testing.T) {
	for _, ahead := range []time.Duration{20 * time.Millisecond, time.Hour, -time.Hour} {
		t.Run(ahead.String(), func(t *testing.T) {
			runWithCell(t, 2, func(t *testing.T, c *cell) {
				c.clocks[1].ahead.Store(int64(ahead))
				require.NoError(t, c.submit(1, "a"))
				require.NoError(t, c.submit(0, "b"))
				time.Sleep(3 * runTime)
				require.Equal(t, specifier.Completed, c.state(0, "a"))
				require.Equal(t, specifier.Completed, c.state(0, "b"))
			})
		})
	}
}

// TestRefusedRecordHoldsUpNoOtherJob guards against a write that the store never accepts and that is repeated for ever, so that
// its lane, and with several of them the whole cell, stores nothing more. The job goes on once the store accepts its record.
func TestRefusedRecordHoldsUpNoOtherJob(t *testing.T) {
	runWithCell(t, 2, func(t *testing.T, c *cell) {
		c.store.SetFaults(fakekeeper.Faults{Delay: 4 * time.Millisecond, MaxValueBytes: 1000})
		for n := range conductor.CommitLanes + 1 {
			require.NoError(t, c.submitTasks(n%2, specifier.JobID(fmt.Sprint("large", n)), 30))
			require.NoError(t, c.submit(n%2, specifier.JobID(fmt.Sprint("small", n))))
		}
		time.Sleep(4 * runTime)
		for n := range conductor.CommitLanes + 1 {
			require.Equal(t, specifier.Completed, c.state(0, specifier.JobID(fmt.Sprint("small", n))))
			require.Equal(t, specifier.Queued, c.state(0, specifier.JobID(fmt.Sprint("large", n))))
		}
		_, err := c.instances[0].Cancel(t.Context(), specifier.Caller{Unchecked: true}, "large0")
		require.NoError(t, err)
		time.Sleep(time.Second)
		require.Equal(t, specifier.Cancelled, c.state(0, "large0"))
		c.store.SetFaults(fakekeeper.Faults{Delay: 4 * time.Millisecond})
		time.Sleep(40 * time.Second)
		for n := range conductor.CommitLanes {
			require.Equal(t, specifier.Completed, c.state(0, specifier.JobID(fmt.Sprint("large", n+1))))
		}
	})
}

// TestJobsSurviveOwnerHandover guards against jobs that are lost, or start twice, when the owner hands over while they
// run.
func TestJobsSurviveOwnerHandover(t *testing.T) {
	runWithCell(t, 3, func(t *testing.T, c *cell) {
		require.NoError(t, c.submit(1, "a"))
		time.Sleep(runTime / 2)
		c.instances[0].Drain()
		require.False(t, c.instances[0].Ready())
		require.NoError(t, c.submit(1, "b"))
		// A draining instance must not become the owner again, however long it drains.
		time.Sleep(6 * time.Second)
		c.store.DeleteKey(elector.OwnerKey)
		time.Sleep(time.Second)
		entry, err := c.store.Get(t.Context(), elector.OwnerKey)
		require.NoError(t, err)
		require.NotContains(t, string(entry.Value), "instance-0")
		require.NoError(t, c.instances[0].Stop())
		c.instances[0] = nil
		time.Sleep(2 * time.Second)
		require.Equal(t, specifier.Completed, c.state(2, "a"))
		require.Equal(t, specifier.Completed, c.state(2, "b"))
	})
}

// TestOwnerKeyDeletedByStore guards against an owner that continues after the store has deleted its key without a
// request, and against a cell that stays without an owner: the first start after the deletion must come within 2.5 s.
func TestOwnerKeyDeletedByStore(t *testing.T) {
	runWithCell(t, 3, func(t *testing.T, c *cell) {
		require.NoError(t, c.submit(1, "a"))
		time.Sleep(100 * time.Millisecond)
		c.store.DeleteKey(elector.OwnerKey)
		require.NoError(t, c.submit(1, "b"))
		time.Sleep(2500*time.Millisecond + runTime)
		require.Equal(t, specifier.Completed, c.state(2, "a"))
		require.Equal(t, specifier.Completed, c.state(2, "b"))
	})
}

// TestJobsSurviveStoreFaults guards against jobs that are lost or started twice when the store loses responses,
// applies writes late, is down, refuses calls, is slow or compacts its history.
func TestJobsSurviveStoreFaults(t *testing.T) {
	cases := map[string]fakekeeper.Faults{
		"answers lost": {Delay: 4 * time.Millisecond, LoseWriteResponses: 3},
		"writes late":  {Delay: 4 * time.Millisecond, LoseWriteResponses: 3, LateBy: 1500 * time.Millisecond},
		"down":         {Down: true},
		"refuses":      {Refuse: true},
		"slow":         {Delay: 250 * time.Millisecond},
	}
	for name, faults := range cases {
		t.Run(name, func(t *testing.T) {
			runWithCell(t, 2, func(t *testing.T, c *cell) {
				require.NoError(t, c.submit(0, "a"))
				c.store.SetFaults(faults)
				time.Sleep(3 * time.Second)
				c.store.SetFaults(fakekeeper.Faults{Delay: 4 * time.Millisecond})
				c.store.Compact()
				time.Sleep(time.Second)
				require.NoError(t, c.submit(1, "b"))
				time.Sleep(8 * time.Second)
				require.Equal(t, specifier.Completed, c.state(0, "a"))
				require.Equal(t, specifier.Completed, c.state(1, "b"))
			})
		})
	}
}

// TestCancellationReachesOwner guards against a confirmed cancellation that does not reach the owner.
func TestCancellationReachesOwner(t *testing.T) {
	runWithCell(t, 2, func(t *testing.T, c *cell) {
		require.NoError(t, c.submit(1, "a"))
		known, err := c.instances[1].Cancel(t.Context(), specifier.Caller{Unchecked: true}, "a")
		require.NoError(t, err)
		require.True(t, known)
		time.Sleep(time.Second)
		require.Equal(t, specifier.Cancelled, c.state(1, "a"))
		known, err = c.instances[1].Cancel(t.Context(), specifier.Caller{Unchecked: true}, "unknown")
		require.NoError(t, err)
		require.False(t, known)
	})
}

// TestConfigurationNeverReverts guards against applying an older configuration that is read later, and against routes
// that are not found after they were added.
func TestConfigurationNeverReverts(t *testing.T) {
	runWithCell(t, 1, func(t *testing.T, c *cell) {
		_, err := c.instances[0].Queue("h", "/new/x")
		require.Equal(t, classifier.NotFound, classifier.KindOf(err))
		old := c.current
		c.mu.Lock()
		c.current.Revision = 2
		c.current.Queues = old.Queues.With(specifier.Queue{Name: "new", Host: "h", Prefix: "/new/", Service: "s"})
		c.mu.Unlock()
		time.Sleep(time.Second)
		_, err = c.instances[0].Queue("h", "/new/x")
		require.NoError(t, err)
		c.mu.Lock()
		c.current = old
		c.mu.Unlock()
		time.Sleep(2 * time.Second)
		_, err = c.instances[0].Queue("h", "/new/x")
		require.NoError(t, err)
	})
}

// TestLargestInstanceOwns guards against a cell whose owner is a small instance while a larger one is a member, and
// against a cell without an owner once the larger ones have drained.
func TestLargestInstanceOwns(t *testing.T) {
	runWithCell(t, 3, func(t *testing.T, c *cell) {
		require.Contains(t, c.owner(), "instance-0", "the first instance stands alone")
		time.Sleep(5 * time.Second)
		require.Regexp(t, "instance-[12]", c.owner())
		first := 1
		if strings.Contains(c.owner(), "instance-2") {
			first = 2
		}
		c.instances[first].Drain()
		time.Sleep(time.Second)
		require.Contains(t, c.owner(), fmt.Sprintf("instance-%d", 3-first))
		c.instances[3-first].Drain()
		time.Sleep(2 * time.Second)
		require.Contains(t, c.owner(), "instance-0")
	}, 0.2, 0.8, 0.8)
}

// TestOwnerUnreachable guards against unknown job states and wrong counts of waiting jobs while an instance cannot call
// the owner.
func TestOwnerUnreachable(t *testing.T) {
	runWithCell(t, 2, func(t *testing.T, c *cell) {
		c.network.CutOff("instance-0")
		require.NoError(t, c.submit(1, "a"))
		time.Sleep(4 * runTime)
		require.Equal(t, specifier.Completed, c.state(1, "a"))
		_, err := c.instances[1].Waiting(t.Context(), specifier.Queue{Name: "q"})
		require.Equal(t, classifier.NotReady, classifier.KindOf(err))
	})
}

// TestWatchesWithoutChanges guards against submissions and cancellations that never reach the owner while the store's
// watches return no changes and the instance that accepted them cannot call the owner.
func TestWatchesWithoutChanges(t *testing.T) {
	runWithCell(t, 2, func(t *testing.T, c *cell) {
		c.network.CutOff("instance-0")
		c.store.SetFaults(fakekeeper.Faults{MuteWatches: true})
		require.NoError(t, c.submit(1, "a"))
		require.NoError(t, c.submit(1, longJob))
		_, err := c.instances[1].Cancel(t.Context(), specifier.Caller{Unchecked: true}, longJob)
		require.NoError(t, err)
		time.Sleep(3 * time.Second)
		require.Equal(t, specifier.Completed, c.state(1, "a"))
		require.Equal(t, specifier.Cancelled, c.state(1, longJob))
	})
}

// TestStoreRefusesOneInstance guards against submissions and cancellations that are refused although another instance
// can reach the store.
func TestStoreRefusesOneInstance(t *testing.T) {
	runWithCell(t, 2, func(t *testing.T, c *cell) {
		c.stores[1].refusing.Store(true)
		time.Sleep(2 * time.Second)
		require.False(t, c.instances[1].Ready())
		require.NoError(t, c.submit(1, "a"))
		require.NoError(t, c.submit(1, "b"))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		known, err := c.instances[1].Cancel(ctx, specifier.Caller{Unchecked: true}, "b")
		require.NoError(t, err)
		require.True(t, known)
		time.Sleep(3 * runTime)
		require.Equal(t, specifier.Completed, c.state(1, "a"))
		require.Equal(t, specifier.Cancelled, c.state(1, "b"))
		c.stores[1].refusing.Store(false)
		time.Sleep(time.Second)
		require.True(t, c.instances[1].Ready())
	})
}

// TestStoreUnresponsiveToOneInstance guards against a submission that is not confirmed although the owner reaches the
// store, and against one that is held until its caller gives up when the owner is unreachable, too.
func TestStoreUnresponsiveToOneInstance(t *testing.T) {
	runWithCell(t, 2, func(t *testing.T, c *cell) {
		c.stores[1].unresponsive.Store(true)
		require.NoError(t, c.submit(1, "a"))
		time.Sleep(3 * runTime)
		require.Equal(t, specifier.Completed, c.state(0, "a"))
		c.network.CutOff("instance-0")
		startedAt := time.Now()
		require.Error(t, c.submit(1, "b"))
		require.Less(t, time.Since(startedAt), callerTimeout/2)
		c.stores[1].unresponsive.Store(false)
	})
}

// TestFinishedJobsAreNotReloaded guards against submissions of finished jobs that stay in the store, so that every
// takeover reads them again, and against a finished job that is unknown or starts again once its submission is deleted.
func TestFinishedJobsAreNotReloaded(t *testing.T) {
	runWithCell(t, 2, func(t *testing.T, c *cell) {
		require.NoError(t, c.submit(1, "a"))
		require.NoError(t, c.submit(1, "b"))
		time.Sleep(3 * runTime)
		require.Empty(t, c.store.Keys("egretring/intake/"))
		c.store.DeleteKey(elector.OwnerKey)
		require.NoError(t, c.submit(1, "a"), "the same job again")
		known, err := c.instances[1].Cancel(t.Context(), specifier.Caller{Unchecked: true}, "b")
		require.NoError(t, err)
		require.True(t, known)
		time.Sleep(3 * time.Second)
		require.Equal(t, specifier.Completed, c.state(0, "a"))
		require.Equal(t, specifier.Completed, c.state(1, "b"))
		require.Empty(t, c.store.Keys("egretring/intake/"))
	})
}

// TestStoredJobThatCannotRunEndsNoOwner guards against owners whose processes end one after the other because of a job in the
// store, and against other jobs that do not run meanwhile.
func TestStoredJobThatCannotRunEndsNoOwner(t *testing.T) {
	runWithCell(t, 2, func(t *testing.T, c *cell) {
		require.NoError(t, c.submitTasks(1, "invalid", math.MaxInt), "only decoding checks the numbers")
		require.NoError(t, c.submit(1, "a"))
		time.Sleep(3 * runTime)
		require.Equal(t, specifier.Completed, c.state(1, "a"))
		require.Equal(t, specifier.Failed, c.state(1, "invalid"))
		require.Empty(t, c.store.Keys("egretring/intake/"))
		c.store.DeleteKey(elector.OwnerKey)
		require.NoError(t, c.submitTasks(0, "late", math.MaxInt))
		require.NoError(t, c.submit(0, "b"))
		time.Sleep(3 * time.Second)
		require.Equal(t, specifier.Completed, c.state(0, "b"))
		require.Equal(t, specifier.Failed, c.state(0, "invalid"))
		require.Equal(t, specifier.Failed, c.state(0, "late"))
	})
}

// TestKeysOfOldJobsAreDeleted guards against keys of finished jobs that stay in the store forever, and against a
// finished job that starts again after its state has been deleted.
func TestKeysOfOldJobsAreDeleted(t *testing.T) {
	runWithCell(t, 2, func(t *testing.T, c *cell) {
		for i := range 25 {
			require.NoError(t, c.submit(1, specifier.JobID(rune('a'+i))))
		}
		time.Sleep(finalStateRetention)
		require.Equal(t, specifier.Completed, c.state(1, "a"))
		c.store.SetFaults(fakekeeper.Faults{Delay: 4 * time.Millisecond, LoseWriteResponses: 1})
		time.Sleep(finalStateRetention)
		require.Empty(t, c.store.Keys("egretring/intake/"))
		require.Empty(t, c.store.Keys("egretring/states/"))
		_, known, err := c.instances[1].State(t.Context(), specifier.Caller{Unchecked: true}, "a")
		require.NoError(t, err)
		require.False(t, known)
	})
}

// TestOwnerServesHundredsOfInstances guards against an owner that turns away the calls of other instances because each of them
// has several connections to it.
func TestOwnerServesHundredsOfInstances(t *testing.T) {
	runWithCell(t, 1, func(t *testing.T, c *cell) {
		const connections = 3 * 300
		for i := range connections {
			client := messenger.NewClient(messenger.WithDial(c.network.Dial))
			defer func() { require.NoError(t, client.Close()) }()
			_, err := messenger.Call[struct{ Queue string }, struct{ Owner bool }](t.Context(), client, "instance-0", "Waiting", struct{ Queue string }{"q"})
			require.NoError(t, err, "connection %d", i)
		}
	})
}
