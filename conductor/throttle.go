package conductor

import "time"

// throttle enforces a minimum time between passes of one kind.
type throttle struct {
	interval time.Duration
	next     time.Time
	// skipped is set when the last call of begin came too early for a pass.
	skipped bool
}

// begin reports whether a pass may begin now, and if so records its start.
func (t *throttle) begin(now time.Time) bool {
	t.skipped = now.Before(t.next)
	if t.skipped {
		return false
	}
	t.next = now.Add(t.interval)
	return true
}
