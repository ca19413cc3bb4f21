package committer_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/committer"
	"egretring.example/egretring/describer"
	"egretring.example/egretring/fakekeeper"
	"egretring.example/egretring/keeper"
	"egretring.example/egretring/tester"
)

func TestMain(m *testing.M) { tester.Main(m) }

func started(index, attempt int, epoch describer.Epoch) committer.Record {
	return committer.Record{
		Kind: committer.Started, Task: describer.TaskID{Job: "job", Index: index}, Attempt: attempt, Epoch: epoch,
		Server: "server", At: time.Unix(0, 0).UTC(),
	}
}

func ended(index, attempt int, outcome committer.Outcome) committer.Record {
	record := started(index, attempt, 1)
	record.Kind, record.Outcome = committer.Ended, outcome
	return record
}

// openCommitter recovers a zone and starts a committer. Like a member, it retries the recovery while the store fails.
func openCommitter(t *testing.T, store keeper.Store, epoch describer.Epoch) (*committer.Committer, committer.State) {
	journal, state, err := committer.Recover(context.Background(), store, "zone", epoch, fmt.Sprintf("member-%d", epoch))
	for ; err != nil && !committer.IsErrFenced(err); time.Sleep(time.Second) {
		journal, state, err = committer.Recover(context.Background(), store, "zone", epoch, fmt.Sprintf("member-%d", epoch))
	}
	require.NoError(t, err)
	c := committer.New(store, "zone", journal)
	c.Start()
	return c, state
}

// receive waits until the given number of records is durable.
func receive(t *testing.T, c *committer.Committer, count int) []committer.Record {
	var records []committer.Record
	for len(records) < count {
		select {
		case group := <-c.Durable():
			records = append(records, group...)
		case <-time.After(time.Minute):
			require.Fail(t, "records are not durable", "%d of %d", len(records), count)
		}
	}
	return records
}

func keys(t *testing.T, store keeper.Store, prefix string) []string {
	page, err := store.List(context.Background(), prefix)
	require.NoError(t, err)
	var names []string
	for _, entry := range page.Entries {
		names = append(names, strings.TrimPrefix(entry.Key, prefix))
	}
	return names
}

// TestRecordsSurviveStoreFaults guards against a record that is lost, delivered twice, or delivered out of order when
// the store loses responses, fails, refuses calls or is slow.
func TestRecordsSurviveStoreFaults(t *testing.T) {
	cases := []struct {
		name   string
		faults fakekeeper.Faults
		healAt time.Duration
	}{
		{"no fault", fakekeeper.Faults{}, 0},
		{"lost answers", fakekeeper.Faults{LoseWriteResponses: 5}, 0},
		{"outage", fakekeeper.Faults{Down: true}, 40 * time.Second},
		{"slow", fakekeeper.Faults{Delay: 1500 * time.Millisecond}, 0},
		{"slower than the timeout", fakekeeper.Faults{Delay: 5 * time.Second}, 20 * time.Second},
		{"refused", fakekeeper.Faults{WritesPerSecond: 1}, 0},
		{"slow and lost", fakekeeper.Faults{Delay: time.Second, LoseWriteResponses: 3}, 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := fakekeeper.New()
				c, _ := openCommitter(t, store, 1)
				store.SetFaults(test.faults)
				if test.healAt > 0 {
					time.AfterFunc(test.healAt, func() { store.SetFaults(fakekeeper.Faults{}) })
				}
				for i := range 20 {
					require.NoError(t, c.Commit(started(i, 1, 1)))
					time.Sleep(50 * time.Millisecond)
				}
				records := receive(t, c, 20)
				require.Len(t, records, 20)
				for i, record := range records {
					require.Equal(t, i, record.Task.Index)
				}
				require.NoError(t, c.Stop())
				store.SetFaults(fakekeeper.Faults{})
				c, state := openCommitter(t, store, 2)
				require.Len(t, state.Records, 20)
				require.NoError(t, c.Stop())
			})
		})
	}
}

// TestWriteRateIsBoundedAndGroupsAreCompacted guards against more than ten writes a second, groups less than 100 ms
// apart, groups that accumulate in the store, groups that wait for long behind deletions, and a finished task that is
// lost when its group is deleted.
func TestWriteRateIsBoundedAndGroupsAreCompacted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := fakekeeper.New()
		c, _ := openCommitter(t, store, 1)
		before, startTime := store.Calls().Writes, time.Now()
		const seconds, perSecond = 400, 40
		received, lastAt, longestWait := 0, time.Now(), time.Duration(0)
		for i := range seconds * perSecond {
			require.NoError(t, c.Commit(started(i, 1, 1)))
			require.NoError(t, c.Commit(ended(i, 1, committer.Succeeded)))
			time.Sleep(time.Second / perSecond)
			select {
			case records := <-c.Durable():
				received += len(records)
				longestWait = max(longestWait, time.Since(lastAt))
				lastAt = time.Now()
			default:
			}
		}
		receive(t, c, 2*seconds*perSecond-received)
		require.LessOrEqual(t, longestWait, 500*time.Millisecond, "groups wait behind deletions")
		writes := store.Calls().Writes - before
		limit := int64(10*time.Since(startTime)/time.Second) + 10
		require.LessOrEqual(t, writes, limit)
		groups := len(keys(t, store, "Zones/zone/Starts/"))
		require.NoError(t, c.Stop())
		require.Less(t, groups, 1200, "groups accumulate")
		c, state := openCommitter(t, store, 2)
		require.Empty(t, state.Records)
		finished := 0
		for _, each := range state.Finished {
			finished += each.Count
		}
		require.Equal(t, seconds*perSecond, finished)
		require.NoError(t, c.Stop())
	})
}

