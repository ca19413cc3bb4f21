package scheduler

import "time"

const (
	// submitPause is how long a shard of the plan is not written after a job was submitted or changed: two passes of the
	// planner.
	submitPause = 2 * planningTick
	// maxSubmitPause is how long steady changes may postpone the write of a shard.
	maxSubmitPause = 10 * planningTick
)

// postponement is the time from which a shard may be written, and the latest one to which more changes may extend it.
type postponement struct {
	until  time.Time
	latest time.Time
}

// postpone postpones the write of a shard after a change of one of its jobs. A postponement is started anew if the shard
// could have been written for submitPause: it then waited for something else, and the plan right after the change must
// not be written either.
func (t *planTable) postpone(now time.Time, number int) {
	current, postponed := t.postponed[number]
	if !postponed || !now.Before(current.until.Add(submitPause)) {
		current.latest = now.Add(maxSubmitPause)
	}
	current.until = now.Add(submitPause)
	if current.until.After(current.latest) {
		current.until = current.latest
	}
	t.postponed[number] = current
}
