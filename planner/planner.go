package planner

import (
	"cmp"
	"slices"
	"time"

	"egretring.example/egretring/describer"
)

const (
	// passInterval is the least time between two passes over the waiting jobs.
	passInterval = 100 * time.Millisecond
	// tasksPerPass limits the rate of assignments to 1,000 tasks a second, which stays below the 1,200 starts a second
	// of a cell even when a whole zone is lost.
	tasksPerPass = 100
)

// Planner assigns the tasks of a cell's jobs to zones. It is not safe for concurrent use.
type Planner struct {
	zones  []*zone
	quotas map[describer.TeamID]describer.Quota
	// totalQuota is the sum of all quotas.
	totalQuota describer.Resources
	// used is the sum of the resources that the assigned tasks of each team declare, and totalUsed that of all teams.
	used      map[describer.TeamID]describer.Resources
	totalUsed describer.Resources
	// usedByServices is the part of used that services use.
	usedByServices map[describer.TeamID]describer.Resources
	// held is the quota that the current pass keeps for the first waiting job of each team, and heldTotal the part that
	// the first borrowing one needs of all quotas.
	held      map[describer.TeamID]hold
	heldTotal hold
	// moveAt is the earliest moveAt of the jobs; it is zero if there is none.
	moveAt time.Time
	// holdsEndAt is the earliest end of a hold; it is zero if there is none.
	holdsEndAt time.Time
	jobs       map[describer.JobID]*job
	queue      []*job
	// requeued are jobs from which tasks were reclaimed during a pass; they return to the queue at its end.
	requeued []*job
	sequence int
	lastPass time.Time
	// budget is how many more tasks the current pass may assign.
	budget int
	// dirty is true when another pass is needed.
	dirty    bool
	commands []Command
}

// New returns a planner without zones and jobs.
func New() *Planner {
	return &Planner{
		quotas:         make(map[describer.TeamID]describer.Quota),
		used:           make(map[describer.TeamID]describer.Resources),
		held:           make(map[describer.TeamID]hold),
		jobs:           make(map[describer.JobID]*job),
		usedByServices: make(map[describer.TeamID]describer.Resources),
	}
}

// Handle applies one event at time now and returns the commands it causes.
func (p *Planner) Handle(now time.Time, event Event) []Command {
	p.commands = nil
	p.apply(now, event)
	due := p.dirty || p.hasLost() || isDue(now, p.moveAt) || isDue(now, p.holdsEndAt)
	if due && !now.Before(p.lastPass.Add(passInterval)) {
		p.pass(now)
	}
	return p.commands
}

// NextDeadline returns the earliest time at which Handle must be called with Ticked, and whether there is one.
func (p *Planner) NextDeadline() (time.Time, bool) {
	if p.dirty {
		return p.lastPass.Add(passInterval), true
	}
	first := p.holdsEndAt
	if !p.moveAt.IsZero() && (first.IsZero() || p.moveAt.Before(first)) {
		first = p.moveAt
	}
	for _, z := range p.zones {
		if z.unavailable && z.hasTasks() && (first.IsZero() || z.safeAt.Before(first)) {
			first = z.safeAt
		}
	}
	return first, !first.IsZero()
}

// isDue reports whether a deadline is set and has come.
func isDue(now, deadline time.Time) bool {
	return !deadline.IsZero() && !now.Before(deadline)
}

func (z *zone) hasTasks() bool {
	return z.assigned != describer.Resources{}
}

func (p *Planner) hasLost() bool {
	return slices.ContainsFunc(p.zones, func(z *zone) bool { return z.unavailable && z.hasTasks() })
}

func (p *Planner) apply(now time.Time, event Event) {
	switch e := event.(type) {
	case ZonesChanged:
		p.changeZones(now, e.Zones)
	case ZoneUnavailable:
		if z := p.zone(e.Zone); z != nil {
			z.unavailable, z.safeAt = true, e.SafeAt
		}
	case ZoneAvailable:
		if z := p.zone(e.Zone); z != nil {
			z.unavailable = false
			p.dirty = true
		}
	case QuotasChanged:
		p.changeQuotas(e.Quotas)
	case PlanRestored:
		p.restore(now, e)
	case JobSubmitted:
		p.submit(now, e.Job)
	case JobWithdrawn:
		p.withdraw(e.Job)
	case TasksFinished:
		p.finish(e)
	}
}

