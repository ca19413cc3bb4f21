package conductor

import (
	"fmt"
	"time"

	"egretring.example/egretring/calibrator"
	"egretring.example/egretring/specifier"
)

// recordSpeedsInterval is how often the speeds are stored while they take effect. A server gets an end a second, and its speed follows
// over some ten ends.
const recordSpeedsInterval = 5 * time.Second

// recordSpeeds stores the speeds for the next owner, and removes them once they no longer take effect.
func (c *Conductor) recordSpeeds(now time.Time) {
	if !c.speeds.inEffect && !c.speeds.recorded || !c.speeds.record.begin(now) {
		return
	}
	var known []ServerSpeed
	if c.speeds.inEffect {
		for _, s := range c.orderedSessions() {
			if s.class != calibrator.Unknown && s.server.Incarnation != 0 {
				known = append(known, ServerSpeed{Server: s.id, Incarnation: s.server.Incarnation, Factor: c.speeds.calibrator.Of(s.id).Factor})
			}
		}
	}
	c.speeds.recorded = c.speeds.inEffect
	c.emit(RecordSpeeds{Speeds: known})
}

// restoreSpeeds uses the speeds that an earlier owner has stored, of the servers that have not restarted since.
func (c *Conductor) restoreSpeeds(now time.Time, stored []ServerSpeed) {
	if c.speeds.ignored || len(stored) == 0 {
		return
	}
	// The record stays at least until this owner may have learned the speeds itself.
	c.speeds.recorded = true
	c.speeds.record.begin(now)
	restored := 0
	for _, known := range stored {
		if s := c.sessions[known.Server]; s != nil && known.Incarnation != 0 && s.server.Incarnation == known.Incarnation {
			c.speeds.calibrator.Restore(now, known.Server, known.Factor)
			restored++
		}
	}
	c.replan = true
	c.logDecision("SpeedsRestored", specifier.TaskID{}, 0, "", fmt.Sprintf("%d of %d stored speeds", restored, len(stored)))
}
