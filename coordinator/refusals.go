package coordinator

import (
	"context"
	"sync"
	"time"

	"egretring.example/egretring/classifier"
	"egretring.example/egretring/intaker"
	"egretring.example/egretring/rater"
	"egretring.example/egretring/specifier"
)

// learnedRefusals are the refusals that this instance has learned from the owner.
type learnedRefusals struct {
	mu       sync.Mutex
	refusals rater.Refusals
}

func (l *learnedRefusals) learn(now time.Time, refusal rater.Refusal) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refusals.Learn(now, refusal)
}

func (l *learnedRefusals) learnAll(now time.Time, refusals []rater.Refusal) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refusals.LearnAll(now, refusals)
}

func (l *learnedRefusals) of(now time.Time, line rater.Line) rater.Refusal {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.refusals.For(now, line)
}

// statedRefusals are the refusals of the owner's last decision.
type statedRefusals struct {
	refusals []rater.Refusal
	at       time.Time
}

// currentRefusals returns the refusals of the owner's last decision as they are now.
func (o *owner) currentRefusals() []rater.Refusal {
	stated := o.refusals.Load()
	if stated == nil || len(stated.refusals) == 0 {
		return nil
	}
	elapsed := o.settings.clock.Now().Sub(stated.at)
	current := make([]rater.Refusal, 0, len(stated.refusals))
	for _, r := range stated.refusals {
		current = append(current, r.After(elapsed))
	}
	return current
}

// lineOf returns the line in which a job waits.
func lineOf(job specifier.Job) rater.Line {
	return rater.Line{Team: job.Team, Priority: job.Queue.Priority}
}

// refusalOf returns the refusal of a line; one that refuses nothing if there is none.
func (o *owner) refusalOf(line rater.Line) rater.Refusal {
	for _, r := range o.currentRefusals() {
		if r.Line == line {
			return r
		}
	}
	return rater.Refusal{Line: line}
}

// refusalOf returns the refusal of a line that this instance knows.
func (c *Coordinator) refusalOf(line rater.Line) rater.Refusal {
	if o := c.owner.Load(); o != nil {
		return o.refusalOf(line)
	}
	return c.refusals.of(c.settings.clock.Now(), line)
}

// checkRate refuses a submission if the owner has requested that for its team and priority. A job that is stored already is not
// refused: its caller repeats the submission, and the job may run.
func (c *Coordinator) checkRate(ctx context.Context, job specifier.Job) error {
	if job.Team == "" {
		return nil
	}
	refusal := c.refusalOf(lineOf(job))
	wait, refused := refusal.Refuses(job.ID)
	if !refused || c.mayBeStored(ctx, job.ID) {
		return nil
	}
	c.settings.meter.Count("Submissions.RefusedBeyondRate", 1)
	return classifier.New(classifier.LimitReached,
		"team %s is beyond its rate, and new jobs of priority %d would start too late; job %s was not accepted and never runs (share refused %.2f, decided %s ago)",
		job.Team, job.Queue.Priority, job.ID, refusal.Share, refusal.Age.Round(time.Millisecond)).WithRetryAt(time.Now().Add(wait))
}

// mayBeStored reports whether a job is in the store, or the store cannot be read. The submission is read first, because the record
// replaces it at the end of the job.
func (c *Coordinator) mayBeStored(ctx context.Context, id specifier.JobID) bool {
	for _, key := range []string{intaker.JobKey(id), intaker.StateKey(id)} {
		entry, err := c.settings.store.Get(ctx, key)
		if err != nil || entry.Revision != 0 {
			return true
		}
	}
	return false
}
