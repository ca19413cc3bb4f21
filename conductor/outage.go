package conductor

import "time"

const (
	// outageWindow is the time within which the owner notices the restarts of servers that were lost together.
	outageWindow = 2 * time.Second
	// outageServers is the least number of servers, and outagePercent the least part of their zone, that are lost in an outage.
	outageServers = 3
	outagePercent = 75
)

// isOutage reports whether so many servers of a zone have restarted lately or do not respond that no task is likely to have crashed
// them.
func (c *Conductor) isOutage(now time.Time, zone string) bool {
	lost, servers := 0, 0
	for _, s := range c.orderedSessions() {
		if s.server.Zone != zone {
			continue
		}
		servers++
		if !s.responsive() || !s.restartedAt.IsZero() && now.Sub(s.restartedAt) < outageWindow {
			lost++
		}
	}
	return lost >= outageServers && percent(int64(lost), int64(servers)) >= outagePercent
}
