package conductor

import (
	"fmt"
	"time"

	"egretring.example/egretring/lifecycler"
	"egretring.example/egretring/specifier"
)

// lane is one write to the store at a time.
type lane struct {
	busy   bool
	sentAt time.Time
	jobs   []committing
}

type committing struct {
	job     *job
	version uint64
	state   specifier.JobState
}

// commit writes the records of changed jobs. A second lane is used only while a write takes long.
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
		c.fill(now, i)
	}
}

func (c *Conductor) fill(now time.Time, index int) {
	l := &c.lanes[index]
	write := Commit{Lane: index}
	var later []*job
	for _, j := range c.dirty {
		if j.inFlight || len(write.Changes) == commitBatch {
			later = append(later, j)
			continue
		}
		value, err := j.Record().Encode()
		if err != nil {
			c.decide("RecordInvalid", specifier.TaskID{StepID: specifier.StepID{Job: j.Spec.ID}}, 0, "", err.Error())
			continue
		}
		j.dirty, j.inFlight = false, true
		l.jobs = append(l.jobs, committing{job: j, version: j.Version(), state: j.State()})
		write.Changes = append(write.Changes, Change{Job: j.Spec.ID, Value: value})
	}
	c.dirty = later
	if len(write.Changes) == 0 {
		return
	}
	l.busy, l.sentAt = true, now
	c.commitNotBefore = now.Add(commitInterval)
	c.emit(write)
}

func (c *Conductor) commitEnded(now time.Time, index int) {
	l := &c.lanes[index]
	jobs := l.jobs
	l.busy, l.jobs = false, nil
	for _, done := range jobs {
		done.job.inFlight = false
		done.job.Commit(done.version, done.state)
		c.sendReserved(now, done.job)
	}
	for _, s := range c.sessions {
		c.acknowledge(now, s)
	}
}

// sendReserved orders the runs whose records are in the store.
func (c *Conductor) sendReserved(now time.Time, j *job) {
	kept := j.reserved[:0]
	for _, r := range j.reserved {
		switch {
		case r.session.allocations[r.task] != r.allocation:
		case r.version > j.Committed():
			kept = append(kept, r)
		case j.State().Final():
			r.session.release(r.task)
		case !r.session.clockKnown:
			// The server has restarted since the placement; a lease on the clock of its earlier life means nothing now.
			c.vanish(now, r.session, r.allocation)
		default:
			c.send(now, r.session, r.allocation)
		}
	}
	j.reserved = kept
}

func (c *Conductor) send(now time.Time, s *session, a *allocation) {
	a.state = sent
	a.startedAt = now
	a.order.Fence = s.fence
	a.fence = s.fence
	a.order.LeaseEnd = s.serverTime(now) + startLease
	s.extendLease(now.Add(startLease + leaseMargin))
	c.emit(Start{Server: s.server, Order: a.order})
}

// acknowledge advances the number of the newest end that the store has.
func (c *Conductor) acknowledge(now time.Time, s *session) {
	for len(s.pending) > 0 {
		first := s.pending[0]
		if j := c.jobs[first.job]; j != nil && j.Committed() < first.version {
			return
		}
		s.acknowledged = first.number
		s.pending = s.pending[1:]
		if len(s.pending) == 0 {
			s.nextHoldAt = now
		}
	}
}

// orderEnded applies the result of a start or a stop.
func (c *Conductor) orderEnded(now time.Time, e OrderEnded) {
	s := c.sessions[e.Server]
	if s == nil || s.server.Born != e.Born {
		return
	}
	a := s.allocations[e.Task]
	if a == nil || a.run != e.Run {
		return
	}
	if e.Stop {
		if e.Result == specifier.OrderDone || e.Result == specifier.OrderObsolete {
			a.resolvedAt = now
		}
		return
	}
	c.startEnded(now, s, a, e)
}

