package conductor

import (
	"time"

	"egretring.example/egretring/calibrator"
)

// OwnerLoad are figures of an owner's work. The counts are those since the last call of TakeLoad.
type OwnerLoad struct {
	// Passes are those over all waiting steps, UrgentPasses those over fresh urgent steps, and LimitedPasses the passes that left
	// a step unplaced because too many starts were in flight.
	Passes, UrgentPasses, LimitedPasses int
	// Placed are the runs placed, and StartsInFlight those whose start has no result yet.
	Placed, StartsInFlight int
	// Commits are those that have ended, and LongestCommit is the longest time from the decision to the result of one of them, or
	// the age of one in flight.
	Commits, CommitsInFlight int
	// Records are those in the commits that have ended.
	Records       int
	LongestCommit time.Duration
	// DirtyJobs are the jobs whose changed record waits for a commit.
	DirtyJobs    int
	WaitingSteps int
	// LateGangs are the waiting gangs that can no longer meet their objective.
	LateGangs int
	// LongestDue is how long ago a waiting step became due at most.
	LongestDue time.Duration
	// FreeAdvisors and FreeForLong are the advisors that may make a call, and a long call.
	FreeAdvisors, FreeForLong int
	AdviceLoad
	// Holds are the steps that servers are held for, and HeldServers the held servers. AdviceTurns are the steps that would have servers
	// held if advice admitted more of them.
	Holds, HeldServers, AdviceTurns int
	// FastServers, SlowServers and ReservedServers are usable servers by their speed, while speeds take effect. Reserved ones are kept for
	// urgent steps.
	FastServers, SlowServers, ReservedServers int
	// Servers are the usable servers, and CoresInUse and MemoryInUse percentages of them.
	Servers, CoresInUse, MemoryInUse int
}

// Worked reports whether the owner has placed, written or asked for anything, or has steps that wait.
func (l OwnerLoad) Worked() bool {
	return l.Placed > 0 || l.Commits > 0 || l.AdviceCalls > 0 || l.WaitingSteps > 0
}

// TakeLoad returns the figures and begins to count anew.
func (c *Conductor) TakeLoad(now time.Time) OwnerLoad {
	load := c.counted
	load.AdviceLoad = c.advised.take(now)
	c.counted = OwnerLoad{}
	for _, l := range c.lanes {
		if l.busy {
			load.CommitsInFlight++
			load.LongestCommit = max(load.LongestCommit, now.Sub(l.sentAt))
		}
	}
	load.DirtyJobs = len(c.dirty)
	for _, w := range c.waitingSteps {
		load.WaitingSteps++
		load.LongestDue = max(load.LongestDue, now.Sub(w.due))
		if w.step.Spec.Gang && w.tierAt(now) != onTime {
			load.LateGangs++
		}
	}
	load.FreeAdvisors, load.FreeForLong = c.advisors.Free(now)
	for _, h := range c.holds {
		load.Holds++
		load.HeldServers += len(h.servers)
	}
	load.AdviceTurns = len(c.needsAdvice)
	var usable []*session
	for _, s := range c.sessions {
		load.StartsInFlight += s.starting
		if s.usable(now) {
			usable = append(usable, s)
			load.countSpeed(s)
		}
	}
	load.Servers = len(usable)
	load.CoresInUse, load.MemoryInUse = percentInUse(usable)
	return load
}

// countSpeed counts a usable server by its speed.
func (l *OwnerLoad) countSpeed(s *session) {
	switch {
	case s.reserved:
		l.ReservedServers++
		l.FastServers++
	case s.class == calibrator.Fast:
		l.FastServers++
	case s.class == calibrator.Slow:
		l.SlowServers++
	}
}
