package intaker_test

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/classifier"
	"egretring.example/egretring/fakekeeper"
	"egretring.example/egretring/intaker"
	"egretring.example/egretring/specifier"
)

const patience = 3 * time.Second

func accept(t *testing.T, i *intaker.Intaker, id specifier.JobID) error {
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	return i.Accept(ctx, specifier.Job{ID: id})
}

func play(t *testing.T, test func(t *testing.T, store *fakekeeper.Transactional, subject *intaker.Intaker)) {
	synctest.Test(t, func(t *testing.T) {
		store := fakekeeper.NewTransactional()
		subject := intaker.New(store, slog.New(slog.NewTextHandler(io.Discard, nil)))
		test(t, store, subject)
		require.NoError(t, subject.Close())
	})
}

// TestAccept guards against the outcomes that the cases name: a refusal that is not true, a job that is stored twice,
// and an accepted job that is not stored.
func TestAccept(t *testing.T) {
	cases := []struct {
		name   string
		faults fakekeeper.Faults
		// kind is the kind of the error; -1 means accepted.
		kind   classifier.Kind
		stored bool
	}{
		{"calm", fakekeeper.Faults{}, -1, true},
		{"answer lost", fakekeeper.Faults{LoseWriteAnswers: 1}, -1, true},
		{"write late", fakekeeper.Faults{LoseWriteAnswers: 1, LateBy: 2 * time.Second}, -1, true},
		{"store refuses", fakekeeper.Faults{Refuse: true}, classifier.Overloaded, false},
		{"all answers lost and writes late", fakekeeper.Faults{LoseWriteAnswers: 1000, LateBy: 5 * time.Second}, classifier.OutcomeUnknown, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			play(t, func(t *testing.T, store *fakekeeper.Transactional, subject *intaker.Intaker) {
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

// TestSameJobAgain guards against a job that is submitted again becoming a second one, or being refused.
func TestSameJobAgain(t *testing.T) {
	play(t, func(t *testing.T, store *fakekeeper.Transactional, subject *intaker.Intaker) {
		require.NoError(t, accept(t, subject, "a"))
		before := store.Calls().Writes
		require.NoError(t, accept(t, subject, "a"))
		require.Equal(t, before+1, store.Calls().Writes)
	})
}

// TestTogether guards against submissions that arrive together being lost, and against a write for each of them.
func TestTogether(t *testing.T) {
	play(t, func(t *testing.T, store *fakekeeper.Transactional, subject *intaker.Intaker) {
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

// TestSilentStore guards against callers who wait for a store that is known to give no answers.
func TestSilentStore(t *testing.T) {
	play(t, func(t *testing.T, store *fakekeeper.Transactional, subject *intaker.Intaker) {
		store.SetFaults(fakekeeper.Faults{Down: true})
		require.Equal(t, classifier.OutcomeUnknown, classifier.KindOf(accept(t, subject, "a")))
		askedAt := time.Now()
		require.Equal(t, classifier.Overloaded, classifier.KindOf(accept(t, subject, "c")))
		require.Zero(t, time.Since(askedAt))
		require.False(t, subject.Reachable())
		store.SetFaults(fakekeeper.Faults{})
		subject.Observe(true)
		require.True(t, subject.Reachable())
		require.NoError(t, accept(t, subject, "b"))
		require.NotContains(t, store.Keys(intaker.Prefix), intaker.JobKey("c"))
	})
}

// TestCancel guards against cancellations of unknown jobs being confirmed, and against lost cancellations.
func TestCancel(t *testing.T) {
	play(t, func(t *testing.T, store *fakekeeper.Transactional, subject *intaker.Intaker) {
		known, err := subject.Cancel(t.Context(), "a")
		require.NoError(t, err)
		require.False(t, known)
		require.NoError(t, accept(t, subject, "a"))
		store.SetFaults(fakekeeper.Faults{LoseWriteAnswers: 1})
		known, err = subject.Cancel(t.Context(), "a")
		require.NoError(t, err)
		require.True(t, known)
		require.Contains(t, store.Keys(intaker.Prefix), intaker.CancelKey("a"))
	})
}

// TestRetryOutlastsOutage guards against callers who use up their few retries within an outage: one who comes back when
// told to, four times at most, has to be accepted after five seconds without a store.
func TestRetryOutlastsOutage(t *testing.T) {
	play(t, func(t *testing.T, store *fakekeeper.Transactional, subject *intaker.Intaker) {
		store.SetFaults(fakekeeper.Faults{Refuse: true})
		time.AfterFunc(5*time.Second, func() {
			store.SetFaults(fakekeeper.Faults{})
			subject.Observe(true)
		})
		subject.Observe(false)
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

// TestDoubtEndsEarly guards against callers that wait until their deadline for a store that has stopped answering, and then
// have no time left to submit their job elsewhere.
func TestDoubtEndsEarly(t *testing.T) {
	play(t, func(t *testing.T, store *fakekeeper.Transactional, subject *intaker.Intaker) {
		store.SetFaults(fakekeeper.Faults{Delay: time.Minute})
		begun := time.Now()
		require.Equal(t, classifier.OutcomeUnknown, classifier.KindOf(accept(t, subject, "a")))
		require.Less(t, time.Since(begun), patience/2)
		store.SetFaults(fakekeeper.Faults{})
	})
}
