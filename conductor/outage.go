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
