package dispatcher

import (
	"time"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/queuer"
)

const (
	// headroomShare is the share of the slots that is kept free in addition to the recent demand, so that slots are
	// available when demand starts to rise.
	headroomShare = 0.03
	// maxReservedShare is the largest share of the slots that is reserved for Urgent requests.
	maxReservedShare = 0.5
	// minLongShare and maxLongShare bound the limit on the share of the slots that long work may occupy.
	minLongShare = 0.4
	maxLongShare = 0.75
	// lastSlotsShare is the share of the slots that is withheld from kinds with stragglers while long work is at its
	// limit.
	lastSlotsShare = 0.1
	// minStragglerShare is the share of overdue runs above which a kind counts as one with stragglers.
	minStragglerShare = 0.02
)

// occupancy tracks the running attempts and the recent demand. They determine which work may take further slots.
type occupancy struct {
	running        int
	runningByClass [describer.ClassCount]int
	runningLong    int
	// classDemand and shortDemand average the recent numbers of running and waiting requests of each class and of work
	// that does not count as long.
	classDemand [describer.ClassCount]demand
	shortDemand demand
}

func newOccupancy() occupancy {
	o := occupancy{shortDemand: newDemand(otherFallTimeConstant)}
	for class := range o.classDemand {
		o.classDemand[class] = newDemand(otherFallTimeConstant)
	}
	o.classDemand[describer.Urgent] = newDemand(urgentFallTimeConstant)
	return o
}

// reserved returns the number of slots that only Urgent requests may take. It follows the recent demand, because a
// fixed reserve is too small at the peak of a load swing and idle otherwise.
func (o *occupancy) reserved(now time.Time, slots int) int {
	target := o.classDemand[describer.Urgent].fastAt(now) + headroomShare*float64(slots)
	return int(min(target, maxReservedShare*float64(slots)))
}

// longLimit returns the number of slots that long work may occupy. It follows the recent demand of short work, so that
// long work may use the slots that short work does not need.
func (o *occupancy) longLimit(now time.Time, slots int) int {
	total := float64(slots)
	allowed := total - o.shortDemand.fastAt(now) - headroomShare*total
	allowed = min(max(allowed, minLongShare*total), maxLongShare*total)
	return max(1, int(allowed))
}

// slotDemand returns the slots that the classes share and their expected demand from now to the horizon.
func (o *occupancy) slotDemand(now time.Time, horizon time.Duration, slots int) queuer.SlotDemand {
	demand := queuer.SlotDemand{Slots: float64(slots)}
	for class := range o.classDemand {
		demand.Demand[class] = o.classDemand[class].expectedWithin(now, horizon)
	}
	return demand
}

// permit returns which classes and groups of work may be started now.
func (d *Dispatcher) permit(now time.Time) queuer.Permit {
	permit := queuer.PermitAll()
	slots := d.picker.Capacity()
	if d.policy.reserve && d.occupancy.running-d.occupancy.runningByClass[describer.Urgent] >= max(1, slots-d.occupancy.reserved(now, slots)) {
		permit[describer.Standard] = [queuer.GroupCount]bool{}
		permit[describer.Deferrable] = [queuer.GroupCount]bool{}
	}
	if !d.policy.longCap || d.occupancy.runningLong < d.occupancy.longLimit(now, slots) {
		return permit
	}
	protected := d.picker.Free() <= int(lastSlotsShare*float64(slots))
	for class := range permit {
		permit[class][queuer.Long] = false
		if protected {
			permit[class][queuer.Uncertain] = false
		}
	}
	return permit
}

// observeDemand updates the demand averages. It must be called before permit.
func (d *Dispatcher) observeDemand(now time.Time) {
	o := &d.occupancy
	slots := d.effectiveCapacity(now)
	for _, class := range describer.Classes() {
		o.classDemand[class].observe(now, o.runningByClass[class]+d.queue.LenOfClass(class), slots)
	}
	waitingShort := d.queue.LenOfGroup(queuer.Short) + d.queue.LenOfGroup(queuer.Uncertain)
	o.shortDemand.observe(now, o.running-o.runningLong+waitingShort, slots)
}

// groupOf returns the group of a request, by how long it is expected to occupy a slot.
func (d *Dispatcher) groupOf(e *entry) queuer.Group {
	estimate := e.learner.Estimate()
	switch {
	case d.estimator.IsLong(estimate):
		return queuer.Long
	case estimate.StragglerShare > minStragglerShare:
		return queuer.Uncertain
	default:
		return queuer.Short
	}
}

func (d *Dispatcher) countAsLong(e *entry) {
	if !e.countsAsLong {
		e.countsAsLong = true
		d.occupancy.runningLong++
	}
}

// recordStart counts a started attempt. An attempt that is not expected to be long counts as long work once it is
// overdue.
func (d *Dispatcher) recordStart(now time.Time, e *entry) {
	d.occupancy.running++
	d.occupancy.runningByClass[e.request.Class]++
	if e.item.Group == queuer.Long {
		d.countAsLong(e)
		return
	}
	d.schedule.add(wakeup{at: now.Add(e.learner.Estimate().Overdue), reason: attemptOverdue, entry: e, attempt: e.attempts})
}

// recordEnd removes an ended attempt from the counts.
func (d *Dispatcher) recordEnd(e *entry) {
	d.occupancy.running--
	d.occupancy.runningByClass[e.request.Class]--
	if e.countsAsLong {
		e.countsAsLong = false
		d.occupancy.runningLong--
	}
}
