package conductor

import "time"

// AdviceLoad counts advice calls and the time for which they occupied their advisors.
type AdviceLoad struct {
	AdviceCalls int
	AdviceTime  time.Duration
	// AdviceFailed are the calls without a response.
	AdviceFailed int
	// AdviceUsed are the calls after which a task of their step was placed while their tickets were valid, and AdviceUnused those
	// whose tickets have expired without that. Calls that failed or admitted no server are unused.
	AdviceUsed, AdviceUnused int
	AdviceUnusedTime         time.Duration
}

// adviceTally counts the advice calls since the last call of take.
type adviceTally struct {
	counted AdviceLoad
	// open are the calls that have not been used yet and whose tickets have not been found expired.
	open []openCall
}

// openCall is an advice call whose tickets may still be used.
type openCall struct {
	advice     *advice
	endedAt    time.Time
	lasted     time.Duration
	validUntil time.Time
}

// add counts a call that has ended; adv is nil if its job is gone or final.
func (t *adviceTally) add(now time.Time, e Advised, adv *advice) {
	lasted := now.Sub(e.SentAt)
	t.counted.AdviceCalls++
	t.counted.AdviceTime += lasted
	if e.Failed {
		t.counted.AdviceFailed++
	}
	if e.Failed || len(e.Grants) == 0 || adv == nil {
		t.unused(lasted)
		return
	}
	t.open = append(t.open, openCall{advice: adv, endedAt: now, lasted: lasted, validUntil: e.ValidUntil})
}

func (t *adviceTally) unused(lasted time.Duration) {
	t.counted.AdviceUnused++
	t.counted.AdviceUnusedTime += lasted
}

// take closes the calls that were used or whose tickets have expired, and returns the counts.
func (t *adviceTally) take(now time.Time) AdviceLoad {
	open := t.open[:0]
	for _, call := range t.open {
		switch {
		case !call.advice.placedAt.Before(call.endedAt):
			t.counted.AdviceUsed++
		case now.Before(call.validUntil):
			open = append(open, call)
		default:
			t.unused(call.lasted)
		}
	}
	clear(t.open[len(open):])
	t.open = open
	counted := t.counted
	t.counted = AdviceLoad{}
	return counted
}
