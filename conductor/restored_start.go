package conductor

import (
	"time"

	"egretring.example/egretring/lifecycler"
)

// unansweredTime is how long before the last record of an owner it may have written one with a start whose lack of a response it did
// not note any more: 600 ms until the start order counts as without a response, and 300 ms for commits that differ in length.
const unansweredTime = 900 * time.Millisecond

// restoredStarts has when the predecessor wrote its last record. It is pending while jobs were restored since it was used.
type restoredStarts struct {
	last    lifecycler.Written
	pending bool
}

func (r *restoredStarts) add(w lifecycler.Written) {
	r.pending = true
	if w.Epoch > r.last.Epoch || w.Epoch == r.last.Epoch && w.Milliseconds > r.last.Milliseconds {
		r.last = w
	}
}

// recordedStart is what the record of an earlier owner says of the start of a run. The zero value is that of an answered one.
type recordedStart struct {
	state lifecycler.StartState
	// written is when the record was written.
	written lifecycler.Written
	// doubtful is set when the start may have got no response, so that it may be carried out late.
	doubtful bool
}

// settle decides whether the start is doubtful, given when the earlier owner wrote its last record and how long before that it may have
// sent starts that are still carried out.
func (r recordedStart) settle(last lifecycler.Written, doubtTime time.Duration) recordedStart {
	switch r.state {
	case lifecycler.Unanswered:
		r.doubtful = r.written.IsWithin(last, unansweredTime)
	case lifecycler.Doubtful:
		r.doubtful = r.written.IsWithin(last, doubtTime)
	}
	r.state = lifecycler.Answered
	return r
}

// awaitRestoredStarts awaits late starts of the predecessor whose outcome it may not have known.
func (c *Conductor) awaitRestoredStarts() {
	if !c.restoredStarts.pending {
		return
	}
	c.restoredStarts.pending = false
	for _, s := range c.sessions {
		for _, a := range s.allocations {
			if a.recorded.state == lifecycler.Answered {
				continue
			}
			a.recorded = a.recorded.settle(c.restoredStarts.last, lateStartTime+leaseBound(c.settings.maxLease))
			if a.recorded.doubtful {
				c.awaitLateStart(c.startedAt, a)
			}
		}
	}
}

// recordOf returns the record of a job for a write at the given time.
func (c *Conductor) recordOf(now time.Time, j *job) lifecycler.Record {
	record := j.Record()
	record.Written = lifecycler.Written{Epoch: c.epoch, Milliseconds: now.Sub(c.startedAt).Milliseconds()}
	c.unanswered.writtenAt = now
	if record.HasUnanswered() {
		c.unanswered.job, c.unanswered.since = j, now
	}
	return record
}

// unanswered is the last record with unanswered starts that was written.
type unanswered struct {
	job   *job
	since time.Time
	// writtenAt is when any record was last written.
	writtenAt time.Time
}

// closeUnanswered writes a record again when nothing was written for unansweredTime after it. Without that, a successor would find the
// last starts of an owner that has little to do to be recent.
func (c *Conductor) closeUnanswered(now time.Time) {
	u := &c.unanswered
	if u.job == nil || now.Sub(u.since) <= unansweredTime {
		return
	}
	if j := u.job; u.writtenAt.Sub(u.since) <= unansweredTime && c.jobs[j.Spec.ID] == j && !j.State().Final() {
		c.markDirty(j)
	}
	u.job = nil
}

// noteDoubt writes down that a start has got no response, so that a successor knows.
func (c *Conductor) noteDoubt(a *allocation) {
	if j := c.jobs[a.task.Job]; j != nil && j.NoteStart(a.task, a.run, lifecycler.Doubtful) {
		c.markDirty(j)
	}
}
