package coordinator_test

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/classifier"
	"egretring.example/egretring/intaker"
	"egretring.example/egretring/keeper"
	"egretring.example/egretring/rater"
	"egretring.example/egretring/specifier"
)

// submitAs submits a job of a team that takes half of the backend server.
func (c *cell) submitAs(instance int, team, id string) error {
	return c.submitWithin(callerTimeout, instance, team, id)
}

func (c *cell) submitWithin(patience time.Duration, instance int, team, id string) error {
	queue, err := c.instances[instance].Queue("h", "/q/x")
	require.NoError(c.t, err)
	ctx, cancel := context.WithTimeout(c.t.Context(), patience)
	defer cancel()
	return c.instances[instance].Submit(ctx, specifier.Job{ID: specifier.JobID(id), Team: team, Queue: queue, Steps: []specifier.Step{{
		Count: 1, Need: specifier.Resources{MilliCores: 32000}, Estimate: runTime,
	}}})
}

// TestFloodIsRefusedEarly guards against a flood that entry instances accept although it cannot be served, against refusals of other teams
// and of jobs that are stored already, against a refused job that is stored or is refused again when it returns, and against refusals after
// the flood.
func TestFloodIsRefusedEarly(t *testing.T) {
	runWithCell(t, 3, func(t *testing.T, c *cell) {
		c.mu.Lock()
		c.current.Version, c.current.Revision = 2, 2
		c.current.Teams = specifier.NewTeams(specifier.Team{Name: "flood", Weight: 2}, specifier.Team{Name: "other", Weight: 2})
		c.mu.Unlock()
		time.Sleep(3 * time.Second)
		var accepted, refused []string
		undecided := 0
		retryAt := make(map[string]time.Time)
		for i := range 200 {
			time.Sleep(100 * time.Millisecond)
			id := fmt.Sprintf("flood-%d", i)
			err := c.submitAs(i%2, "flood", id)
			if classifier.IsErrKind(err, classifier.OutcomeUnknown) {
				// The window has reached the job a moment ago, and the instance has learned it from the store.
				undecided++
				require.LessOrEqual(t, time.Until(classifier.RetryAtOf(err)), time.Second)
				time.Sleep(time.Until(classifier.RetryAtOf(err)))
				err = c.submitAs(i%2, "flood", id)
				require.NoError(t, err, "a job that was not decided comes back")
			}
			if err == nil {
				accepted = append(accepted, id)
			} else {
				require.True(t, classifier.IsErrKind(err, classifier.LimitReached), "%v", err)
				refused = append(refused, id)
				retryAt[id] = classifier.RetryAtOf(err)
			}
			if i%10 == 0 {
				require.NoError(t, c.submitAs(i%3, "other", fmt.Sprintf("other-%d", i)))
			}
			for instance := range 2 {
				require.NoError(t, c.submitAs(instance, "flood", accepted[0]), "a job that is stored")
			}
			if len(refused) == 20 && err != nil {
				// The last instance has sent no submission of the team, and learns the refusals with the configuration.
				_, err := c.instances[2].NewerConfiguration(t.Context(), 2, 0)
				require.NoError(t, err)
				require.True(t, classifier.IsErrKind(c.submitAs(2, "flood", id), classifier.LimitReached))
			}
		}
		require.Greater(t, len(refused), 20)
		t.Logf("%d accepted, %d refused, %d not decided at first", len(accepted), len(refused), undecided)
		require.Less(t, undecided, len(refused)/5)
		for _, id := range refused {
			for instance := range c.instances {
				_, known, err := c.instances[instance].State(t.Context(), specifier.Caller{Unchecked: true}, specifier.JobID(id))
				require.NoError(t, err)
				require.False(t, known)
			}
		}
		last := refused[len(refused)-1]
		time.Sleep(time.Until(retryAt[last]))
		require.NoError(t, c.submitAs(0, "flood", last))
		time.Sleep(time.Minute)
		for _, id := range append(accepted, last) {
			c.servers.mu.Lock()
			starts := c.servers.starts[specifier.StepID{Job: specifier.JobID(id)}.Task(0)]
			c.servers.mu.Unlock()
			require.Equal(t, 1, starts, id)
		}
		for i := range 8 {
			require.NoError(t, c.submitAs(i%3, "flood", fmt.Sprintf("after-%d", i)))
		}
	})
}

// flooded runs a test while a team sends more than can be served, through the second and the third instance.
func flooded(t *testing.T, c *cell, test func()) {
	t.Helper()
	c.mu.Lock()
	c.current.Version, c.current.Revision = 2, 2
	c.current.Teams = specifier.NewTeams(specifier.Team{Name: "flood", Weight: 2}, specifier.Team{Name: "other", Weight: 2})
	c.mu.Unlock()
	time.Sleep(3 * time.Second)
	ended := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-ended:
				return
			case <-time.After(100 * time.Millisecond):
				_ = c.submitAs(1+i%2, "flood", fmt.Sprintf("flood-%d", i))
			}
		}
	})
	test()
	close(ended)
	group.Wait()
}

