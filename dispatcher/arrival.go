package dispatcher

import (
	"time"

	"egretring.example/egretring/admitter"
	"egretring.example/egretring/classifier"
	"egretring.example/egretring/describer"
	"egretring.example/egretring/queuer"
)

// leastRelayWait is the expected wait below which a relay would not be faster than the own queue.
const leastRelayWait = 2 * time.Millisecond

// capacityRetry is when a request may be tried again that found no server that takes work.
const capacityRetry = time.Second

func (d *Dispatcher) arrive(now time.Time, request describer.Request) {
	if _, known := d.requests[request.ID]; known {
		return
	}
	if request.Class < 0 || int(request.Class) >= describer.ClassCount {
		d.emit(AnswerRequest{ID: request.ID, Kind: classifier.BadRequest})
		return
	}
	learner := d.estimator.LearnerOf(request.Service, request.Kind)
	run := time.Duration(0)
	if learner != nil {
		run = learner.Estimate().Median
	}
	if verdict := d.admitter.CheckLimits(now, request, run); !verdict.Admitted {
		d.emit(AnswerRequest{ID: request.ID, Kind: verdict.Kind, RetryAt: verdict.RetryAt})
		return
	}
	d.estimator.ObserveArrival(run)
	e := &entry{request: request, learner: learner, arrived: now}
	d.requests[request.ID] = e
	d.samples[learner]++
	d.admitter.Begin(request)
	d.agenda.add(appointment{at: request.Deadline, purpose: deadlinePasses, entry: e})
	d.place(now, e)
}

// place queues a request that has just arrived or has come back from a peer, relays it or refuses it.
func (d *Dispatcher) place(now time.Time, e *entry) {
	d.prepare(e)
	load := d.loadFor(now, e)
	verdict := d.admitter.CheckQueue(now, e.request, load)
	e.expectedWait = verdict.Wait
	slow := verdict.Wait >= leastRelayWait || !verdict.Admitted || d.picker.Capacity() == 0
	if slow && d.relay(e) {
		return
	}
	switch {
	case d.slots(now) == 0:
		d.answer(e, e.kindOr(classifier.NoBackendServer), now.Add(capacityRetry))
	case !verdict.Admitted:
		d.answer(e, e.kindOr(verdict.Kind), verdict.RetryAt)
	case e.relays > 0:
		d.queue.PushFront(&e.item)
		d.admitter.Enqueue(e.request)
	default:
		d.queue.Push(&e.item)
		d.admitter.Enqueue(e.request)
	}
}

// prepare fills in what the queue orders by.
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

// flowOf joins the kinds of a service that are not configured, because callers choose their names.
func (d *Dispatcher) flowOf(request describer.Request) queuer.Flow {
	flow := queuer.Flow{Service: request.Service, Class: request.Class}
	if _, known := d.services[request.Service].Kinds[request.Kind]; known {
		flow.Kind = request.Kind
	}
	return flow
}

// loadFor returns what a request would meet in the queue.
func (d *Dispatcher) loadFor(now time.Time, e *entry) admitter.Load {
	class, group := e.request.Class, e.item.Group
	load := admitter.Load{
		Run:    e.item.Expected,
		Long:   group == queuer.Long,
		Sample: d.samples[e.learner] <= 1,
	}
	if d.picker.Free() > 0 && d.permit(now)[class][group] {
		return load
	}
	total := d.slots(now)
	backlog := d.queue.BacklogOf(class, group, d.occupancy.supply(now, e.request.Deadline.Sub(now), total))
	load.Work = backlog.Work + e.item.Work
	load.Slots = d.boundSlots(now, class, group, total, backlog.Slots)
	return load
}

// boundSlots applies the urgent reserve and the cap on long work to the slots of a class and group.
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
