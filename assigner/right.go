package assigner

import "time"

// Right is the right of a member to start work.
type Right struct {
	// Deadline is when the right that the store lease gives ends; it is zero without a confirmed lease.
	Deadline time.Time
	// Held is true while the member is party to a concluded hold agreement, which has no deadline.
	Held bool
}

// Allows reports whether work may start at the given time.
func (r Right) Allows(now time.Time) bool {
	return r.Held || now.Before(r.Deadline)
}
