package planner

import (
	"cmp"
	"slices"
	"time"

	"egretring.example/egretring/describer"
)

const (
	// passInterval bounds how often the waiting jobs are looked at.
	passInterval = 100 * time.Millisecond
	// tasksPerPass paces the assignment: 1,000 tasks a second stay below the 1,200 starts a second of a cell, also when
	// a whole zone is lost.
	tasksPerPass = 100
)

// Planner plans the jobs of a cell.
type Planner struct {
	zones  []*zone
	quotas map[describer.TeamID]describer.Quota
	// pool is the sum of all quotas.
	pool describer.Resources
	// used is what the assigned tasks of each team declare, and total is their sum.
	used  map[describer.TeamID]describer.Resources
	total describer.Resources
	jobs  map[describer.JobID]*job
	queue []*job
	// requeued are jobs from which tasks were reclaimed during a pass.
	requeued []*job
	sequence int
	lastPass time.Time
	budget   int
	dirty    bool
	commands []Command
}

// New returns a planner without zones and jobs.
func New() *Planner {
	return &Planner{
		quotas: make(map[describer.TeamID]describer.Quota),
		used:   make(map[describer.TeamID]describer.Resources),
		jobs:   make(map[describer.JobID]*job),
	}
}

// Handle applies one event at time now and returns the commands it causes.
func (p *Planner) Handle(now time.Time, event Event) []Command {
	p.commands = nil
	p.apply(now, event)
	if !now.Before(p.lastPass.Add(passInterval)) && (p.dirty || p.hasLost()) {
		p.pass(now)
	}
	return p.commands
}

// NextDeadline is the earliest time at which Handle must be called with Ticked.
func (p *Planner) NextDeadline() (time.Time, bool) {
	if p.dirty {
		return p.lastPass.Add(passInterval), true
	}
	var first time.Time
	for _, z := range p.zones {
		if z.lost && z.hasTasks() && (first.IsZero() || z.safeAt.Before(first)) {
			first = z.safeAt
		}
	}
	return first, !first.IsZero()
}

func (z *zone) hasTasks() bool {
	return z.assigned != describer.Resources{}
}

func (p *Planner) hasLost() bool {
	return slices.ContainsFunc(p.zones, func(z *zone) bool { return z.lost && z.hasTasks() })
}

func (p *Planner) apply(now time.Time, event Event) {
	switch e := event.(type) {
	case ZonesChanged:
		p.changeZones(e.Zones)
	case ZoneLost:
		if z := p.zone(e.Zone); z != nil {
			z.lost, z.safeAt = true, e.SafeAt
		}
	case ZoneReturned:
		if z := p.zone(e.Zone); z != nil {
			z.lost = false
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

// changeZones takes over the zones. A zone that is no longer listed keeps its tasks until it is reported as lost.
func (p *Planner) changeZones(list []Zone) {
	for _, description := range list {
		if z := p.zone(description.ID); z != nil {
			z.describe(description)
			continue
		}
		p.zones = append(p.zones, newZone(description))
	}
	p.judgeAll()
}

func (p *Planner) changeQuotas(quotas []describer.Quota) {
	clear(p.quotas)
	p.pool = describer.Resources{}
	for _, quota := range quotas {
		p.quotas[quota.Team] = quota
		p.pool = p.pool.Plus(quota.Limit)
	}
	p.judgeAll()
}

// judgeAll finds the jobs that have become possible or impossible.
func (p *Planner) judgeAll() {
	for _, j := range p.queue {
		p.judge(j)
	}
	p.dirty = true
}

func (p *Planner) judge(j *job) {
	reason, detail := p.impossible(j)
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
	p.judge(j)
	p.dirty = true
}

// enqueue puts a job into the queue, which is kept in order.
func (p *Planner) enqueue(j *job) {
	at, found := slices.BinarySearchFunc(p.queue, j, compareJobs)
	if !found {
		p.queue = slices.Insert(p.queue, at, j)
	}
}

func compareJobs(a, b *job) int {
	return cmp.Or(a.order.Compare(b.order), cmp.Compare(a.sequence, b.sequence))
}

func (p *Planner) withdraw(id describer.JobID) {
	j := p.jobs[id]
	if j == nil {
		return
	}
	for _, z := range p.zones {
		p.unassign(j, z, j.in(z.ID))
	}
	delete(p.jobs, id)
	p.queue = slices.DeleteFunc(p.queue, func(other *job) bool { return other == j })
	p.dirty = true
}

// finish gives back what finished tasks used.
func (p *Planner) finish(e TasksFinished) {
	j := p.jobs[e.Job]
	if j == nil {
		return
	}
	for _, index := range e.Indices {
		for _, z := range p.zones {
			if part := j.parts[z.ID]; part != nil && part.remove(index) {
				p.account(j, z, -1)
			}
		}
		j.waiting.remove(index)
	}
	if j.assigned() == 0 && len(j.waiting) == 0 {
		delete(p.jobs, e.Job)
	}
	p.dirty = true
}

// account adds the declared size of tasks to the sums, or takes it out with a negative count.
func (p *Planner) account(j *job, z *zone, count int) {
	size := times(j.PerTask, count)
	z.assigned = z.assigned.Plus(size)
	p.used[j.Team] = p.used[j.Team].Plus(size)
	p.total = p.total.Plus(size)
}
