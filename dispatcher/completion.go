package dispatcher

import (
	"time"

	"egretring.example/egretring/classifier"
	"egretring.example/egretring/describer"
	"egretring.example/egretring/retrier"
)

// hungFactor is the multiple of the overdue limit after which an attempt that reached its deadline counts as a failure
// of the server rather than as the result of a tight deadline. Stragglers, runs that take much longer than is usual for
// their kind, exceed it as well, but rarely five times in a row, the number of failures in a row that ejects a server.
const hungFactor = 2

// attemptResult is the result of an attempt or a relay.
type attemptResult struct {
	evidence        describer.Evidence
	responseStarted bool
}

func (d *Dispatcher) endAttempt(now time.Time, event AttemptEnded) {
	e, known := d.requests[event.ID]
	if !known || e.state != running || e.attempts != event.Attempt {
		return
	}
	d.recordEnd(e)
	elapsed := now.Sub(e.startedAt)
	if event.SlotHeld {
		d.picker.HoldSlot(e.server)
	}
	d.picker.Release(now, e.server, d.serverEvidence(now, e, event.Evidence))
	if event.ServerLeaving {
		d.picker.MarkLeaving(now, e.server)
	}
	d.learn(e, event.Evidence, elapsed)
	d.completeOrRetry(now, e, attemptResult{event.Evidence, event.ResponseStarted})
}

// serverEvidence returns the evidence that the end of an attempt gives about its server. It differs from that about the
// request: an attempt of a cancelled request that failed after it may have run counts as aborted, and one that was
// aborted at the deadline long after it became overdue counts as broken.
func (d *Dispatcher) serverEvidence(now time.Time, e *entry, evidence describer.Evidence) describer.Evidence {
	if e.cancelled && evidence != describer.Answered && !evidence.ProvesNotRun() {
		return describer.Aborted
	}
	// The forwarder ends an attempt at the deadline by itself, so the AttemptEnded event may arrive before the Ticked
	// event for the deadline.
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

// completeOrRetry ends or retries a request whose attempt or relay has ended.
func (d *Dispatcher) completeOrRetry(now time.Time, e *entry, result attemptResult) {
	if result.evidence == describer.Answered {
		d.retrier.RecordSuccess(now, e.request.Service)
		d.finish(e)
		return
	}
	e.recordEvidence(result.evidence, result.responseStarted)
	switch {
	case e.cancelled:
		d.fail(e, classifier.Cancelled, time.Time{})
	case !now.Before(e.request.Deadline):
		d.fail(e, e.kindOr(classifier.DeadlineExceeded), now)
	case e.state == relayed && result.evidence.ProvesNotRun() && !result.responseStarted:
		d.admit(now, e)
	default:
		d.retry(now, e, result)
	}
}

func (d *Dispatcher) retry(now time.Time, e *entry, result attemptResult) {
	decision := d.retrier.Decide(now, retrier.Attempt{
		Service:         e.request.Service,
		Deadline:        e.request.Deadline,
		Repeatable:      e.request.Repeatable,
		Evidence:        result.evidence,
		ResponseStarted: result.responseStarted,
		MayHaveRun:      e.mayHaveRun,
		Attempts:        e.attempts + e.relays,
		MinRunTime:      e.learner.Estimate().Low,
	})
	// A peer that reports a failed run has already applied its own retries; retrying here would multiply the attempts.
	failedAtPeer := e.state == relayed && result.evidence == describer.Failed
	if !decision.Retry || failedAtPeer {
		d.fail(e, e.kindOr(classifier.NoBackendServer), decision.At)
		return
	}
	e.state = waitingForRetry
	d.schedule.add(wakeup{at: decision.At, reason: retryDue, entry: e})
}
