package planner

import (
	"slices"
	"time"
)

// misfitTimeout is how long a zone must have been unable to hold tasks that are assigned to it before they move. The
// instance list may show fewer backend servers for a while.
const misfitTimeout = 30 * time.Second

// scheduleMoves sets the time at which jobs leave zones that can no longer hold their tasks.
func (p *Planner) scheduleMoves(now time.Time) {
	p.moveAt = time.Time{}
	for _, j := range p.jobs {
		switch {
		case len(p.misfitZones(j)) == 0:
			j.moveAt = time.Time{}
			continue
		case j.moveAt.IsZero():
			j.moveAt = now.Add(misfitTimeout)
		}
		if p.moveAt.IsZero() || j.moveAt.Before(p.moveAt) {
			p.moveAt = j.moveAt
		}
	}
}

// moveMisfits withdraws tasks from zones that can no longer hold them, so that the pass assigns them to others.
func (p *Planner) moveMisfits(now time.Time) {
	if !isDue(now, p.moveAt) {
		return
	}
	var due []*job
	for _, j := range p.jobs {
		if isDue(now, j.moveAt) {
			due = append(due, j)
		}
	}
	slices.SortFunc(due, compareJobs)
	for _, j := range due {
		for _, z := range p.misfitZones(j) {
			p.unassign(j, z, j.tasksIn(z.ID))
			p.enqueue(j)
			p.evaluate(j)
		}
	}
	p.scheduleMoves(now)
}

// misfitZones returns the available zones with tasks of a job that their backend servers cannot hold, although another
// zone can. A zone without backend servers is not returned: it may be out of contact while its tasks run.
func (p *Planner) misfitZones(j *job) []*zone {
	var found []*zone
	fitsElsewhere := false
	for _, z := range p.zones {
		switch {
		case z.taskCapacity(j.PerTask) >= j.admissionSize():
			fitsElsewhere = fitsElsewhere || z.isOpenTo(j)
		case !z.unavailable && !z.unlisted && j.tasksIn(z.ID) > 0 && z.hasServers():
			found = append(found, z)
		}
	}
	if !fitsElsewhere {
		return nil
	}
	return found
}

func (z *zone) hasServers() bool {
	for _, group := range z.ServerGroups {
		if group.Count > 0 {
			return true
		}
	}
	return false
}
