package conductor

import "time"

// throttle keeps passes of one kind apart.
type throttle struct {
	interval time.Duration
	next     time.Time
	// skipped is set when a pass was due earlier than it may begin.
	skipped bool
}

// begin reports whether a pass may begin now.
func (t *throttle) begin(now time.Time) bool {
	t.skipped = now.Before(t.next)
	if t.skipped {
		return false
	}
	t.next = now.Add(t.interval)
	return true
}
