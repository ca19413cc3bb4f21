package intaker_test

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"egretring.example/egretring/classifier"
	"egretring.example/egretring/fakekeeper"
	"egretring.example/egretring/intaker"
	"egretring.example/egretring/keeper"
	"egretring.example/egretring/specifier"
)

const callerTimeout = 3 * time.Second

func accept(t *testing.T, i *intaker.Intaker, id specifier.JobID) error {
	ctx, cancel := context.WithTimeout(t.Context(), callerTimeout)
	defer cancel()
	return i.Accept(ctx, specifier.Job{ID: id})
}

func runWithIntaker(t *testing.T, test func(t *testing.T, store *fakekeeper.Transactional, subject *intaker.Intaker)) {
	synctest.Test(t, func(t *testing.T) {
		store := fakekeeper.NewTransactional()
		subject := intaker.New(store, slog.New(slog.NewTextHandler(io.Discard, nil)))
		test(t, store, subject)
		require.NoError(t, subject.Close())
	})
}

// TestAccept guards against a refused job that is stored, a job that is stored twice, and an accepted job that is not
// stored, when the store loses responses, applies writes late or refuses calls.
func TestAccept(t *testing.T) {
	cases := []struct {
		name   string
		faults fakekeeper.Faults
		// kind is the kind of the error; -1 means accepted.
		kind   classifier.Kind
		stored bool
	}{
		{"calm", fakekeeper.Faults{}, -1, true},
		{"answer lost", fakekeeper.Faults{LoseWriteResponses: 1}, -1, true},
		{"write late", fakekeeper.Faults{LoseWriteResponses: 1, LateBy: 2 * time.Second}, -1, true},
		{"store refuses", fakekeeper.Faults{Refuse: true}, classifier.Overloaded, false},
		{"all answers lost and writes late", fakekeeper.Faults{LoseWriteResponses: 1000, LateBy: 5 * time.Second}, classifier.OutcomeUnknown, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runWithIntaker(t, func(t *testing.T, store *fakekeeper.Transactional, subject *intaker.Intaker) {
				store.SetFaults(c.faults)
				err := accept(t, subject, "a")
				if c.kind < 0 {
					require.NoError(t, err)
				} else {
					require.Equal(t, c.kind, classifier.KindOf(err))
				}
				store.SetFaults(fakekeeper.Faults{})
				time.Sleep(10 * time.Second)
				if c.stored {
					require.Equal(t, []string{intaker.JobKey("a")}, store.Keys(intaker.Prefix))
				} else {
					require.Empty(t, store.Keys(intaker.Prefix), "a refused job was stored")
				}
			})
		})
	}
}

// TestJobThatCannotBeStored guards against a job that the store never accepts and that is retried until its caller gives up,
// together with the jobs that share its write. The caller is told at once, and that the job does not run.
func TestJobThatCannotBeStored(t *testing.T) {
	for _, limit := range []int{2000, 0} {
		runWithIntaker(t, func(t *testing.T, store *fakekeeper.Transactional, subject *intaker.Intaker) {
			store.SetFaults(fakekeeper.Faults{Delay: 4 * time.Millisecond, MaxValueBytes: limit})
			var group sync.WaitGroup
			startedAt := time.Now()
			for n := range 8 {
				group.Go(func() {
					if n%4 != 0 {
						require.NoError(t, accept(t, subject, specifier.JobID(fmt.Sprint("small", n))))
						return
					}
					ctx, cancel := context.WithTimeout(t.Context(), callerTimeout)
					defer cancel()
					err := subject.Accept(ctx, specifier.Job{
						ID: specifier.JobID(fmt.Sprint("large", n)), Spec: strings.Repeat("x", cmp.Or(limit, keeper.MaxValueBytes)),
					})
					require.Equal(t, classifier.BadRequest, classifier.KindOf(err))
				})
			}
			group.Wait()
			require.Less(t, time.Since(startedAt), time.Second)
			require.Len(t, store.Keys(intaker.Prefix), 6)
		})
	}
}

// TestResubmittedJobIsAcceptedOnce guards against a resubmitted job that is stored as a second job, or refused.
func TestResubmittedJobIsAcceptedOnce(t *testing.T) {
	runWithIntaker(t, func(t *testing.T, store *fakekeeper.Transactional, subject *intaker.Intaker) {
		require.NoError(t, accept(t, subject, "a"))
		before := store.Calls().Writes
		require.NoError(t, accept(t, subject, "a"))
		require.Equal(t, before+1, store.Calls().Writes)
	})
}