func (c *Conductor) startEnded(now time.Time, s *session, a *allocation, e OrderEnded) {
	if a.state != sent || e.Fence != a.fence {
		return
	}
	switch e.Result {
	case specifier.OrderDone:
		a.state = confirmed
		a.resolvedAt = now
		c.begin(a.task.Job)
		return
	case specifier.OrderUnknown:
		a.state = doubtful
		c.doubt(now, s, a.fence)
		c.decide("StartDoubtful", a.task, a.run, s.server.ID, "")
		return
	case specifier.OrderFenced:
		if e.Fence == s.fence {
			c.resign(fmt.Sprintf("backend server %s has seen a higher fencing token", s.server.ID))
			a.state = doubtful
			return
		}
	case specifier.OrderUnhealthy:
		c.suspect(now, s)
		c.suspectZone(now, s.server.Zone)
		s.health.exclude(now)
	case specifier.OrderInvalid:
		s.health.exclude(now)
	case specifier.OrderNoTicket:
		c.dropTicket(a.task.StepID, s.server.ID)
	case specifier.OrderNoRoom, specifier.OrderOtherLife:
		c.doubt(now, s, a.fence)
	}
	c.decide("StartRefused", a.task, a.run, s.server.ID, e.Result.String())
	c.vanish(now, s, a)
}

// doubt raises the fencing token of a server above that of an order, so that the order takes no effect after the
// server's next answer.
func (c *Conductor) doubt(now time.Time, s *session, fence int64) {
	if s.fence == fence {
		s.fence++
	}
	c.suspect(now, s)
	c.suspectZone(now, s.server.Zone)
}

// suspect asks a server at once whether it still answers; until then it gets no new runs.
func (c *Conductor) suspect(now time.Time, s *session) {
	s.suspect = true
	s.holdInFlight = false
	s.nextHoldAt = now
}

// suspectZone asks all servers of an availability zone in which several gave no answer, because a partition cuts them
// off together.
func (c *Conductor) suspectZone(now time.Time, zone string) {
	silent := 0
	for _, s := range c.sessions {
		if s.server.Zone == zone && s.listed && (s.suspect || s.holdFailures > 0) {
			silent++
		}
	}
	if silent < silentServersOfPartition {
		return
	}
	for _, s := range c.sessions {
		if s.server.Zone == zone && s.listed && !s.suspect && s.holdFailures == 0 && now.Sub(s.clockAt) > freshReport {
			c.suspect(now, s)
		}
	}
}

// vanish gives back the room of a run that is known not to run and lets its task wait again.
func (c *Conductor) vanish(now time.Time, s *session, a *allocation) {
	s.release(a.task)
	j := c.jobs[a.task.Job]
	if j == nil || j.State().Final() {
		return
	}
	j.Unplace(a.task, a.run)
	c.stopGang(now, j, a.task.StepID, a.run)
	c.changed(j)
}

// stopGang stops the other members of a gang's run after one of them was lost.
func (c *Conductor) stopGang(now time.Time, j *job, id specifier.StepID, run int) {
	step, ok := j.Step(id)
	if !ok || !step.Spec.Gang {
		return
	}
	for i := range step.Tasks {
		task := step.Tasks[i]
		if task.State != lifecycler.Placed || task.Run != run {
			continue
		}
		s := c.sessions[task.Server]
		if s == nil {
			continue
		}
		if a := s.allocations[id.Task(i)]; a != nil {
			c.stop(now, s, a)
		}
	}
}

// stop orders the end of a run; a run that was not ordered yet is taken back.
func (c *Conductor) stop(now time.Time, s *session, a *allocation) {
	if a.stopping {
		return
	}
	if a.state == reserved {
		s.release(a.task)
		if j := c.jobs[a.task.Job]; j != nil {
			j.Unplace(a.task, a.run)
			c.changed(j)
		}
		return
	}
	a.stopping = true
	c.sendStop(now, s, a)
}

func (c *Conductor) sendStop(now time.Time, s *session, a *allocation) {
	a.stopSentAt = now
	c.emit(Stop{Server: s.server, Task: a.task, Run: a.run, Fence: s.fence})
}

func (c *Conductor) stopAll(now time.Time, j *job) {
	for _, s := range c.sessions {
		for _, a := range s.allocations {
			if a.task.Job == j.Spec.ID {
				c.stop(now, s, a)
			}
		}
	}
}

func (c *Conductor) resendStops(now time.Time) {
	for _, s := range c.sessions {
		if s.holdFailures > 0 {
			continue
		}
		for _, a := range s.allocations {
			if a.stopping && now.Sub(a.stopSentAt) >= stopRetry {
				c.sendStop(now, s, a)
			}
		}
	}
}

// begin notes that a run of a job is known to have started.
func (c *Conductor) begin(id specifier.JobID) {
	if j := c.jobs[id]; j != nil {
		j.Begin()
	}
}
