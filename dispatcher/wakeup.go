package dispatcher

import (
	"time"

	"egretring.example/egretring/classifier"
	"egretring.example/egretring/describer"
)

// processDue handles all wake-ups that are due.
func (d *Dispatcher) processDue(now time.Time) {
	for {
		w, due := d.schedule.popDue(now)
		if !due {
			return
		}
		switch w.reason {
		case requestDeadline:
			d.expire(now, w.entry)
		case retryDue:
			d.requeue(w.entry)
		case attemptOverdue:
			d.countAsLong(w.entry)
		}
	}
}

// expire ends a request at its deadline. If an attempt or relay is in flight, it is aborted first, and the request ends
// when the end of that attempt or relay is reported.
func (d *Dispatcher) expire(now time.Time, e *entry) {
	e.expired = true
	if e.inFlight() {
		d.abort(e)
		return
	}
	if e.state == queued {
		d.observeWait(now, e)
	}
	d.fail(e, e.kindOr(classifier.DeadlineExceeded), now)
}

// requeue puts a request back at the head of its flow for a retry. The request has been admitted already, so no limit
// is checked again.
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
	d.fail(e, classifier.Cancelled, time.Time{})
}

// abort emits an AbortAttempt for the attempt or relay in flight, unless a cancellation or the deadline has already
// caused one.
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
