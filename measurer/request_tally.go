package measurer

import (
	"slices"
	"time"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/fakebackend"
)

// requestTally counts at the callers and backend servers.
type requestTally struct {
	// waits are the times from the sending of a request to the begin of its first run.
	waits [describer.ClassCount][]time.Duration
	// quantiles are the waitQuantiles of the waits, which are dropped at the end of the run to save memory.
	quantiles [describer.ClassCount][len(waitQuantiles)]time.Duration
	begun     [describer.ClassCount]int
	sent      [describer.ClassCount]int
	answered  [describer.ClassCount]int
	refused   [describer.ClassCount]int
	// otherwise counts the requests that were told that they failed or may have run, or that were told nothing.
	otherwise [describer.ClassCount]int
	// useful is the time in the window during which requests ran that were answered before their deadline.
	useful time.Duration

	use useTrace

	lost           int
	doubled        int
	ranAfterNotRun int
	overCapacity   int
}

func (t *requestTally) send(k *call) {
	if inWindow(k.sentAt) {
		t.sent[k.arrival.Class]++
	}
}

func (t *requestTally) begin(k *call) {
	if inWindow(k.sentAt) {
		t.waits[k.arrival.Class] = append(t.waits[k.arrival.Class], k.beganAt.Sub(k.sentAt))
	}
}

// hold counts the slots that a waiting Urgent request finds busy.
func (t *requestTally) hold(k *call, busy perClass) {
	if !inWindow(k.sentAt) {
		return
	}
	for class, slots := range busy {
		t.use.held[class] += slots
	}
}

func (t *requestTally) end(now time.Time, k *call, told fakebackend.Told) {
	class := k.arrival.Class
	inTime := told == fakebackend.ToldAnswered && now.Sub(k.sentAt) <= k.arrival.Timeout
	if inTime {
		t.useful += windowed(k.ranFrom, k.ranUntil)
	}
	if !inWindow(k.sentAt) {
		return
	}
	switch {
	case inTime:
		t.answered[class]++
	case told == fakebackend.ToldNotRun:
		t.refused[class]++
	default:
		t.otherwise[class]++
	}
}

// conclude replaces the waits by their quantiles.
func (t *requestTally) conclude() {
	for class, waits := range t.waits {
		slices.Sort(waits)
		t.begun[class] = len(waits)
		for i, wanted := range waitQuantiles {
			t.quantiles[class][i] = quantileOfSorted(waits, wanted.q)
		}
		t.waits[class] = nil
	}
}

// windowed returns the part of a time that lies in the counted window.
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

// goodput is the useful run time as a share of what all slots could run.
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

// broken is the number of broken guarantees.
func (t *requestTally) broken() int {
	return t.lost + t.doubled + t.ranAfterNotRun + t.overCapacity
}
