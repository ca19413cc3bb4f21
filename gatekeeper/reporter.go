package gatekeeper

import (
	"log/slog"
	"net"
	"sync"
	"time"

	"egretring.example/egretring/meter"
)

// reportInterval is the shortest time between two log lines about the same cause.
const reportInterval = time.Second

// cause is why a caller was refused or its connection closed.
type cause string

const (
	causeMemory      cause = "Memory"
	causeConnections cause = "Connections"
	causeHeader      cause = "Header"
	causeSilence     cause = "Silence"
	causeOverhead    cause = "Overhead"
)

// reporter counts refused callers and closed connections, and logs them at a limited rate.
type reporter struct {
	name   string
	logger *slog.Logger
	meter  *meter.Meter

	mu         sync.Mutex
	reportedAt map[cause]time.Time
	unreported map[cause]int
}

func newReporter(name string, logger *slog.Logger, m *meter.Meter) *reporter {
	return &reporter{
		name: name, logger: logger, meter: m, reportedAt: make(map[cause]time.Time), unreported: make(map[cause]int),
	}
}

// closedFor reports a connection that is closed for what it has sent.
func (r *reporter) closedFor(why cause, c *connection) {
	c.gate.mu.Lock()
	used, open := c.gate.ledger.Used()
	c.gate.mu.Unlock()
	r.closed(why, c.RemoteAddr(), used, open)
}

// closed reports a caller that was refused or whose connection is closed.
func (r *reporter) closed(why cause, caller net.Addr, used int64, open int) {
	r.meter.Count(r.name+".Closed."+string(why), 1)
	count := r.countFor(why, time.Now())
	if count == 0 {
		return
	}
	r.logger.Warn("caller was refused or its connection closed", "Listener", r.name, "Cause", string(why), "Count", count,
		"Caller", caller.String(), "UsedBytes", used, "Connections", open)
}

// countFor returns the number of callers that a log line has to report, or zero if none is due.
func (r *reporter) countFor(why cause, now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unreported[why]++
	if now.Sub(r.reportedAt[why]) < reportInterval {
		return 0
	}
	count := r.unreported[why]
	r.reportedAt[why], r.unreported[why] = now, 0
	return count
}