// lateJob is a job whose first submission ends without a confirmation.
type lateJob struct {
	id string
	// first and repeated are the results of its two submissions.
	first, repeated error
}

// submitLate submits jobs through the last instance. Their commits take effect late, also those of the owner. Each job is submitted again
// through another instance once its caller has given up.
func submitLate(t *testing.T, c *cell, jobs int) []lateJob {
	t.Helper()
	var first sync.Map
	lateBy := func(transaction keeper.Transaction) time.Duration {
		for _, w := range transaction.Writes {
			if late, found := first.Load(w.Key); found {
				return late.(time.Duration)
			}
			if c.lateKey != nil && c.lateKey(w.Key) {
				return longestLate
			}
		}
		return 0
	}
	for _, store := range c.stores {
		store.lateBy.Store(&lateBy)
	}
	last := len(c.instances) - 1
	late := make([]lateJob, jobs)
	var group sync.WaitGroup
	for i := range late {
		time.Sleep(300 * time.Millisecond)
		late[i].id = fmt.Sprintf("late-%d", i)
		group.Go(func() {
			key := intaker.JobKey(specifier.JobID(late[i].id))
			// Some commits take effect soon and some callers give up soon, so that no other statement comes into force meanwhile.
			first.Store(key, longestLate>>(i/5%5))
			late[i].first = c.submitWithin(callerTimeout>>(i%5), last, "flood", late[i].id)
			first.Delete(key)
			late[i].repeated = c.submitAs(1+i%2, "flood", late[i].id)
		})
	}
	group.Wait()
	return late
}

// requireTrue checks that no refused job was stored, that each accepted one has run once, and that some were refused.
func requireTrue(t *testing.T, c *cell, late []lateJob) {
	t.Helper()
	var untrue []string
	unconfirmed, refused, undecided := 0, 0, 0
	for _, job := range late {
		if job.first == nil || classifier.IsErrNotRun(job.first) {
			continue
		}
		unconfirmed++
		c.servers.mu.Lock()
		starts := c.servers.starts[specifier.StepID{Job: specifier.JobID(job.id)}.Task(0)]
		c.servers.mu.Unlock()
		switch {
		case job.repeated == nil:
			require.Equal(t, 1, starts, job.id)
		case classifier.IsErrNotRun(job.repeated):
			refused++
			if starts > 0 {
				untrue = append(untrue, job.id)
			}
		default:
			undecided++
		}
	}
	t.Logf("of %d unconfirmed jobs %d were refused when repeated, %d got no decision, %d of the refused ones ran", unconfirmed, refused, undecided, len(untrue))
	require.Empty(t, untrue, "refused jobs that ran")
	require.Positive(t, refused)
}

// TestRefusedJobNeverRuns guards against a refusal of a job whose earlier submission is still under way to the store and takes effect
// later: the first submission came before the refusals began, or while they permitted the job. It also guards against refusals that end because
// instances cannot learn them from the owner.
func TestRefusedJobNeverRuns(t *testing.T) {
	cases := []struct {
		name string
		// disturb is called before the flood, and its result during it.
		disturb func(c *cell) func()
	}{
		{"calm", func(*cell) func() { return func() {} }},
		{"owner is cut off from the other instances", func(c *cell) func() {
			return func() { c.network.CutOff("instance-0") }
		}},
		{"owner ends", func(c *cell) func() {
			return func() {
				require.NoError(t, c.instances[0].Stop())
				c.instances[0] = nil
			}
		}},
		{"store refuses the first instance, and the owner stores its jobs", func(c *cell) func() {
			return func() { c.stores[3].refusing.Store(true) }
		}},
		{"some statements take effect late", func(c *cell) func() {
			c.lateKey = func(key string) bool {
				return strings.HasPrefix(key, "egretring/refusals/") && time.Now().Unix()%5 == 0
			}
			return func() {}
		}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			var subject *cell
			var late []lateJob
			runWithCell(t, 4, func(t *testing.T, c *cell) {
				subject = c
				disturb := test.disturb(c)
				flooded(t, c, func() {
					time.AfterFunc(15*time.Second, disturb)
					late = submitLate(t, c, 120)
				})
				c.stores[3].refusing.Store(false)
				time.Sleep(time.Minute)
			})
			requireTrue(t, subject, late)
		})
	}
}

// intakeCalls are the transactions and reads of an instance for submissions.
type intakeCalls struct{ commits, reads int64 }

// countIntake counts the transactions of an instance that store jobs, and checks their conditions.
func countIntake(store *faultyStore, check func(keeper.Transaction)) func() intakeCalls {
	var commits atomic.Int64
	readsBefore := store.reads.Load()
	count := func(transaction keeper.Transaction) time.Duration {
		if slices.ContainsFunc(transaction.Writes, func(w keeper.Write) bool { return strings.HasPrefix(w.Key, intaker.JobKey("")) }) {
			commits.Add(1)
			check(transaction)
		}
		return 0
	}
	store.lateBy.Store(&count)
	return func() intakeCalls {
		return intakeCalls{commits: commits.Load(), reads: store.reads.Load() - readsBefore}
	}
}

