package coordinator

import (
	"fmt"
	"time"
)

// loadInterval is the minimum time between two lines about the owner's load.
const loadInterval = time.Second

// loadLine collects what the next line about the owner's load reports. Only the owner's goroutine uses it.
type loadLine struct {
	beganAt time.Time
	// processorTime is that of the process when the last line was due.
	processorTime time.Duration
	events, plans int
	// oldest is the longest time from the posting of an event to its handling.
	oldest time.Duration
	// handling, planning and executing are the times spent on events, in Plan, and on its commands.
	handling, planning, executing time.Duration
	longestPlan                   time.Duration
}

func (l *loadLine) handled(delay time.Duration) {
	l.events++
	l.oldest = max(l.oldest, delay)
}

func (l *loadLine) planned(took time.Duration) {
	l.plans++
	l.planning += took
	l.longestPlan = max(l.longestPlan, took)
}

// logLoad logs the owner's load once each loadInterval in which it worked.
func (o *owner) logLoad() {
	now := o.settings.clock.Now()
	l := &o.load
	elapsed := now.Sub(l.beganAt)
	if elapsed < loadInterval {
		return
	}
	used := processorTime()
	line := *l
	*l = loadLine{beganAt: now, processorTime: used}
	if line.beganAt.IsZero() {
		return
	}
	o.recordQuotas()
	load := o.stateMachine.TakeLoad(now)
	if !load.Worked() {
		return
	}
	o.settings.logger.Info("owner load", "Epoch", o.ownership.Epoch, "Elapsed", elapsed.String(),
		"ProcessorTime", (used - line.processorTime).String(), "Events", line.events, "OldestEvent", line.oldest.String(),
		"Handling", line.handling.String(), "Plans", line.plans, "Planning", line.planning.String(),
		"LongestPlan", line.longestPlan.String(), "Executing", line.executing.String(), "Figures", fmt.Sprintf("%+v", load))
}