// TestConcurrentSubmissionsShareWrites guards against losing submissions that arrive at the same time, and against a
// separate write for each of them.
func TestConcurrentSubmissionsShareWrites(t *testing.T) {
	runWithIntaker(t, func(t *testing.T, store *fakekeeper.Transactional, subject *intaker.Intaker) {
		store.SetFaults(fakekeeper.Faults{Delay: 5 * time.Millisecond})
		const jobs = 100
		var group sync.WaitGroup
		errs := make([]error, jobs)
		for i := range jobs {
			group.Go(func() {
				errs[i] = accept(t, subject, specifier.JobID(rune('a'+i%50)))
			})
		}
		group.Wait()
		for _, err := range errs {
			require.NoError(t, err)
		}
		require.Len(t, store.Keys(intaker.Prefix), 50)
		require.Less(t, store.Calls().Writes, int64(jobs/4))
	})
}

// TestUnresponsiveStoreFailsFast guards against callers that wait for a store that is known not to respond.
func TestUnresponsiveStoreFailsFast(t *testing.T) {
	runWithIntaker(t, func(t *testing.T, store *fakekeeper.Transactional, subject *intaker.Intaker) {
		store.SetFaults(fakekeeper.Faults{Down: true})
		require.Equal(t, classifier.OutcomeUnknown, classifier.KindOf(accept(t, subject, "a")))
		submittedAt := time.Now()
		require.Equal(t, classifier.Overloaded, classifier.KindOf(accept(t, subject, "c")))
		require.Zero(t, time.Since(submittedAt))
		require.False(t, subject.Reachable())
		store.SetFaults(fakekeeper.Faults{})
		subject.RecordStoreCall(true)
		require.True(t, subject.Reachable())
		require.NoError(t, accept(t, subject, "b"))
		require.NotContains(t, store.Keys(intaker.Prefix), intaker.JobKey("c"))
	})
}

// TestCancel guards against confirming the cancellation of an unknown job, and against losing a cancellation.
func TestCancel(t *testing.T) {
	runWithIntaker(t, func(t *testing.T, store *fakekeeper.Transactional, subject *intaker.Intaker) {
		known, err := subject.Cancel(t.Context(), specifier.Caller{Unchecked: true}, "a")
		require.NoError(t, err)
		require.False(t, known)
		require.NoError(t, accept(t, subject, "a"))
		store.SetFaults(fakekeeper.Faults{LoseWriteResponses: 1})
		known, err = subject.Cancel(t.Context(), specifier.Caller{Unchecked: true}, "a")
		require.NoError(t, err)
		require.True(t, known)
		require.Contains(t, store.Keys(intaker.Prefix), intaker.CancelKey("a"))
	})
}

// TestRetryOutlastsOutage guards against callers that use up their few retries within an outage: a caller that retries
// at the time given, four times at most, must be accepted after a store outage of five seconds.
func TestRetryOutlastsOutage(t *testing.T) {
	runWithIntaker(t, func(t *testing.T, store *fakekeeper.Transactional, subject *intaker.Intaker) {
		store.SetFaults(fakekeeper.Faults{Refuse: true})
		time.AfterFunc(5*time.Second, func() {
			store.SetFaults(fakekeeper.Faults{})
			subject.RecordStoreCall(true)
		})
		subject.RecordStoreCall(false)
		const retries = 4
		for range retries {
			err := accept(t, subject, "a")
			var refusal *classifier.Error
			require.ErrorAs(t, err, &refusal)
			require.True(t, refusal.RetryAt().After(time.Now()))
			time.Sleep(time.Until(refusal.RetryAt()))
			if accept(t, subject, "a") == nil {
				return
			}
		}
		t.Fatal("outage outlasted the retries")
	})
}

// TestUnconfirmedWriteIsRetriedUntilDeadline guards against a caller that is told an unknown outcome although the store
// answers again within its time.
func TestUnconfirmedWriteIsRetriedUntilDeadline(t *testing.T) {
	runWithIntaker(t, func(t *testing.T, store *fakekeeper.Transactional, subject *intaker.Intaker) {
		store.SetFaults(fakekeeper.Faults{Down: true})
		time.AfterFunc(callerTimeout-500*time.Millisecond, func() { store.SetFaults(fakekeeper.Faults{}) })
		require.NoError(t, accept(t, subject, "a"))
		require.Contains(t, store.Keys(intaker.Prefix), intaker.JobKey("a"))
	})
}