// TestCostOfStatements guards against more store calls than one for a submission of a team that is not refused, than one write a second for a
// team that is, and against conditions on statements without teams.
func TestCostOfStatements(t *testing.T) {
	runWithCell(t, 4, func(t *testing.T, c *cell) {
		calls := countIntake(c.stores[3], func(transaction keeper.Transaction) {
			for _, condition := range transaction.Conditions {
				require.False(t, strings.HasPrefix(condition.Key, "egretring/refusals/"))
			}
		})
		for i := range 10 {
			require.NoError(t, c.submit(3, specifier.JobID(fmt.Sprint("free-", i))))
		}
		require.Equal(t, intakeCalls{commits: 10}, calls())
		require.Empty(t, c.store.Keys("egretring/refusals/"))

		ofOther := countIntake(c.stores[3], func(keeper.Transaction) {})
		ofFlood := countIntake(c.stores[1], func(keeper.Transaction) {})
		var statements atomic.Int64
		count := func(transaction keeper.Transaction) time.Duration {
			if slices.ContainsFunc(transaction.Writes, func(w keeper.Write) bool { return strings.HasPrefix(w.Key, "egretring/refusals/") }) {
				statements.Add(1)
			}
			return 0
		}
		c.stores[0].lateBy.Store(&count)
		flooded(t, c, func() {
			for i := range 60 {
				time.Sleep(time.Second)
				require.NoError(t, c.submitAs(3, "other", fmt.Sprint("other-", i)))
			}
		})
		require.Equal(t, intakeCalls{commits: 60}, ofOther())
		require.Positive(t, statements.Load())
		require.LessOrEqual(t, statements.Load(), int64(60))
		t.Logf("%d statements in 60 s, calls of an instance for about 300 submissions of the flood: %+v", statements.Load(), ofFlood())
	})
}

// TestDecisionsByStatement guards against a refusal under a statement that may have been replaced, against a job that is stored although another
// instance may have refused it since it arrived, and against refusals that never end because no owner repeats them.
func TestDecisionsByStatement(t *testing.T) {
	runWithCell(t, 2, func(t *testing.T, c *cell) {
		c.limitTeam(t, 64000)
		line := rater.Line{Team: "t"}
		refusal := rater.Refusal{Line: line, Share: 0.9, Turn: 30 * time.Second}
		var ids []string
		for i := 0; len(ids) < 8; i++ {
			if id := fmt.Sprint("job-", i); refusal.Refuses(specifier.JobID(id)) {
				ids = append(ids, id)
			}
		}
		current := rater.Stated{Team: "t"}
		state := func(refusals ...rater.Refusal) {
			next := current.Next(refusals)
			value, err := json.Marshal(next)
			require.NoError(t, err)
			current.Revision, err = c.store.Commit(t.Context(), keeper.Transaction{Writes: []keeper.Write{{Key: "egretring/refusals/t", Value: value}}})
			require.NoError(t, err)
			current.Statement = next
		}
		submit := func(id string) classifier.Kind {
			if err := c.submitAs(1, "t", id); err != nil {
				return classifier.KindOf(err)
			}
			return -1
		}
		require.EqualValues(t, -1, submit(ids[0]))
		state(refusal)
		require.Equal(t, classifier.LimitReached, submit(ids[1]), "by the conflict")
		require.Equal(t, classifier.LimitReached, submit(ids[1]))
		require.EqualValues(t, -1, submit(ids[0]), "a job that is stored")
		time.Sleep(rater.MinStatementTime)
		state()
		require.Equal(t, classifier.OutcomeUnknown, submit(ids[2]), "the known statement is no longer in force, and it refuses the job")
		require.EqualValues(t, -1, submit(ids[2]))
		time.Sleep(rater.MinStatementTime)
		state(refusal)
		time.Sleep(rater.MinStatementTime)
		state()
		require.Equal(t, classifier.OutcomeUnknown, submit(ids[3]), "an unknown statement has refused the job, maybe since it arrived")
		state(refusal)
		require.Equal(t, classifier.LimitReached, submit(ids[4]))
		c.stores[1].refusing.Store(true)
		require.Equal(t, classifier.OutcomeUnknown, submit(ids[4]), "the statement may have been replaced")
		c.stores[1].refusing.Store(false)
		time.Sleep(rater.MaxAge)
		require.Equal(t, classifier.OutcomeUnknown, submit(ids[4]), "no owner has repeated the statement")
		require.EqualValues(t, -1, submit(ids[4]))
		entry, err := c.store.Get(t.Context(), "egretring/refusals/t")
		require.NoError(t, err)
		require.Greater(t, entry.Revision, current.Revision)
	})
}