func (p *Planner) emit(command Command) {
	p.commands = append(p.commands, command)
}

func (p *Planner) zone(id describer.AvailabilityZoneID) *zone {
	for _, z := range p.zones {
		if z.ID == id {
			return z
		}
	}
	return nil
}

// changeZones updates the known zones. A zone that is no longer listed gets no more tasks, and keeps those that it has
// until it is reported as lost. It keeps its description, because the list may lack it only for a moment: a job that is
// allowed nowhere else waits and is not reported as one that can never run.
func (p *Planner) changeZones(now time.Time, list []Zone) {
	for _, z := range p.zones {
		z.unlisted = true
	}
	for _, description := range list {
		if z := p.zone(description.ID); z != nil {
			z.describe(description)
			continue
		}
		p.zones = append(p.zones, newZone(description))
	}
	p.scheduleMoves(now)
	p.evaluateAll()
}

func (p *Planner) changeQuotas(quotas []describer.Quota) {
	clear(p.quotas)
	p.totalQuota = describer.Resources{}
	for _, quota := range quotas {
		p.quotas[quota.Team] = quota
		p.totalQuota = p.totalQuota.Plus(quota.Limit)
	}
	p.evaluateAll()
}

// evaluateAll evaluates the queued jobs again after zones or quotas have changed.
func (p *Planner) evaluateAll() {
	for _, j := range p.queue {
		p.evaluate(j)
	}
	p.dirty = true
}

// evaluate checks whether a job can ever run, and reports a change.
func (p *Planner) evaluate(j *job) {
	reason, detail := p.impossibleReason(j)
	switch {
	case reason == j.reason:
	case reason == "":
		p.emit(ReportPossible{Job: j.ID})
	default:
		p.emit(ReportImpossible{Job: j.ID, Reason: reason, Detail: detail})
	}
	j.reason = reason
}

func (p *Planner) submit(now time.Time, description describer.Job) {
	if p.jobs[description.ID] != nil {
		p.withdraw(description.ID)
	}
	p.sequence++
	j := newJob(now, description, p.sequence)
	p.jobs[j.ID] = j
	p.enqueue(j)
	p.evaluate(j)
	p.dirty = true
}

// enqueue inserts a job into the sorted queue unless it is already there.
func (p *Planner) enqueue(j *job) {
	at, found := slices.BinarySearchFunc(p.queue, j, compareJobs)
	if !found {
		p.queue = slices.Insert(p.queue, at, j)
	}
}

func compareJobs(a, b *job) int {
	return cmp.Or(a.priorityTime.Compare(b.priorityTime), cmp.Compare(a.sequence, b.sequence))
}

func (p *Planner) withdraw(id describer.JobID) {
	j := p.jobs[id]
	if j == nil {
		return
	}
	for _, z := range p.zones {
		p.unassign(j, z, j.tasksIn(z.ID))
	}
	delete(p.jobs, id)
	p.queue = slices.DeleteFunc(p.queue, func(other *job) bool { return other == j })
	p.dirty = true
}

// finish removes finished tasks and releases their resources.
func (p *Planner) finish(e TasksFinished) {
	j := p.jobs[e.Job]
	if j == nil {
		return
	}
	for _, index := range e.Indices {
		for _, z := range p.zones {
			if part := j.tasksByZone[z.ID]; part != nil && part.remove(index) {
				p.account(j, z, -1)
			}
		}
		j.waiting.remove(index)
	}
	if j.assigned() == 0 && len(j.waiting) == 0 {
		delete(p.jobs, e.Job)
	} else if j.reason != "" {
		p.evaluate(j)
	}
	p.dirty = true
}

// account adds the declared resources of tasks to the sums of zone and team; a negative count subtracts them.
func (p *Planner) account(j *job, z *zone, count int) {
	size := multiply(j.PerTask, count)
	z.assigned = z.assigned.Plus(size)
	p.used[j.Team] = p.used[j.Team].Plus(size)
	p.totalUsed = p.totalUsed.Plus(size)
	if j.waitsForZone() {
		z.batch = z.batch.Plus(size)
	}
	if j.Policy == describer.ServiceJob {
		z.services = z.services.Plus(size)
		p.usedByServices[j.Team] = p.usedByServices[j.Team].Plus(size)
	}
}
