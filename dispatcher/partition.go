package dispatcher

import (
	"time"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/queuer"
)

const (
	// spareShare of the slots is kept in addition to the recent demand, so that a demand that begins finds some.
	spareShare = 0.03
	// mostReserved is the largest share of the slots that is kept for Urgent requests.
	mostReserved = 0.5
	// leastLong and mostLong bound the share of the slots that long work may occupy.
	leastLong = 0.4
	mostLong  = 0.75
	// lastSlots is the share of the slots that kinds with stragglers may not take while long work is at its cap.
	lastSlots = 0.1
	// uncertainShare of runs that become overdue makes a kind one with stragglers.
	uncertainShare = 0.02
)

// occupancy counts the running attempts and the recent demand, from which follows which work may take further slots.
type occupancy struct {
	running int
	classes [describer.ClassCount]int
	long    int
	// classDemand and shortDemand are the recent numbers of running and waiting requests.
	classDemand [describer.ClassCount]demand
	shortDemand demand
}

func newOccupancy() occupancy {
	o := occupancy{shortDemand: newDemand(otherFall)}
	for class := range o.classDemand {
		o.classDemand[class] = newDemand(otherFall)
	}
	o.classDemand[describer.Urgent] = newDemand(urgentFall)
	return o
}

// reserved is the number of slots that only Urgent requests may take. It follows the recent demand, because a fixed
// reserve is too small at the peak of a swing and idle otherwise.
func (o *occupancy) reserved(now time.Time, slots int) int {
	wanted := o.classDemand[describer.Urgent].at(now) + spareShare*float64(slots)
	return int(min(wanted, mostReserved*float64(slots)))
}

// longLimit is the number of slots that long work may occupy. It follows the recent demand of short work, so that
// long work may use what short work leaves.
func (o *occupancy) longLimit(now time.Time, slots int) int {
	total := float64(slots)
	allowed := total - o.shortDemand.at(now) - spareShare*total
	allowed = min(max(allowed, leastLong*total), mostLong*total)
	return max(1, int(allowed))
}

// supply returns what the classes share within a time from now on.
func (o *occupancy) supply(now time.Time, horizon time.Duration, slots int) queuer.Supply {
	supply := queuer.Supply{Slots: float64(slots)}
	for class := range o.classDemand {
		supply.Demand[class] = o.classDemand[class].within(now, horizon)
	}
	return supply
}

// permit says which work may be started now.
func (d *Dispatcher) permit(now time.Time) queuer.Permit {
	permit := queuer.PermitAll()
	slots := d.picker.Capacity()
	if d.policy.reserve && d.occupancy.running-d.occupancy.classes[describer.Urgent] >= max(1, slots-d.occupancy.reserved(now, slots)) {
		permit[describer.Standard] = [queuer.GroupCount]bool{}
		permit[describer.Deferrable] = [queuer.GroupCount]bool{}
	}
	if !d.policy.longCap || d.occupancy.long < d.occupancy.longLimit(now, slots) {
		return permit
	}
	protected := d.picker.Free() <= int(lastSlots*float64(slots))
	for class := range permit {
		permit[class][queuer.Long] = false
		if protected {
			permit[class][queuer.Uncertain] = false
		}
	}
	return permit
}

// observeDemand must be called before a permit is made.
func (d *Dispatcher) observeDemand(now time.Time) {
	o := &d.occupancy
	slots := d.slots(now)
	for _, class := range describer.Classes() {
		o.classDemand[class].observe(now, o.classes[class]+d.queue.LenOf(class), slots)
	}
	waitingShort := d.queue.LenOfGroup(queuer.Short) + d.queue.LenOfGroup(queuer.Uncertain)
	o.shortDemand.observe(now, o.running-o.long+waitingShort, slots)
}

// groupOf says how long a request may hold a slot.
func (d *Dispatcher) groupOf(e *entry) queuer.Group {
	estimate := e.learner.Estimate()
	switch {
	case d.estimator.IsLong(estimate):
		return queuer.Long
	case estimate.StragglerShare > uncertainShare:
		return queuer.Uncertain
	default:
		return queuer.Short
	}
}

func (d *Dispatcher) countLong(e *entry) {
	if !e.countsLong {
		e.countsLong = true
		d.occupancy.long++
	}
}

// occupy counts a starting attempt.
func (d *Dispatcher) occupy(now time.Time, e *entry) {
	d.occupancy.running++
	d.occupancy.classes[e.request.Class]++
	if e.item.Group == queuer.Long {
		d.countLong(e)
		return
	}
	d.agenda.add(appointment{at: now.Add(e.learner.Estimate().Overdue), purpose: attemptIsOverdue, entry: e, attempt: e.attempts})
}

// vacate counts an ended attempt.
func (d *Dispatcher) vacate(e *entry) {
	d.occupancy.running--
	d.occupancy.classes[e.request.Class]--
	if e.countsLong {
		e.countsLong = false
		d.occupancy.long--
	}
}
