package conductor

import (
	"fmt"
	"time"

	"egretring.example/egretring/keeper"
	"egretring.example/egretring/specifier"
)

// lane is a slot for one commit in flight.
type lane struct {
	busy   bool
	sentAt time.Time
	jobs   []laneJob
}

type laneJob struct {
	job     *job
	version uint64
	state   specifier.JobState
}

// commit writes the records of changed jobs. It uses another lane only when the writes of the busy lanes before it
// have taken at least extraLaneAfter.
func (c *Conductor) commit(now time.Time) {
	if now.Before(c.commitNotBefore) && len(c.dirty) < commitBatch {
		return
	}
	for i := range c.lanes {
		if len(c.dirty) == 0 {
			return
		}
		if c.lanes[i].busy {
			if now.Sub(c.lanes[i].sentAt) < extraLaneAfter {
				return
			}
			continue
		}
		c.fillLane(now, i)
	}
}

func (c *Conductor) fillLane(now time.Time, index int) {
	l := &c.lanes[index]
	write := Commit{Lane: index}
	var later, tooLarge []*job
	entries, bytes := 0, 0
	for i, j := range c.dirty {
		final := j.State().Final()
		needed := 1
		if final {
			needed = 2
		}
		full := bytes >= commitBytes || len(l.jobs) > 0 && (l.jobs[0].job.writtenAlone || j.writtenAlone)
		early := now.Before(j.writeNotBefore) && !final
		if j.inFlight || early || full || entries+needed > commitBatch {
			later = append(later, j)
			continue
		}
		record := c.recordOf(now, j)
		record.Remaining = c.remainingOf(j)
		value, err := record.Encode()
		if err != nil {
			// The next change of the job tries again.
			j.dirty = false
			c.logDecision("RecordInvalid", specifier.TaskID{StepID: specifier.StepID{Job: j.Spec.ID}}, 0, "", err.Error())
			continue
		}
		if len(value) > keeper.MaxValueBytes {
			j.dirty = false
			tooLarge = append(tooLarge, j)
			continue
		}
		if len(l.jobs) > 0 && bytes+len(value) > commitBytes {
			later = append(later, c.dirty[i:]...)
			break
		}
		j.dirty, j.inFlight = false, true
		j.writeNotBefore = now.Add(writeTime(len(value)))
		l.jobs = append(l.jobs, laneJob{job: j, version: j.Version(), state: j.State()})
		write.Changes = append(write.Changes, Change{Job: j.Spec.ID, Value: value, Final: final})
		entries += needed
		bytes += len(value)
	}
	c.dirty = later
	for _, j := range tooLarge {
		c.block(now, j, "the record is larger than a value of the store")
	}
	if len(write.Changes) == 0 {
		return
	}
	l.busy, l.sentAt = true, now
	c.commitNotBefore = now.Add(commitInterval)
	c.emit(write)
}

// writeTime returns the time from the write of a job's record to its next one.
func writeTime(bytes int) time.Duration {
	return time.Duration(bytes) * time.Second / jobRecordRate
}

// nextCommit returns the earliest time at which a record can be written, unless all changed jobs wait for an earlier write.
func (c *Conductor) nextCommit() (time.Time, bool) {
	var next time.Time
	found := false
	for _, j := range c.dirty {
		if j.inFlight {
			continue
		}
		at := c.commitNotBefore
		if j.writeNotBefore.After(at) && !j.State().Final() {
			at = j.writeNotBefore
		}
		if !found || at.Before(next) {
			next, found = at, true
		}
	}
	return next, found
}

func (c *Conductor) commitEnded(now time.Time, e CommitEnded) {
	l := &c.lanes[e.Lane]
	jobs := l.jobs
	c.counted.Commits++
	c.counted.Records += len(jobs)
	c.counted.LongestCommit = max(c.counted.LongestCommit, now.Sub(l.sentAt))
	l.busy, l.jobs = false, nil
	for _, written := range jobs {
		j := written.job
		j.inFlight = false
		switch {
		case !e.Invalid:
			j.writtenAlone = false
			j.Commit(written.version, written.state)
			c.sendReserved(now, j)
		case len(jobs) > 1:
			j.writtenAlone = true
			c.markDirty(j)
		default:
			c.block(now, j, "the store does not accept the record")
		}
	}
	for _, s := range c.orderedSessions() {
		c.acknowledge(now, s)
	}
}

// block withdraws the placed runs of a job that cannot be recorded, so that they hold no capacity, and tries the job again later.
// Other jobs go on.
func (c *Conductor) block(now time.Time, j *job, reason string) {
	c.logDecision("RecordRefused", specifier.TaskID{StepID: specifier.StepID{Job: j.Spec.ID}}, 0, "",
		fmt.Sprintf("%s; %d starts are withdrawn", reason, len(j.reserved)))
	j.blockedUntil = now.Add(unwritableRetry)
	c.unwritable[j] = true
	reserved := j.reserved
	j.reserved = nil
	for _, r := range reserved {
		if r.session.allocations[r.task] == r.allocation {
			c.requeue(now, r.session, r.allocation)
		}
	}
}

// retryUnwritable writes the records of jobs again whose time has come.
func (c *Conductor) retryUnwritable(now time.Time) {
	for j := range c.unwritable {
		if now.Before(j.blockedUntil) {
			continue
		}
		delete(c.unwritable, j)
		if j.Committed() < j.Version() {
			c.markDirty(j)
		}
	}
}

// sendReserved sends the start orders of the runs whose records are in the store.
func (c *Conductor) sendReserved(now time.Time, j *job) {
	kept := j.reserved[:0]
	orphans := c.orphansOf(j)
	for _, r := range j.reserved {
		switch {
		case r.session.allocations[r.task] != r.allocation:
		case r.version > j.Committed():
			kept = append(kept, r)
		case j.State().Final():
			c.settleCharge(now, r.allocation, false)
			r.session.release(r.task)
		case orphans[r.task]:
			c.logDecision("StartWithheld", r.task, r.run, r.session.id, "an orphan of the task was found")
			c.requeue(now, r.session, r.allocation)
		case c.accounts.Exceeded(r.team, r.counted):
			c.logDecision("StartWithheld", r.task, r.run, r.session.id, "the limit of the team was lowered: "+c.accounts.Usage(r.team).String())
			c.requeue(now, r.session, r.allocation)
		case r.session.isSilent():
			// The server may be down, and carry out the order once it has restarted as another kind.
			c.logDecision("StartWithheld", r.task, r.run, r.session.id, "the server does not respond")
			c.requeue(now, r.session, r.allocation)
		case !r.session.clockKnown:
			// The server has restarted since the placement, and the lease end of the order would have to be on the clock
			// of the new incarnation, which is not known yet.
			c.requeue(now, r.session, r.allocation)
		case !r.session.used.Fits(r.session.server.Capacity):
			// The capacity has shrunk since the placement.
			c.logDecision("StartWithheld", r.task, r.run, r.session.server.ID, "the capacity of the server has shrunk")
			c.requeue(now, r.session, r.allocation)
		default:
			c.sendStart(now, r.session, r.allocation)
		}
	}
	j.reserved = kept
}
