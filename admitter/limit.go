package admitter

import (
	"time"

	"egretring.example/egretring/classifier"
	"egretring.example/egretring/describer"
)

// CheckLimits checks what does not depend on the queue: service, deadline, and the limits of team and class. Run is
// the expected run time; it is the time until a request in progress makes room.
func (a *Admitter) CheckLimits(now time.Time, request describer.Request, run time.Duration) Verdict {
	if !a.ready {
		return Verdict{Kind: classifier.NotReady, RetryAt: a.retryAfter(now, time.Second)}
	}
	service, known := a.services[request.Service]
	if !known {
		return Verdict{Kind: classifier.UnknownService}
	}
	if verdict := a.checkDeadline(now, request); !verdict.Admitted {
		return verdict
	}
	if a.overLimit(service, request) {
		return Verdict{Kind: classifier.LimitReached, RetryAt: a.retryAfter(now, run)}
	}
	return Verdict{Admitted: true}
}

func (a *Admitter) checkDeadline(now time.Time, request describer.Request) Verdict {
	if request.Deadline.After(now.Add(maxAhead)) {
		return Verdict{Kind: classifier.BadDeadline}
	}
	if request.Deadline.After(now) {
		return Verdict{Admitted: true}
	}
	if request.Relayed {
		// The deadline was good when the caller sent the request; it passed on the way between the instances.
		return Verdict{Kind: classifier.DeadlineExceeded}
	}
	return Verdict{Kind: classifier.BadDeadline}
}

func (a *Admitter) overLimit(service describer.Service, request describer.Request) bool {
	limit := a.classLimits[request.Class]
	if limit > 0 && a.classes[request.Class] >= limit {
		return true
	}
	teamLimit, limited := service.TeamLimits[request.Team]
	return limited && a.teams[teamKey{request.Service, request.Team}] >= teamLimit
}

// queueFull reports whether the queue of the request's service and class, or the common bound, has no room.
func (a *Admitter) queueFull(request describer.Request, long bool) bool {
	limit := a.services[request.Service].QueueLimit
	if limit <= 0 {
		limit = defaultQueueLimit
	}
	part := 1.0
	if long {
		part = longPart
	}
	if float64(a.queues[classKey{request.Service, request.Class}]) >= part*float64(limit) {
		return true
	}
	return float64(a.queued) >= part*queueParts[request.Class]*float64(a.bound)
}
