package dispatcher

import (
	"time"

	"egretring.example/egretring/classifier"
	"egretring.example/egretring/picker"
)

// startWaiting starts queued requests while there are free slots that they may use. Requests that can no longer meet
// their deadline are refused instead.
func (d *Dispatcher) startWaiting(now time.Time) {
	for d.picker.Free() > 0 && d.queue.Len() > 0 {
		item := d.queue.Next(now, d.permit(now))
		if item == nil {
			return
		}
		e := item.Value
		if d.cannotMeetDeadline(now, e) {
			d.observeWait(now, e)
			d.fail(e, e.kindOr(classifier.Overloaded), now.Add(e.item.Expected))
			continue
		}
		if !d.startAttempt(now, e) {
			return
		}
	}
}

// cannotMeetDeadline reports whether a request is unlikely to be answered before its deadline, because even the low
// estimate of its run time exceeds the remaining time. The only request in progress of its kind is run in any case,
// because nothing else would correct a wrong estimate.
func (d *Dispatcher) cannotMeetDeadline(now time.Time, e *entry) bool {
	if !d.policy.dropUnmeetable || d.inProgress[e.learner] <= 1 {
		return false
	}
	return now.Add(e.learner.Estimate().Low).After(e.request.Deadline)
}

// startAttempt starts an attempt of a queued request, and reports whether a server was available.
func (d *Dispatcher) startAttempt(now time.Time, e *entry) bool {
	preferences := picker.Preferences{MayProbe: e.request.Repeatable && e.attempts == 0, Avoid: e.server}
	id, ok := d.picker.Pick(preferences)
	if !ok {
		return false
	}
	d.queue.Serve(&e.item)
	d.admitter.Dequeue(e.request)
	d.observeWait(now, e)
	e.state = running
	e.attempts++
	e.server = id
	e.startedAt = now
	d.recordStart(now, e)
	d.emit(StartAttempt{ID: e.request.ID, Attempt: e.attempts, BackendServer: id, Deadline: e.request.Deadline})
	return true
}

// observeWait passes the expected and the actual wait of a request to the admitter. Only the wait before the first
// attempt or relay is observed.
func (d *Dispatcher) observeWait(now time.Time, e *entry) {
	if e.attempts == 0 && e.relays == 0 {
		d.admitter.ObserveWait(e.request.Class, e.expectedWait, now.Sub(e.arrived))
	}
}
