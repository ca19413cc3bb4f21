package dispatcher

import (
	"time"

	"egretring.example/egretring/admitter"
	"egretring.example/egretring/classifier"
	"egretring.example/egretring/describer"
	"egretring.example/egretring/queuer"
)

// minRelayWait is the expected wait below which relaying to a peer would not be faster than the local queue.
const minRelayWait = 2 * time.Millisecond

// noCapacityRetryDelay is the retry delay that is returned with a request refused because no server accepts work.
const noCapacityRetryDelay = time.Second

func (d *Dispatcher) arrive(now time.Time, request describer.Request) {
	if _, known := d.requests[request.ID]; known {
		return
	}
	if request.Class < 0 || int(request.Class) >= describer.ClassCount {
		d.emit(FailRequest{ID: request.ID, Kind: classifier.BadRequest})
		return
	}
	learner := d.estimator.LearnerOf(request.Service, request.Kind)
	run := time.Duration(0)
	if learner != nil {
		run = learner.Estimate().Median
	}
	if verdict := d.admitter.CheckLimits(now, request, run); !verdict.Admitted {
		d.emit(FailRequest{ID: request.ID, Kind: verdict.Kind, RetryAt: verdict.RetryAt})
		return
	}
	d.estimator.ObserveArrival(run)
	e := &entry{request: request, learner: learner, arrived: now}
	d.requests[request.ID] = e
	d.inProgress[learner]++
	d.admitter.BeginRequest(request)
	d.schedule.add(wakeup{at: request.Deadline, reason: requestDeadline, entry: e})
	d.admit(now, e)
}

// admit queues, relays or refuses a request that has just arrived or has come back from a peer that did not run it.
func (d *Dispatcher) admit(now time.Time, e *entry) {
	d.prepare(e)
	load := d.loadFor(now, e)
	verdict := d.admitter.CheckQueue(now, e.request, load)
	e.expectedWait = verdict.Wait
	slow := verdict.Wait >= minRelayWait || !verdict.Admitted || d.picker.Capacity() == 0
	if slow && d.relay(e) {
		return
	}
	switch {
	case d.effectiveCapacity(now) == 0:
		d.fail(e, e.kindOr(classifier.NoBackendServer), now.Add(noCapacityRetryDelay))
	case !verdict.Admitted:
		d.fail(e, e.kindOr(verdict.Kind), verdict.RetryAt)
	case e.relays > 0:
		d.queue.PushFront(&e.item)
		d.admitter.Enqueue(e.request)
	default:
		d.queue.Push(&e.item)
		d.admitter.Enqueue(e.request)
	}
}

// prepare marks a request as queued and fills its queue item from the current estimate of its run time.
func (d *Dispatcher) prepare(e *entry) {
	estimate := e.learner.Estimate()
	e.state = queued
	e.item = queuer.Item[*entry]{
		Value:    e,
		Flow:     d.flowOf(e.request),
		Group:    d.groupOf(e),
		Arrived:  e.arrived,
		Expected: estimate.Median,
		Work:     estimate.Mean,
	}
}

// flowOf returns the flow of a request. All kinds of a service that are not configured share one flow, because callers
// choose their names and could otherwise create any number of flows.
func (d *Dispatcher) flowOf(request describer.Request) queuer.Flow {
	flow := queuer.Flow{Service: request.Service, Class: request.Class}
	if _, known := d.services[request.Service].Kinds[request.Kind]; known {
		flow.Kind = request.Kind
	}
	return flow
}

// loadFor returns the load that a request would meet in the queue. The work in it includes the mean run time of the
// request itself, and is zero if the request may start now.
func (d *Dispatcher) loadFor(now time.Time, e *entry) admitter.Load {
	class, group := e.request.Class, e.item.Group
	load := admitter.Load{
		Run:        e.item.Expected,
		Long:       group == queuer.Long,
		OnlyOfKind: d.inProgress[e.learner] <= 1,
	}
	if d.picker.Free() > 0 && d.permit(now)[class][group] {
		return load
	}
	total := d.effectiveCapacity(now)
	backlog := d.queue.BacklogOf(class, group, d.occupancy.slotDemand(now, e.request.Deadline.Sub(now), total))
	load.Work = backlog.Work + e.item.Work
	load.Slots = d.boundSlots(now, class, group, total, backlog.Slots)
	return load
}

// boundSlots limits the slots of a class and group by the reserve for Urgent requests and the cap on long work.
func (d *Dispatcher) boundSlots(now time.Time, class describer.Class, group queuer.Group, total int, slots float64) float64 {
	if d.policy.reserve {
		reserved := float64(d.occupancy.reserved(now, total))
		if class == describer.Urgent {
			slots = max(slots, reserved)
		} else {
			slots = min(slots, max(1, float64(total)-reserved))
		}
	}
	if d.policy.longCap && group == queuer.Long {
		slots = min(slots, float64(d.occupancy.longLimit(now, total)))
	}
	return slots
}
