package dispatcher

import (
	"time"

	"egretring.example/egretring/classifier"
	"egretring.example/egretring/describer"
)

// keepAppointments does what is due.
func (d *Dispatcher) keepAppointments(now time.Time) {
	for {
		a, due := d.agenda.takeDue(now)
		if !due {
			return
		}
		switch a.purpose {
		case deadlinePasses:
			d.expire(now, a.entry)
		case retryIsDue:
			d.requeue(a.entry)
		case attemptIsOverdue:
			d.countLong(a.entry)
		}
	}
}

// expire ends a request at its deadline, or asks for the end of its attempt.
func (d *Dispatcher) expire(now time.Time, e *entry) {
	e.expired = true
	if e.inFlight() {
		d.abort(e)
		return
	}
	if e.state == queued {
		d.observeWait(now, e)
	}
	d.answer(e, e.kindOr(classifier.DeadlineExceeded), now)
}

// requeue puts a request back at the head of its flow; it has been admitted before.
func (d *Dispatcher) requeue(e *entry) {
	d.prepare(e)
	d.queue.PushFront(&e.item)
	d.admitter.Enqueue(e.request)
}

func (d *Dispatcher) cancel(id describer.RequestID) {
	e, known := d.requests[id]
	if !known || e.cancelled {
		return
	}
	e.cancelled = true
	if e.inFlight() {
		d.abort(e)
		return
	}
	d.answer(e, classifier.Cancelled, time.Time{})
}

// abort asks for the end of the attempt or relay in flight, unless that has been done.
func (d *Dispatcher) abort(e *entry) {
	if e.cancelled && e.expired {
		return
	}
	if e.state == relayed {
		d.emit(AbortAttempt{ID: e.request.ID, Relay: true})
		return
	}
	d.emit(AbortAttempt{ID: e.request.ID, Attempt: e.attempts})
}
