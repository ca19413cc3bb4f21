package conductor

import (
	"slices"
	"time"

	"egretring.example/egretring/specifier"
)

// doubt is a run that was lost with a server that does not respond. Whether the server has crashed shows when its address is
// heard of again: by the same incarnation if the server was unreachable, and by a later one, under its ID or another, if not.
type doubt struct {
	task        specifier.TaskID
	run         int
	server      specifier.ServerID
	incarnation int64
	// since is when the run was lost, or restored by this owner. Responses to earlier calls say nothing.
	since time.Time
}

func (c *Conductor) addDoubt(address string, d doubt) {
	c.doubts[address] = append(c.doubts[address], d)
}

// restoreDoubts adds the doubtful crashes in the record of a job.
func (c *Conductor) restoreDoubts(now time.Time, j *job) {
	for _, step := range j.ReadySteps() {
		for i, task := range step.Tasks {
			for _, crash := range task.Crashes {
				if crash.Doubtful() {
					c.addDoubt(crash.Address, doubt{
						task: step.ID.Task(i), run: crash.Run, incarnation: crash.Incarnation, since: now,
					})
				}
			}
		}
	}
}

// settleDoubts settles the doubtful crashes at an address where an incarnation of a server is listed, or has responded to a call
// that was sent at a time; without a response it is zero.
func (c *Conductor) settleDoubts(now time.Time, address string, incarnation int64, respondedTo time.Time) {
	known := c.doubts[address]
	if len(known) == 0 {
		return
	}
	var open []doubt
	for _, d := range known {
		switch {
		case incarnation > d.incarnation:
			c.confirmCrash(now, d)
		case incarnation == d.incarnation && respondedTo.After(d.since):
			c.withdrawCrash(d)
		default:
			open = append(open, d)
		}
	}
	c.setDoubts(address, open)
}

func (c *Conductor) setDoubts(address string, open []doubt) {
	if len(open) == 0 {
		delete(c.doubts, address)
		return
	}
	c.doubts[address] = open
}

func (c *Conductor) confirmCrash(now time.Time, d doubt) {
	j := c.jobs[d.task.Job]
	if j == nil {
		return
	}
	changed, givenUp := j.Confirm(now, d.task, d.run)
	if !changed {
		return
	}
	c.logDecision("CrashConfirmed", d.task, d.run, d.server, "")
	c.changed(j)
	if givenUp {
		c.giveUp(now, j, d.task, d.run, d.server)
	}
}

func (c *Conductor) withdrawCrash(d doubt) {
	j := c.jobs[d.task.Job]
	if j == nil || !j.Withdraw(d.task, d.run) {
		return
	}
	c.logDecision("CrashWithdrawn", d.task, d.run, d.server, "the server responds and has not restarted")
	j.suspectsNotBefore = time.Time{}
	c.changed(j)
}

// dropDoubts forgets the doubtful crashes under the tasks of finished jobs.
func (c *Conductor) dropDoubts() {
	for address, known := range c.doubts {
		c.setDoubts(address, slices.DeleteFunc(known, func(d doubt) bool {
			j := c.jobs[d.task.Job]
			return j == nil || j.State().Final()
		}))
	}
}

// noteIncarnations settles doubtful crashes by a list of all servers.
func (c *Conductor) noteIncarnations(now time.Time, servers []specifier.Server) {
	c.incarnations = make(map[string]int64, len(servers))
	for _, server := range servers {
		c.incarnations[server.Address] = max(c.incarnations[server.Address], server.Incarnation)
		c.settleDoubts(now, server.Address, server.Incarnation, time.Time{})
	}
}

// hasEnded reports whether a later incarnation is listed at the address of the server of a run, under any ID.
func (c *Conductor) hasEnded(a *allocation) bool {
	return a.incarnation != 0 && c.incarnations[a.address] > a.incarnation
}