// TestOutageIsOutlastedByCallers guards against callers that find no store in an outage of four seconds although it ends within
// their time, with at most four more attempts at the times that refusals name, and against refusals of jobs that are stored.
func TestOutageIsOutlastedByCallers(t *testing.T) {
	for _, faults := range []fakekeeper.Faults{{Down: true}, {Refuse: true}, {Delay: time.Minute}} {
		runWithIntaker(t, func(t *testing.T, store *fakekeeper.Transactional, subject *intaker.Intaker) {
			require.NoError(t, accept(t, subject, "before"))
			store.SetFaults(faults)
			outageEnd := time.Now().Add(4 * time.Second)
			time.AfterFunc(4*time.Second, func() { store.SetFaults(fakekeeper.Faults{}) })
			var group sync.WaitGroup
			for i := range 80 {
				group.Go(func() {
					time.Sleep(time.Duration(i) * 50 * time.Millisecond)
					id := specifier.JobID(fmt.Sprintf("job-%d", i))
					deadline := time.Now().Add(callerTimeout)
					err := submitUntil(t, subject, id, deadline)
					if deadline.After(outageEnd.Add(500 * time.Millisecond)) {
						require.NoError(t, err, "submitted %s before the end of the outage", time.Until(outageEnd))
					}
					time.Sleep(10 * time.Second)
					if err == nil || classifier.IsErrNotRun(err) {
						require.Equal(t, err == nil, slices.Contains(store.Keys(intaker.Prefix), intaker.JobKey(id)))
					}
				})
			}
			group.Wait()
		})
	}
}

// submitUntil submits a job up to five times, at the times that refusals name, or after half of the time left if that is
// earlier, until its caller's deadline.
func submitUntil(t *testing.T, subject *intaker.Intaker, id specifier.JobID, deadline time.Time) error {
	ctx, cancel := context.WithDeadline(t.Context(), deadline)
	defer cancel()
	var err error
	for range 5 {
		err = subject.Accept(ctx, specifier.Job{ID: id})
		if err == nil || ctx.Err() != nil || !classifier.IsErrNotRun(err) {
			return err
		}
		time.Sleep(min(time.Until(classifier.RetryAtOf(err)), time.Until(deadline)/2))
	}
	return err
}

// teamIntakers returns the intakers of two shards in one store, in which the keys of the second one have a prefix.
func teamIntakers(store *fakekeeper.Transactional) [2]*intaker.Intaker {
	logger := slog.New(slog.NewTextHandler(io.Discard, nil))
	return [2]*intaker.Intaker{
		intaker.New(store, logger, intaker.WithOtherShards(intaker.OtherShards{
			KeysOf: func(key string) []string { return []string{"other/" + key} }, Always: true,
		})),
		intaker.New(prefixed{store}, logger, intaker.WithOtherShards(intaker.OtherShards{
			KeysOf: func(key string) []string { return []string{"!" + key} }, Always: true,
		})),
	}
}

// prefixed adds a prefix to the keys of transactions, except to those that begin with an exclamation mark.
type prefixed struct{ *fakekeeper.Transactional }

// Commit implements keeper.TransactionalStore.
func (p prefixed) Commit(ctx context.Context, transaction keeper.Transaction) (int64, error) {
	name := func(key string) string {
		if own, marked := strings.CutPrefix(key, "!"); marked {
			return own
		}
		return "other/" + key
	}
	for i := range transaction.Conditions {
		transaction.Conditions[i].Key = name(transaction.Conditions[i].Key)
	}
	for i := range transaction.Writes {
		transaction.Writes[i].Key = name(transaction.Writes[i].Key)
	}
	revision, err := p.Transactional.Commit(ctx, transaction)
	var conflict *keeper.ConflictError
	if errors.As(err, &conflict) {
		for i, entry := range conflict.Current {
			if own, found := strings.CutPrefix(entry.Key, "other/"); found {
				conflict.Current[i].Key = own
			} else {
				conflict.Current[i].Key = "!" + entry.Key
			}
		}
	}
	return revision, err
}

// TestIDOfAnotherTeam guards against a submission with the ID of another team's job that is confirmed, that changes the job, or that
// runs as a second job under the ID in the same or in another shard, also when both arrive together.
func TestIDOfAnotherTeam(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := fakekeeper.NewTransactional()
		shards := teamIntakers(store)
		submit := func(shard int, id specifier.JobID, team string) error {
			ctx, cancel := context.WithTimeout(t.Context(), callerTimeout)
			defer cancel()
			return shards[shard].Accept(ctx, specifier.Job{ID: id, Team: team})
		}
		require.NoError(t, submit(0, "a", "red"))
		require.NoError(t, submit(0, "a", "red"))
		for shard := range 2 {
			for _, team := range []string{"blue", ""} {
				err := submit(shard, "a", team)
				require.Equal(t, classifier.Conflict, classifier.KindOf(err))
				require.True(t, classifier.IsErrNotRun(err))
			}
		}
		entry, err := store.Get(t.Context(), intaker.JobKey("a"))
		require.NoError(t, err)
		team, err := intaker.TeamOf(entry.Value)
		require.NoError(t, err)
		require.Equal(t, "red", team)
		store.SetFaults(fakekeeper.Faults{Delay: 5 * time.Millisecond})
		var group sync.WaitGroup
		var refused [40]bool
		for n := range refused {
			group.Go(func() {
				err := submit(n%2, specifier.JobID(fmt.Sprint("b", n/4)), []string{"red", "red", "blue", "blue"}[n%4])
				require.True(t, err == nil || classifier.IsErrKind(err, classifier.Conflict), "%v", err)
				refused[n] = err != nil
			})
		}
		group.Wait()
		require.Len(t, store.Keys("other/"+intaker.Prefix), 10-len(store.Keys(intaker.Prefix))+1)
		for job := range len(refused) / 4 {
			of := refused[4*job : 4*job+4]
			require.Equal(t, of[0], of[1])
			require.Equal(t, of[2], of[3])
			require.NotEqual(t, of[0], of[2])
		}
		for _, shard := range shards {
			require.NoError(t, shard.Close())
		}
	})
}

