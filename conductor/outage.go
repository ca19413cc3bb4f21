package conductor

import (
	"time"

	"egretring.example/egretring/specifier"
)

const (
	// outageWindow is the time within which the owner notices the restarts of servers that were lost together.
	outageWindow = 2 * time.Second
	// outageServers is the least number of servers, and outagePercent the least part of their zone, that are lost in an outage.
	outageServers = 3
	outagePercent = 75
	// coincidenceTime is how long before the loss of a server that of another one may have been noticed so that they may have a common
	// cause: a loss is noticed when the server has restarted, or after the longest lease of a renewal, 4.9 s.
	coincidenceTime = 5 * time.Second
	// coincidencePercent is the part of the other servers of a zone that are lost within coincidenceTime without a known cause from
	// which on losses are frequent: each server is lost more often than once in 50 s then, without any task that crashes it.
	coincidencePercent = 10
)

// isOutage reports whether so many servers of a zone have restarted lately or do not respond that no task is likely to have crashed
// them. Servers that suspects have crashed do not count: several tasks that crash servers would pass for an outage, and would be
// started again and again. Of one job that is one server at most, because an outage may hit all members of a gang.
func (c *Conductor) isOutage(now time.Time, zone string) bool {
	lost, servers := 0, 0
	crashing := make(map[specifier.JobID]bool)
	for _, s := range c.orderedSessions() {
		if s.server.Zone != zone {
			continue
		}
		servers++
		if s.crashedByTrial(now) && !crashing[s.trial.task.Job] {
			crashing[s.trial.task.Job] = true
			continue
		}
		if !s.responsive() || !s.restartedAt.IsZero() && now.Sub(s.restartedAt) < outageWindow {
			lost++
		}
	}
	return lost >= outageServers && percent(int64(lost), int64(servers)) >= outagePercent
}

// crashedByTrial reports whether the server has lately been lost soon after the start of its trial, or does not respond since then.
func (s *session) crashedByTrial(now time.Time) bool {
	if !s.trialCrashedAt.IsZero() && now.Sub(s.trialCrashedAt) < outageWindow {
		return true
	}
	open := s.trial != nil && s.allocations[s.trial.task] == s.trial && s.trial.state == confirmed && !s.outlived(s.trial)
	return open && !s.responsive()
}

// coincides reports whether so many other servers of the zone do not respond, or have restarted lately, without a known cause that the loss
// of a server says little about its runs. Servers that had runs of the same job do not count.
func (c *Conductor) coincides(now time.Time, lost *session, job specifier.JobID) bool {
	unexplained, others := 0, 0
	for _, s := range c.orderedSessions() {
		if s == lost || !s.listed || s.server.Zone != lost.server.Zone {
			continue
		}
		others++
		silent := !s.responsive() && !s.crashedByTrial(now) && !s.isLossExplained() && c.runs[job][s] == 0
		restarted := !s.restartedAt.IsZero() && now.Sub(s.restartedAt) < coincidenceTime
		if silent || restarted && !s.restartExplained && !s.jobsAtRestart[job] {
			unexplained++
		}
	}
	return unexplained > 0 && percent(int64(unexplained), int64(others)) >= coincidencePercent
}

// isLossExplained reports whether the loss of the server has a known cause: it was draining, or a run is likely to have crashed it.
func (s *session) isLossExplained() bool {
	if s.server.Draining {
		return true
	}
	for _, a := range s.allocations {
		if a.mayHaveCrashed || a.protected && s.aliveAt.Sub(a.startedAt) <= protectionTime {
			return true
		}
	}
	return false
}

// jobs returns the jobs that may have runs on the server.
func (s *session) jobs() map[specifier.JobID]bool {
	jobs := make(map[specifier.JobID]bool)
	for _, a := range s.allocations {
		if a.state != reserved {
			jobs[a.task.Job] = true
		}
	}
	return jobs
}
