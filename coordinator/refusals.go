package coordinator

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"egretring.example/egretring/classifier"
	"egretring.example/egretring/intaker"
	"egretring.example/egretring/keeper"
	"egretring.example/egretring/rater"
	"egretring.example/egretring/specifier"
)

// maxRefusedTeam is the longest name, in bytes, of a team whose jobs are refused beyond its rate. The store's keys have 200 bytes at
// most, and one has the name.
const maxRefusedTeam = 128

// undecidedRetry is the time after which a submission without a decision should be repeated. The instance knows the newest statement by then.
const undecidedRetry = time.Second

// knownStatements are the statements about refusals that this instance knows.
type knownStatements struct {
	mu         sync.Mutex
	statements rater.Statements
}

func (k *knownStatements) learn(at time.Time, told []rater.Stated) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, stated := range told {
		k.statements.Learn(at, stated)
	}
}

func (k *knownStatements) observe(now time.Time, stated rater.Stated) rater.Stated {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.statements.Observe(now, stated)
}

func (k *knownStatements) of(now time.Time, team string) rater.Stated {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.statements.Of(now, team)
}

func (k *knownStatements) told(now time.Time) []rater.Stated {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.statements.Told(now)
}

// submission is a job that a caller submits.
type submission struct {
	job       specifier.Job
	arrivedAt time.Time
	// permit is the statement about refusals under which the job may be stored. It was in force when the job arrived, or later.
	permit rater.Stated
}

// line returns the line in which the job waits.
func (s *submission) line() rater.Line {
	return rater.Line{Team: s.job.Team, Priority: s.job.Queue.Priority}
}

// fenceOf returns the condition on which a job is stored: the statement about its team has not been replaced. There is none for a job without
// a team.
func (c *Coordinator) fenceOf(job specifier.Job, permit int64) intaker.Fence {
	if job.Team == "" || len(job.Team) > maxRefusedTeam {
		return intaker.Fence{}
	}
	return intaker.Fence{
		Condition: keeper.Condition{Key: refusalKey(job.Team), Revision: permit},
		Contended: len(c.statements.of(c.settings.clock.Now(), job.Team).Refusals) > 0,
	}
}

// checkRate decides whether a submission may be stored, by the newest statement about its team. It reports true for a job that is stored
// already, whose caller repeats it. A job is refused only under a statement that was in force after it arrived.
func (c *Coordinator) checkRate(ctx context.Context, s *submission) (accepted bool, err error) {
	if s.job.Team == "" {
		return false, nil
	}
	s.permit = c.statements.of(s.arrivedAt, s.job.Team)
	if !s.permit.Refuses(s.line(), s.job.ID) {
		return false, nil
	}
	current := s.permit
	if !current.IsCertain() {
		entry, err := c.settings.store.Get(ctx, refusalKey(s.job.Team))
		if err != nil {
			return false, c.undecided(s, current, "store does not tell the newest decision: "+err.Error())
		}
		current = c.observeStatement(s.job.Team, entry)
	}
	return c.judge(ctx, s, current, false)
}

// decideAgain decides a submission that was not stored because the statement about its team has been replaced by one that the entry has. The
// job was not stored when the entry was read.
func (c *Coordinator) decideAgain(ctx context.Context, s *submission, entry keeper.Entry) error {
	c.settings.meter.Count("Submissions.DecidedAgain", 1)
	_, err := c.judge(ctx, s, c.observeStatement(s.job.Team, entry), true)
	return err
}

