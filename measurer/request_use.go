package measurer

import (
	"time"

	"egretring.example/egretring/describer"
)

// perClass is a number for each class.
type perClass [describer.ClassCount]int

func (p perClass) sum() int {
	sum := 0
	for _, number := range p {
		sum += number
	}
	return sum
}

// slotUse is the use of the slots of one instance.
type slotUse struct {
	queued  perClass
	busy    perClass
	changed time.Time
}

// useTrace sums the use of the slots of the instances in which requests wait.
type useTrace struct {
	// busy and slots are in slot-seconds.
	busy  float64
	slots float64
	// idle is the idle part by the most urgent class that waits.
	idle [describer.ClassCount]float64
	// held is the number of slots by class that Urgent requests found busy when they had to wait, summed over them.
	held perClass
}

// share is the share of the slots that were busy.
func (t *useTrace) share() float64 {
	if t.slots == 0 {
		return 1
	}
	return t.busy / t.slots
}

// idleShare is the share of the slots that were idle while a class was the most urgent one waiting.
func (t *useTrace) idleShare(class describer.Class) float64 {
	if t.slots == 0 {
		return 0
	}
	return t.idle[class] / t.slots
}

// heldShare is the share of a class in the slots that waiting Urgent requests found busy.
func (t *useTrace) heldShare(class describer.Class) float64 {
	return float64(t.held[class]) / float64(max(1, t.held.sum()))
}

// countUse adds the time since the last change of an instance, and returns its use for the change.
func (c *requestCell) countUse(i *entryInstance) *slotUse {
	u := &i.use
	if i.alive && inWindow(c.now) {
		c.tally.use.add(u, i.slots, c.now.Sub(u.changed).Seconds())
	}
	u.changed = c.now
	return u
}

func (t *useTrace) add(u *slotUse, slots int, elapsed float64) {
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

// inWindow reports whether a time is counted.
func inWindow(now time.Time) bool {
	since := now.Sub(epochStart)
	return since >= requestWarmUp && since < requestDuration
}
