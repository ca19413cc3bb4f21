package dispatcher

import (
	"time"

	"egretring.example/egretring/classifier"
	"egretring.example/egretring/describer"
	"egretring.example/egretring/retrier"
)

// hungFactor is the multiple of the overdue limit after which an attempt that reached its deadline is a failure of
// the server rather than of a tight deadline. Stragglers pass it as well, but seldom five times in a row.
const hungFactor = 2

// ending is the end of an attempt or a relay.
type ending struct {
	evidence    describer.Evidence
	answerBegun bool
}

func (d *Dispatcher) endAttempt(now time.Time, event AttemptEnded) {
	e, known := d.requests[event.ID]
	if !known || e.state != running || e.attempts != event.Attempt {
		return
	}
	d.vacate(e)
	elapsed := now.Sub(e.startedAt)
	if event.SlotHeld {
		d.picker.Hold(e.server)
	}
	d.picker.Release(now, e.server, d.serverEvidence(now, e, event.Evidence))
	if event.ServerLeaving {
		d.picker.MarkLeaving(now, e.server)
	}
	d.learn(e, event.Evidence, elapsed)
	d.conclude(now, e, ending{event.Evidence, event.AnswerBegun})
}

// serverEvidence is what an attempt says about its server.
func (d *Dispatcher) serverEvidence(now time.Time, e *entry, evidence describer.Evidence) describer.Evidence {
	if e.cancelled && evidence != describer.Answered && !evidence.ProvesNotRun() {
		return describer.Aborted
	}
	// The forwarder ends an attempt at the deadline by itself, so its report may come before the tick.
	late := !now.Before(e.request.Deadline)
	hung := late && now.Sub(e.startedAt) > hungFactor*e.learner.Estimate().Overdue
	if evidence == describer.Aborted && hung {
		return describer.Broken
	}
	return evidence
}

func (d *Dispatcher) learn(e *entry, evidence describer.Evidence, elapsed time.Duration) {
	switch evidence {
	case describer.Answered:
		e.learner.Observe(elapsed)
	case describer.Aborted:
		e.learner.ObserveAtLeast(elapsed)
	}
}

// conclude ends a request whose attempt or relay has ended, or tries it again.
func (d *Dispatcher) conclude(now time.Time, e *entry, end ending) {
	if end.evidence == describer.Answered {
		d.retrier.Succeed(now, e.request.Service)
		d.finish(e)
		return
	}
	e.recordEvidence(end.evidence, end.answerBegun)
	switch {
	case e.cancelled:
		d.answer(e, classifier.Cancelled, time.Time{})
	case !now.Before(e.request.Deadline):
		d.answer(e, e.kindOr(classifier.DeadlineExceeded), now)
	case e.state == relayed && end.evidence.ProvesNotRun() && !end.answerBegun:
		d.place(now, e)
	default:
		d.retry(now, e, end)
	}
}

func (d *Dispatcher) retry(now time.Time, e *entry, end ending) {
	decision := d.retrier.Decide(now, retrier.Attempt{
		Service:     e.request.Service,
		Deadline:    e.request.Deadline,
		Repeatable:  e.request.Repeatable,
		Evidence:    end.evidence,
		AnswerBegun: end.answerBegun,
		MayHaveRun:  e.mayHaveRun,
		Attempts:    e.attempts + e.relays,
		LeastRun:    e.learner.Estimate().Low,
	})
	// A peer that reports a failed run has applied its own retries; repeating them here would multiply the attempts.
	failedAtPeer := e.state == relayed && end.evidence == describer.Failed
	if !decision.Retry || failedAtPeer {
		d.answer(e, e.kindOr(classifier.NoBackendServer), decision.At)
		return
	}
	e.state = waitingForRetry
	d.agenda.add(appointment{at: decision.At, purpose: retryIsDue, entry: e})
}
