package conductor

import "time"

// acceptanceTolerance is how long a healthy store may take to store a job after its acceptance.
const acceptanceTolerance = 250 * time.Millisecond

// acceptedAt returns when a job was accepted, on the clock of the owner. The time in the job is on the clock of the instance
// that accepted it, and that clock may be ahead or behind by any amount. It counts within the bounds that the owner knows.
func acceptedAt(now time.Time, e JobArrived) time.Time {
	switch {
	case e.Job.AcceptedAt.After(now):
		return now
	case e.Job.AcceptedAt.Before(e.StoredAfter.Add(-acceptanceTolerance)):
		return e.StoredAfter
	default:
		return e.Job.AcceptedAt
	}
}
