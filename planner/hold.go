package planner

import (
	"time"

	"egretring.example/egretring/describer"
)

const (
	// firstHold is how long quota is first held for a job. After a hold without success others may use the quota for the
	// same time, and the next hold is twice as long, so that it outlasts most run times but never blocks others for good.
	firstHold = 5 * time.Minute
	// maxHoldDoublings bounds a hold to 40 minutes.
	maxHoldDoublings = 3
)

// hold is quota that one pass keeps for a waiting job.
type hold struct {
	size  describer.Resources
	class describer.Class
}

// against returns the part of the hold that a job may not use. Urgent jobs and services ignore the holds of others, except
// those of urgent jobs.
func (h hold) against(j *job) describer.Resources {
	if (j.Class == describer.Urgent || j.Policy == describer.ServiceJob) && h.class != describer.Urgent {
		return describer.Resources{}
	}
	return h.size
}

// holdFor keeps quota for a waiting job that needs more than is free, so that smaller jobs behind it in the queue do not
// take each quota that becomes free. In a pass, each team has at most one hold.
func (p *Planner) holdFor(now time.Time, j *job) {
	if len(p.quotas) == 0 || len(j.waiting) == 0 || p.held[j.Team] != (hold{}) {
		return
	}
	count := 1
	if j.Policy == describer.GangJob {
		count = j.waiting.total()
	}
	size := multiply(j.PerTask, count)
	borrows := !size.Plus(p.used[j.Team]).Fits(p.quotas[j.Team].Limit) && p.quotas[j.Team].MayBorrow
	if borrows && p.heldTotal != (hold{}) || p.withinQuota(j, count) {
		return
	}
	if p.chooseZone(j) == nil || !p.fitsWhenTasksEnd(j, size) || !j.isHolding(now) {
		return
	}
	p.held[j.Team] = hold{size: size, class: j.Class}
	if borrows {
		p.heldTotal = p.held[j.Team]
	}
	if p.holdsEndAt.IsZero() || j.holdUntil.Before(p.holdsEndAt) {
		p.holdsEndAt = j.holdUntil
	}
}

// isHolding reports whether quota is held for the job now, and schedules the next hold after one that has ended.
func (j *job) isHolding(now time.Time) bool {
	if j.holdUntil.IsZero() {
		j.holdFrom, j.holdUntil = now, now.Add(firstHold)
	}
	if !now.Before(j.holdUntil) {
		length := firstHold << j.holdDoublings
		j.holdDoublings = min(j.holdDoublings+1, maxHoldDoublings)
		j.holdFrom = now.Add(length)
		j.holdUntil = j.holdFrom.Add(firstHold << j.holdDoublings)
	}
	return !now.Before(j.holdFrom)
}

// fitsWhenTasksEnd reports whether tasks of a job fit the quotas after the other tasks of its team have ended, except
// services, and other teams use no more than their own quotas, except for services.
func (p *Planner) fitsWhenTasksEnd(j *job, size describer.Resources) bool {
	size = size.Plus(p.usedByServices[j.Team])
	if size.Fits(p.quotas[j.Team].Limit) {
		return true
	}
	for team, used := range p.used {
		if team != j.Team {
			size = size.Plus(larger(p.usedByServices[team], smaller(used, p.quotas[team].Limit)))
		}
	}
	return p.quotas[j.Team].MayBorrow && size.Fits(p.totalQuota)
}

func (p *Planner) clearHolds() {
	clear(p.held)
	p.heldTotal = hold{}
	p.holdsEndAt = time.Time{}
}

func larger(a, b describer.Resources) describer.Resources {
	return describer.Resources{
		MilliCores:   max(a.MilliCores, b.MilliCores),
		MemoryBytes:  max(a.MemoryBytes, b.MemoryBytes),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}

func smaller(a, b describer.Resources) describer.Resources {
	return describer.Resources{
		MilliCores:   min(a.MilliCores, b.MilliCores),
		MemoryBytes:  min(a.MemoryBytes, b.MemoryBytes),
		Accelerators: min(a.Accelerators, b.Accelerators),
	}
}
