package conductor

import "time"

const (
	// passShare divides the owner's time to get the part that passes over all steps may take.
	passShare = 10
	// passSmoothing is the weight of the earlier passes against the last one, of which some include a pause of the process.
	passSmoothing = 3
	// passTimePerPair is the assumed time of a pass for each pair of a waiting step and a server, until one was measured.
	passTimePerPair = 15 * time.Nanosecond
)

// passRate spaces the passes over all steps by the time that they take, so that a backlog leaves most of the owner's processor to
// starts, renewals and commits.
type passRate struct {
	// took is the smoothed time of a pass; zero until one was measured.
	took time.Duration
	// begunAt is when the last pass began, and measured is set once its time is known.
	begunAt  time.Time
	measured bool
}

// begin records the start of a pass over a number of pairs of a waiting step and a server, and returns the earliest time of the next one.
func (r *passRate) begin(now time.Time, pairs int) time.Time {
	r.begunAt, r.measured = now, false
	took := r.took
	if took == 0 {
		took = time.Duration(pairs) * passTimePerPair
	}
	return r.next(took)
}

func (r *passRate) next(took time.Duration) time.Time {
	return r.begunAt.Add(min(max(passShare*took, minPassInterval), placeInterval))
}

// PlanTook tells the state machine how long a call of Plan took that began at the given time.
func (c *Conductor) PlanTook(begunAt time.Time, took time.Duration) {
	r := &c.passRate
	if took <= 0 || r.measured || !r.begunAt.Equal(begunAt) {
		return
	}
	r.measured = true
	if r.took == 0 {
		r.took = took
	}
	r.took = (passSmoothing*r.took + took) / (passSmoothing + 1)
	c.fullPassNotBefore = r.next(r.took)
}