// judge decides a submission by a statement that was in force after it arrived.
func (c *Coordinator) judge(ctx context.Context, s *submission, current rater.Stated, isAbsent bool) (accepted bool, err error) {
	sinceArrival := c.settings.clock.Now().Sub(s.arrivedAt)
	if current.Permits(s.line(), s.job.ID, s.permit, sinceArrival) {
		s.permit = current
		return false, nil
	}
	if !isAbsent {
		if accepted, err := c.acceptedBefore(ctx, s.job); err != nil || accepted {
			return accepted, err
		}
	}
	if !current.Refuses(s.line(), s.job.ID) {
		return false, c.undecided(s, current, "another instance may have refused it since it arrived")
	}
	if current.Expired() {
		return false, c.undecided(s, current, c.endRefusals(ctx, current))
	}
	refusal := current.Refusal(s.line())
	c.settings.meter.Count("Submissions.RefusedBeyondRate", 1)
	return false, classifier.New(classifier.LimitReached,
		"team %s is beyond its rate, and new jobs of priority %d would start too late; job %s was not accepted and never runs (share refused %.2f, decided %s ago, revision %d)",
		s.job.Team, s.job.Queue.Priority, s.job.ID, refusal.Share, current.Age.Round(time.Millisecond), current.Revision).
		WithRetryAt(time.Now().Add(refusal.Wait(s.job.ID, current.Age)))
}

// undecided returns the error for a submission of which it is not known whether another instance has refused it. It promises nothing.
func (c *Coordinator) undecided(s *submission, current rater.Stated, reason string) error {
	c.settings.meter.Count("Submissions.Undecided", 1)
	return classifier.New(classifier.OutcomeUnknown, "job %s of team %s, which is beyond its rate, is neither accepted nor refused: %s (revision %d, decided %s ago)",
		s.job.ID, s.job.Team, reason, current.Revision, current.Age.Round(time.Millisecond)).WithRetryAt(time.Now().Add(undecidedRetry))
}

// endRefusals replaces a statement that the owner should have replaced by one without refusals, and returns a description of the outcome. Jobs
// that the old statement refuses cannot be stored before, because another instance may still apply it. An expired statement has been in force
// for more than rater.MinStatementTime, also if the answer that told it took long.
func (c *Coordinator) endRefusals(ctx context.Context, expired rater.Stated) string {
	next := expired.Next(nil)
	value, err := json.Marshal(next)
	if err != nil {
		return "encode statement: " + err.Error()
	}
	key := refusalKey(expired.Team)
	revision, err := c.settings.store.Commit(ctx, keeper.Transaction{
		Conditions: []keeper.Condition{{Key: key, Revision: expired.Revision}}, Writes: []keeper.Write{{Key: key, Value: value}},
	})
	if err != nil {
		return "its refusal is too old, and could not be ended: " + err.Error()
	}
	c.settings.logger.Info("refusals ended; the owner has not repeated them", "Team", expired.Team, "Revision", revision, "Age", expired.Age.String())
	c.statements.observe(c.settings.clock.Now(), rater.Stated{Team: expired.Team, Revision: revision, Statement: next})
	return "its refusal is too old, and ends"
}

// observeStatement learns the statement about a team that was read from the store. One that cannot be decoded refuses nothing.
func (c *Coordinator) observeStatement(team string, entry keeper.Entry) rater.Stated {
	stated := rater.Stated{Team: team, Revision: entry.Revision}
	if entry.Revision != 0 {
		if err := json.Unmarshal(entry.Value, &stated.Statement); err != nil {
			c.settings.logger.Error("refusals cannot be decoded", "Team", team, "Revision", entry.Revision, "Error", err.Error())
			stated.Statement = rater.Statement{}
		}
	}
	return c.statements.observe(c.settings.clock.Now(), stated)
}

// acceptedBefore reports whether the team of a job has a job with its ID: the caller repeats a submission that was accepted. The submission is
// read first, because the record replaces it at the end of the job.
func (c *Coordinator) acceptedBefore(ctx context.Context, job specifier.Job) (bool, error) {
	for _, key := range []string{intaker.JobKey(job.ID), intaker.StateKey(job.ID)} {
		entry, err := c.settings.store.Get(ctx, key)
		if err != nil {
			return false, classifier.Wrap(err, classifier.OutcomeUnknown, "read job %s, which may have been accepted before", job.ID)
		}
		if entry.Revision != 0 {
			team, err := intaker.TeamOf(entry.Value)
			return (specifier.Caller{Team: job.Team}).Owns(team), err
		}
	}
	return false, nil
}
