package admitter

import (
	"time"

	"egretring.example/egretring/classifier"
	"egretring.example/egretring/describer"
)

// CheckLimits performs the checks that do not depend on the queue: service, deadline, and the limits of team and class.
// The retry time of a request refused at a limit follows from run, its expected run time, because that is about the
// time until a request in progress ends.
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
	if request.Deadline.After(now.Add(maxDeadlineAhead)) {
		return Verdict{Kind: classifier.BadDeadline}
	}
	if request.Deadline.After(now) {
		return Verdict{Admitted: true}
	}
	if request.Relayed {
		// The deadline was valid when the caller sent the request; it passed during the relay between the instances.
		return Verdict{Kind: classifier.DeadlineExceeded}
	}
	return Verdict{Kind: classifier.BadDeadline}
}

func (a *Admitter) overLimit(service describer.Service, request describer.Request) bool {
	limit := a.classLimits[request.Class]
	if limit > 0 && a.inProgressByClass[request.Class] >= limit {
		return true
	}
	teamLimit, limited := service.TeamLimits[request.Team]
	return limited && a.inProgressByTeam[teamKey{request.Service, request.Team}] >= teamLimit
}

// queueFull reports whether the queue of the request's service and class, or the common bound of all queues, has no
// free capacity for the request.
func (a *Admitter) queueFull(request describer.Request, long bool) bool {
	limit := a.services[request.Service].QueueLimit
	if limit <= 0 {
		limit = defaultQueueLimit
	}
	share := 1.0
	if long {
		share = longQueueShare
	}
	if float64(a.queuedByClass[classKey{request.Service, request.Class}]) >= share*float64(limit) {
		return true
	}
	return float64(a.queued) >= share*classQueueShares[request.Class]*float64(a.queueBound)
}
