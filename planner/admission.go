package planner

import (
	"slices"
	"time"

	"egretring.example/egretring/describer"
)

// pass reassigns the tasks of lost zones, and then assigns waiting tasks in the order of the queue within the quotas.
func (p *Planner) pass(now time.Time) {
	p.lastPass = now
	p.dirty = false
	p.budget = tasksPerPass
	p.clearHolds()
	p.reassignLost(now)
	p.moveMisfits(now)
	for _, j := range p.queue {
		if p.budget <= 0 {
			break
		}
		if j.reason == "" {
			p.admit(j)
			p.holdFor(now, j)
		}
	}
	p.dirty = p.dirty || p.budget <= 0
	p.queue = slices.DeleteFunc(p.queue, func(j *job) bool { return len(j.waiting) == 0 })
	for _, j := range p.requeued {
		p.enqueue(j)
	}
	p.requeued = nil
}

// reassignLost withdraws the tasks of lost zones whose SafeAt has passed, and assigns them to other zones as far as
// possible: services first, then by class and age. From each zone it withdraws no more tasks than one pass can assign,
// except that a gang job is withdrawn as a whole.
func (p *Planner) reassignLost(now time.Time) {
	for _, z := range p.zones {
		if !z.unavailable || now.Before(z.safeAt) || !z.hasTasks() {
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
			count := j.tasksIn(z.ID)
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

// jobsIn returns the jobs with tasks in a zone, in the order of the queue.
func (p *Planner) jobsIn(z *zone) []*job {
	var found []*job
	for _, j := range p.jobs {
		if j.tasksIn(z.ID) > 0 {
			found = append(found, j)
		}
	}
	slices.SortFunc(found, compareJobs)
	return found
}

// unassign withdraws the last tasks of a job from a zone and adds them to its waiting tasks.
func (p *Planner) unassign(j *job, z *zone, count int) {
	part := j.tasksByZone[z.ID]
	if part == nil || count == 0 {
		return
	}
	taken := part.takeLast(count)
	for _, each := range taken {
		p.emit(WithdrawTasks{Job: j.ID, Zone: z.ID, First: each.first, Count: each.count})
	}
	if len(*part) == 0 {
		delete(j.tasksByZone, z.ID)
	}
	p.account(j, z, -taken.total())
	j.waiting.add(taken)
}

// admit assigns as many waiting tasks of a job as the quotas and zones allow. A job that has to wait does not block the
// jobs behind it in the queue, except by the quota that holdFor keeps for it.
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
		j.holdUntil, j.holdDoublings = time.Time{}, 0
		chosen[z].add(taken)
		if j.tasksByZone[z.ID] == nil {
			j.tasksByZone[z.ID] = &spans{}
		}
		j.tasksByZone[z.ID].add(taken)
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

// withinQuota reports whether count more tasks of a job fit into its team's quota or, if the team may borrow, into the
// quota that other teams leave unused. Quota that is held for an earlier job counts as used. All teams together never
// use more than the sum of all quotas.
func (p *Planner) withinQuota(j *job, count int) bool {
	if len(p.quotas) == 0 {
		return true
	}
	size := multiply(j.PerTask, count)
	if p.withinOwnQuota(j, size) {
		return p.totalUsed.Plus(size).Fits(p.totalQuota)
	}
	return p.quotas[j.Team].MayBorrow && p.totalUsed.Plus(p.heldTotal.against(j)).Plus(size).Fits(p.totalQuota)
}

func (p *Planner) withinOwnQuota(j *job, size describer.Resources) bool {
	return p.used[j.Team].Plus(p.held[j.Team].against(j)).Plus(size).Fits(p.quotas[j.Team].Limit)
}

// reclaim withdraws tasks of teams that use more than their quota until count more tasks of a job fit into the sum of
// all quotas, and reports whether they fit. It does so only if these tasks are within the quota of their own team.
func (p *Planner) reclaim(j *job, count int) bool {
	size := multiply(j.PerTask, count)
	if !p.withinOwnQuota(j, size) {
		return false
	}
	for _, borrower := range p.borrowers() {
		for _, z := range p.zones {
			for borrower.tasksIn(z.ID) > 0 && p.isBorrowing(borrower.Team) {
				if p.totalUsed.Plus(size).Fits(p.totalQuota) {
					return true
				}
				p.unassign(borrower, z, borrower.reclaimSize(z))
				p.enqueueLater(borrower)
			}
		}
	}
	return p.totalUsed.Plus(size).Fits(p.totalQuota)
}

// reclaimSize returns how many tasks of a job are reclaimed together: a gang job is reclaimed as a whole.
func (j *job) reclaimSize(z *zone) int {
	if j.Policy == describer.GangJob {
		return j.tasksIn(z.ID)
	}
	return 1
}

// enqueueLater puts a job back into the queue at the end of the pass, because the pass iterates over the queue.
func (p *Planner) enqueueLater(j *job) {
	p.dirty = true
	p.requeued = append(p.requeued, j)
}

// borrowers returns the jobs of teams above their quota in the order in which their tasks are reclaimed: services last,
// the lowest class first, the latest submission first.
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
