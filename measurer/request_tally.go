package measurer

import (
	"slices"
	"time"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/fakebackend"
)

// requestTally holds the counts and times of one run, taken at the callers and the backend servers.
type requestTally struct {
	// waits are the times from the sending of a request to the start of its first run.
	waits [describer.ClassCount][]time.Duration
	// quantiles are the waitQuantiles of the waits, which are dropped at the end of the run to save memory.
	quantiles [describer.ClassCount][len(waitQuantiles)]time.Duration
	begun     [describer.ClassCount]int
	sent      [describer.ClassCount]int
	answered  [describer.ClassCount]int
	refused   [describer.ClassCount]int
	// otherwise counts the requests that failed, may have run, were answered after their deadline or got no response.
	otherwise [describer.ClassCount]int
	// useful is the slot time within the measured window of requests that were answered before their deadline.
	useful time.Duration

	use slotUsageTrace

	// The numbers of broken guarantees follow.
	lost           int
	doubled        int
	ranAfterNotRun int
	overCapacity   int
}

func (t *requestTally) send(call *callerRequest) {
	if inWindow(call.sentAt) {
		t.sent[call.arrival.Class]++
	}
}

func (t *requestTally) begin(call *callerRequest) {
	if inWindow(call.sentAt) {
		t.waits[call.arrival.Class] = append(t.waits[call.arrival.Class], call.beganAt.Sub(call.sentAt))
	}
}

// countHeldSlots counts, by class, the busy slots of an instance at which an Urgent request has to wait.
func (t *requestTally) countHeldSlots(call *callerRequest, busy perClass) {
	if !inWindow(call.sentAt) {
		return
	}
	for class, slots := range busy {
		t.use.held[class] += slots
	}
}

// end records the outcome of a request. The request is counted if it was sent in the measured window. The part of its
// useful run time that lies in the window is counted in any case.
func (t *requestTally) end(now time.Time, call *callerRequest, callerOutcome fakebackend.CallerOutcome) {
	class := call.arrival.Class
	inTime := callerOutcome == fakebackend.OutcomeAnswered && now.Sub(call.sentAt) <= call.arrival.Timeout
	if inTime {
		t.useful += windowed(call.ranFrom, call.ranUntil)
	}
	if !inWindow(call.sentAt) {
		return
	}
	switch {
	case inTime:
		t.answered[class]++
	case callerOutcome == fakebackend.OutcomeNotRun:
		t.refused[class]++
	default:
		t.otherwise[class]++
	}
}

// computeQuantiles replaces the waits by their quantiles.
func (t *requestTally) computeQuantiles() {
	for class, waits := range t.waits {
		slices.Sort(waits)
		t.begun[class] = len(waits)
		for i, wanted := range waitQuantiles {
			t.quantiles[class][i] = quantileOfSorted(waits, wanted.q)
		}
		t.waits[class] = nil
	}
}

// windowed returns the part of a period that lies in the measured window.
func windowed(from, until time.Time) time.Duration {
	first, last := epochStart.Add(requestWarmUp), epochStart.Add(requestDuration)
	if from.Before(first) {
		from = first
	}
	if until.After(last) {
		until = last
	}
	return max(0, until.Sub(from))
}

// goodput returns the useful run time as a share of the time of all slots in the measured window.
func (t *requestTally) goodput() float64 {
	capacity := float64(requestServers*slotsPerServer) * (requestDuration - requestWarmUp).Seconds()
	return t.useful.Seconds() / capacity
}

func (t *requestTally) refusedShare() float64 {
	sent, refused := 0, 0
	for class := range t.sent {
		sent += t.sent[class]
		refused += t.refused[class]
	}
	return float64(refused) / float64(max(1, sent))
}

// brokenGuarantees returns the number of times that a guarantee was broken.
func (t *requestTally) brokenGuarantees() int {
	return t.lost + t.doubled + t.ranAfterNotRun + t.overCapacity
}
