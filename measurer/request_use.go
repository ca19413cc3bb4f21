package measurer

import (
	"time"

	"egretring.example/egretring/describer"
)

// perClass holds a number for each class.
type perClass [describer.ClassCount]int

func (p perClass) sum() int {
	sum := 0
	for _, number := range p {
		sum += number
	}
	return sum
}

// slotUsage counts the queued requests and busy slots of one instance.
type slotUsage struct {
	queued perClass
	busy   perClass
	// changed is the time up to which the counts are added to the trace.
	changed time.Time
}

// slotUsageTrace sums the slot usage of instances over the time in which requests wait there.
type slotUsageTrace struct {
	// busy and slots are in slot-seconds.
	busy  float64
	slots float64
	// idle holds the idle slot-seconds by the most urgent class that waits.
	idle [describer.ClassCount]float64
	// held is the number of slots by class that were busy when an Urgent request had to wait, summed over these requests.
	held perClass
}

// share returns the share of the slots that were busy.
func (t *slotUsageTrace) share() float64 {
	if t.slots == 0 {
		return 1
	}
	return t.busy / t.slots
}

// idleShare returns the share of the slots that were idle while a class was the most urgent one waiting.
func (t *slotUsageTrace) idleShare(class describer.Class) float64 {
	if t.slots == 0 {
		return 0
	}
	return t.idle[class] / t.slots
}

// heldShare returns the share of a class in the slots that were busy when Urgent requests had to wait.
func (t *slotUsageTrace) heldShare(class describer.Class) float64 {
	return float64(t.held[class]) / float64(max(1, t.held.sum()))
}

// accumulateSlotUsage adds the slot usage of an instance since its last change to the trace. It returns the counts,
// which the caller changes next.
func (c *requestCell) accumulateSlotUsage(i *entryInstance) *slotUsage {
	u := &i.use
	if i.live && inWindow(c.now) {
		c.tally.use.add(u, i.slots, c.now.Sub(u.changed).Seconds())
	}
	u.changed = c.now
	return u
}

// add adds the slot usage of an instance during a number of elapsed seconds. Time without waiting requests is left out.
func (t *slotUsageTrace) add(u *slotUsage, slots int, elapsed float64) {
	if u.queued.sum() == 0 {
		return
	}
	t.busy += float64(u.busy.sum()) * elapsed
	t.slots += float64(slots) * elapsed
	for class, waiting := range u.queued {
		if waiting > 0 {
			t.idle[class] += float64(slots-u.busy.sum()) * elapsed
			return
		}
	}
}

// inWindow reports whether a time lies in the measured window.
func inWindow(now time.Time) bool {
	since := now.Sub(epochStart)
	return since >= requestWarmUp && since < requestDuration
}