// TestCancelOfAnotherTeam guards against a team that cancels, or learns of, a job of another one, also after it is final.
func TestCancelOfAnotherTeam(t *testing.T) {
	runWithIntaker(t, func(t *testing.T, store *fakekeeper.Transactional, subject *intaker.Intaker) {
		for _, key := range []string{intaker.JobKey("a"), intaker.StateKey("b")} {
			_, err := store.Commit(t.Context(), keeper.Transaction{Writes: []keeper.Write{{Key: key, Value: []byte(`{"Team":"red"}`)}}})
			require.NoError(t, err)
		}
		for _, id := range []specifier.JobID{"a", "b"} {
			for _, caller := range []specifier.Caller{{Team: "blue"}, {}} {
				known, err := subject.Cancel(t.Context(), caller, id)
				require.NoError(t, err)
				require.False(t, known)
			}
		}
		require.Empty(t, store.Keys(intaker.CancelKey("")))
		for _, caller := range []specifier.Caller{{Team: "red"}, {Unchecked: true}} {
			known, err := subject.Cancel(t.Context(), caller, "a")
			require.NoError(t, err)
			require.True(t, known)
		}
	})
}

// TestFenceOfJobs guards against a job that is stored although its fence has moved, also by a commit that takes effect late or together with
// jobs whose fences hold, and against jobs of other fences that are refused or cost more calls because of it.
func TestFenceOfJobs(t *testing.T) {
	runWithIntaker(t, func(t *testing.T, store *fakekeeper.Transactional, subject *intaker.Intaker) {
		move := func(key string) int64 {
			revision, err := store.Commit(t.Context(), keeper.Transaction{Writes: []keeper.Write{{Key: key, Value: []byte("v")}}})
			require.NoError(t, err)
			return revision
		}
		submit := func(id, key string, revision int64, contended bool) error {
			ctx, cancel := context.WithTimeout(t.Context(), callerTimeout)
			defer cancel()
			fence := intaker.Fence{Condition: keeper.Condition{Key: key, Revision: revision}, Contended: contended}
			return subject.AcceptFenced(ctx, specifier.Job{ID: specifier.JobID(id), Team: key}, fence)
		}
		var moved *intaker.FenceMovedError
		store.SetFaults(fakekeeper.Faults{LoseWriteResponses: 1000, LateBy: 5 * time.Second})
		require.Equal(t, classifier.OutcomeUnknown, classifier.KindOf(submit("late", "f", 0, false)))
		time.Sleep(time.Second)
		store.SetFaults(fakekeeper.Faults{})
		subject.RecordStoreCall(true)
		first := move("f")
		require.ErrorAs(t, submit("late", "f", 0, false), &moved)
		require.Equal(t, first, moved.Current.Revision)
		require.NoError(t, submit("stored", "f", first, true))
		second := move("f")
		require.NoError(t, submit("stored", "f", first, true), "a job that is stored is accepted whatever its fence")
		time.Sleep(10 * time.Second)
		require.Equal(t, []string{intaker.JobKey("stored")}, store.Keys(intaker.Prefix))

		store.SetFaults(fakekeeper.Faults{Delay: 10 * time.Millisecond})
		var group sync.WaitGroup
		group.Go(func() { require.NoError(t, submit("g", "g", 0, false)) })
		time.Sleep(time.Millisecond)
		before := store.Calls().Writes
		for n, c := range []struct {
			key       string
			revision  int64
			contended bool
		}{{"f", first, true}, {"f", second, true}, {"h", 0, false}, {"h", 0, false}, {"f", first, true}, {"g", 0, false}} {
			group.Go(func() {
				err := submit(fmt.Sprint("batch", n), c.key, c.revision, c.contended)
				if c.revision == first {
					var moved *intaker.FenceMovedError
					require.ErrorAs(t, err, &moved)
				} else {
					require.NoError(t, err)
				}
			})
		}
		group.Wait()
		require.Len(t, store.Keys(intaker.Prefix), 6)
		require.LessOrEqual(t, store.Calls().Writes-before, int64(3), "one for the calm ones, one for each revision of the contended ones")
	})
}
