package planner

import (
	"slices"
	"time"

	"egretring.example/egretring/describer"
)

// pass moves the tasks of lost zones into the queue, and assigns waiting tasks within the quotas.
func (p *Planner) pass(now time.Time) {
	p.lastPass = now
	p.dirty = false
	p.budget = tasksPerPass
	p.collectLost(now)
	for _, j := range p.queue {
		if p.budget <= 0 {
			break
		}
		if j.reason == "" {
			p.admit(j)
		}
	}
	p.dirty = p.dirty || p.budget <= 0
	p.queue = slices.DeleteFunc(p.queue, func(j *job) bool { return len(j.waiting) == 0 })
	for _, j := range p.requeued {
		p.enqueue(j)
	}
	p.requeued = nil
}

// collectLost takes the tasks from zones that are lost for certain: services first, then by class and age, not more in
// a pass than can be assigned again.
func (p *Planner) collectLost(now time.Time) {
	for _, z := range p.zones {
		if !z.lost || now.Before(z.safeAt) || !z.hasTasks() {
			continue
		}
		moving := p.jobsIn(z)
		slices.SortStableFunc(moving, func(a, b *job) int {
			if aService := a.Policy == describer.ServiceJob; aService != (b.Policy == describer.ServiceJob) {
				if aService {
					return -1
				}
				return 1
			}
			return compareJobs(a, b)
		})
		moved := 0
		for _, j := range moving {
			if moved >= tasksPerPass {
				break
			}
			count := j.in(z.ID)
			if j.Policy != describer.GangJob {
				count = min(count, tasksPerPass-moved)
			}
			moved += count
			p.unassign(j, z, count)
			p.enqueue(j)
			p.admit(j)
		}
		p.dirty = true
	}
}

func (p *Planner) jobsIn(z *zone) []*job {
	var found []*job
	for _, j := range p.jobs {
		if j.in(z.ID) > 0 {
			found = append(found, j)
		}
	}
	slices.SortFunc(found, compareJobs)
	return found
}

// unassign takes the last tasks of a job from a zone and lets them wait.
func (p *Planner) unassign(j *job, z *zone, count int) {
	part := j.parts[z.ID]
	if part == nil || count == 0 {
		return
	}
	taken := part.takeLast(count)
	for _, each := range taken {
		p.emit(WithdrawTasks{Job: j.ID, Zone: z.ID, First: each.first, Count: each.count})
	}
	if len(*part) == 0 {
		delete(j.parts, z.ID)
	}
	p.account(j, z, -taken.total())
	j.waiting.add(taken)
}

// admit assigns as many waiting tasks of a job as the quotas and zones allow. A job that has to wait holds up no other.
func (p *Planner) admit(j *job) {
	chosen := make(map[*zone]*spans)
	for len(j.waiting) > 0 && p.budget > 0 {
		count := 1
		if j.Policy == describer.GangJob {
			count = j.waiting.total()
		}
		z := p.chooseZone(j)
		if z == nil || !p.withinQuota(j, count) && !p.reclaim(j, count) {
			break
		}
		if chosen[z] == nil {
			chosen[z] = &spans{}
		}
		taken := j.waiting.take(count)
		chosen[z].add(taken)
		if j.parts[z.ID] == nil {
			j.parts[z.ID] = &spans{}
		}
		j.parts[z.ID].add(taken)
		p.account(j, z, count)
		p.budget -= count
	}
	for _, z := range p.zones {
		if chosen[z] == nil {
			continue
		}
		for _, each := range *chosen[z] {
			p.emit(AssignTasks{Job: j.Job, Zone: z.ID, First: each.first, Count: each.count})
		}
	}
}

// withinQuota reports whether tasks fit into the team's quota, or into what other teams leave idle if it may borrow.
// Together the teams never use more than all quotas.
func (p *Planner) withinQuota(j *job, count int) bool {
	if len(p.quotas) == 0 {
		return true
	}
	size := times(j.PerTask, count)
	quota := p.quotas[j.Team]
	within := p.used[j.Team].Plus(size).Fits(quota.Limit)
	return (within || quota.MayBorrow) && p.total.Plus(size).Fits(p.pool)
}

// reclaim takes back what other teams have borrowed, as far as tasks within their own team's quota need it.
func (p *Planner) reclaim(j *job, count int) bool {
	size := times(j.PerTask, count)
	if !p.used[j.Team].Plus(size).Fits(p.quotas[j.Team].Limit) {
		return false
	}
	for _, borrower := range p.borrowers() {
		for _, z := range p.zones {
			for borrower.in(z.ID) > 0 && p.isBorrowing(borrower.Team) {
				if p.total.Plus(size).Fits(p.pool) {
					return true
				}
				p.unassign(borrower, z, borrower.reclaimedAtOnce(z))
				p.enqueueLater(borrower)
			}
		}
	}
	return p.total.Plus(size).Fits(p.pool)
}

// reclaimedAtOnce is how many tasks are reclaimed together.
func (j *job) reclaimedAtOnce(z *zone) int {
	if j.Policy == describer.GangJob {
		return j.in(z.ID)
	}
	return 1
}

// enqueueLater marks that a job waits again; the queue is being walked through, so it is changed after the pass.
func (p *Planner) enqueueLater(j *job) {
	p.dirty = true
	p.requeued = append(p.requeued, j)
}

// borrowers returns the jobs of teams above their quota, those that give way first in front: batch before services,
// the lowest class first, the latest first.
func (p *Planner) borrowers() []*job {
	var found []*job
	for _, j := range p.jobs {
		if p.isBorrowing(j.Team) && j.assigned() > 0 {
			found = append(found, j)
		}
	}
	slices.SortFunc(found, func(a, b *job) int {
		aService, bService := a.Policy == describer.ServiceJob, b.Policy == describer.ServiceJob
		switch {
		case aService != bService && bService:
			return -1
		case aService != bService:
			return 1
		case a.Class != b.Class:
			return int(b.Class - a.Class)
		}
		return b.sequence - a.sequence
	})
	return found
}

func (p *Planner) isBorrowing(team describer.TeamID) bool {
	return !p.used[team].Fits(p.quotas[team].Limit)
}