// TestPausedMemberIsFenced guards against a write of an earlier placing member that takes effect after a newer one has
// read the records. This can happen when the earlier member was paused during the change.
func TestPausedMemberIsFenced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := fakekeeper.New()
		old, _ := openCommitter(t, store, 1)
		require.NoError(t, old.Commit(started(1, 1, 1)))
		receive(t, old, 1)
		newer, state := openCommitter(t, store, 3)
		require.Len(t, state.Records, 1)
		require.NoError(t, old.Commit(started(2, 1, 1)))
		<-old.Done()
		require.True(t, committer.IsErrFenced(old.Stop()))
		require.NoError(t, newer.Commit(started(3, 1, 3)))
		receive(t, newer, 1)
		require.NoError(t, newer.Stop())

		_, _, err := committer.Recover(context.Background(), store, "zone", 2, "member-2")
		require.True(t, committer.IsErrFenced(err), "an epoch between recovers")
		newest, state := openCommitter(t, store, 4)
		require.Len(t, state.Records, 2)
		require.NoError(t, newest.Stop())
	})
}

// TestRecordsSurviveEpochChange guards against a record that is lost when the same member continues under a later
// epoch, including when the response to the write of its last group was lost.
func TestRecordsSurviveEpochChange(t *testing.T) {
	for _, faults := range []fakekeeper.Faults{{}, {Down: true}, {LoseWriteResponses: 1, Delay: 50 * time.Millisecond}} {
		synctest.Test(t, func(t *testing.T) {
			store := fakekeeper.New()
			first, _ := openCommitter(t, store, 1)
			store.SetFaults(faults)
			durable := make(map[int]bool)
			for i := range 10 {
				require.NoError(t, first.Commit(started(i, 1, 1)))
				time.Sleep(30 * time.Millisecond)
			}
			require.NoError(t, first.Stop())
			drain(first, durable)
			store.SetFaults(fakekeeper.Faults{})
			second, _ := openCommitter(t, store, 2)
			for _, record := range first.Remaining() {
				require.NoError(t, second.Commit(record))
				durable[record.Task.Index] = true
			}
			require.Len(t, durable, 10)
			time.Sleep(5 * time.Second)
			require.NoError(t, second.Stop())
			third, state := openCommitter(t, store, 3)
			require.Len(t, state.Records, 10)
			require.NoError(t, third.Stop())
		})
	}
}

// TestDurableRecordsSurviveHandover guards against a record that was reported as durable to one placing member and is
// unknown to the next one, at any point of the handover and with faults of the store.
func TestDurableRecordsSurviveHandover(t *testing.T) {
	seed := seedOf(t)
	for i := range uint64(60) {
		random := rand.New(rand.NewPCG(seed, i))
		lose := random.IntN(5)
		delay := time.Duration(random.IntN(300)) * time.Millisecond
		gap := time.Duration(1+random.IntN(5000)) * time.Millisecond
		t.Logf("seed %d/%d: %d lost answers, delay %v, handover after %v", seed, i, lose, delay, gap)
		synctest.Test(t, func(t *testing.T) {
			store := fakekeeper.New()
			store.SetFaults(fakekeeper.Faults{LoseWriteResponses: lose, Delay: delay})
			durable := make(map[int]bool)
			next := 0
			var members []*committer.Committer
			for epoch := describer.Epoch(1); epoch <= 4; epoch++ {
				c, state := openCommitter(t, store, epoch)
				found := make(map[int]bool)
				for _, record := range state.Records {
					found[record.Task.Index] = true
				}
				for index := range durable {
					require.True(t, found[index], "record %d is lost in epoch %d", index, epoch)
				}
				members = append(members, c)
				for until := time.Now().Add(gap); time.Now().Before(until); time.Sleep(37 * time.Millisecond) {
					for _, member := range members {
						next++
						_ = member.Commit(started(next, 1, epoch))
						drain(member, durable)
					}
				}
				// Groups in flight at the handover may still become durable until their epoch is sealed.
				for _, member := range members {
					drain(member, durable)
				}
			}
			for _, member := range members {
				err := member.Stop()
				require.True(t, err == nil || committer.IsErrFenced(err), "%v", err)
			}
		})
	}
}

func seedOf(t *testing.T) uint64 {
	seed, err := strconv.ParseUint(tester.Seed, 10, 64)
	require.NoError(t, err)
	return seed
}

func drain(member *committer.Committer, durable map[int]bool) {
	for {
		select {
		case records := <-member.Durable():
			for _, record := range records {
				durable[record.Task.Index] = true
			}
		default:
			return
		}
	}
}
