package deduplicator_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"egretring.example/egretring/classifier"
	"egretring.example/egretring/deduplicator"
	"egretring.example/egretring/describer"
)

// modelSteps is the number of actions of one generated order; shorter orders rarely contain two transitions.
const modelSteps = 200

// modelActions lists the actions, the frequent ones several times.
var modelActions = []func(*zoneModel, *rapid.T){
	(*zoneModel).send, (*zoneModel).send, (*zoneModel).send, (*zoneModel).send,
	(*zoneModel).endRun, (*zoneModel).endRun, (*zoneModel).endRun,
	(*zoneModel).applyEpoch, (*zoneModel).applyEpoch, (*zoneModel).applyEpoch,
	(*zoneModel).openTransition, (*zoneModel).deliverDelayed, (*zoneModel).advanceClock, (*zoneModel).restartInstance,
}

// TestAtMostOnce guards against a key that runs twice, or whose caller gets the outcome "not run" although it ran or may
// have run, under generated orders of attempts, lost responses, restarts and changes of homes.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		z := newZoneModel()
		for range modelSteps {
			rapid.SampledFrom(modelActions).Draw(t, "action")(z, t)
			z.check(t)
		}
	})
}

// send makes a caller send an attempt, which reaches any instance now or later, or never.
func (z *zoneModel) send(t *rapid.T) {
	c := z.pickCaller(t)
	c.attempts++
	marked := deduplicator.AttemptUnknown
	if rapid.Bool().Draw(t, "marked") {
		marked = c.attempts
	}
	if marked != 1 && rapid.IntRange(0, 3).Draw(t, "delayed") == 0 {
		c.delayed = append(c.delayed, marked)
		return
	}
	z.deliver(t, c, marked)
}

func (z *zoneModel) pickCaller(t *rapid.T) *caller {
	index := rapid.IntRange(0, min(len(z.callers), 4)).Draw(t, "caller")
	if index > 0 {
		c := z.callers[len(z.callers)-index]
		if c.timed || z.now.Sub(c.firstSent) <= window {
			return c
		}
	}
	c := &caller{firstSent: z.now, timed: rapid.Bool().Draw(t, "timed")}
	text := fmt.Sprint("hala-a:", len(z.callers))
	if c.timed {
		ahead := time.Duration(rapid.Int64Range(-int64(skew), int64(skew)).Draw(t, "caller's clock ahead"))
		text = "hala-a:" + uuid(z.now.Add(ahead), len(z.callers))
	}
	c.key = parse(t, text)
	z.callers = append(z.callers, c)
	return c
}

// deliverDelayed delivers a delayed attempt.
func (z *zoneModel) deliverDelayed(t *rapid.T) {
	var waiting []*caller
	for _, c := range z.callers {
		if len(c.delayed) > 0 && (c.timed || z.now.Sub(c.firstSent) <= window) {
			waiting = append(waiting, c)
		}
	}
	if len(waiting) == 0 {
		return
	}
	c := rapid.SampledFrom(waiting).Draw(t, "caller")
	attempt := c.delayed[0]
	c.delayed = c.delayed[1:]
	z.deliver(t, c, attempt)
}

func (z *zoneModel) deliver(t *rapid.T, c *caller, attempt int) {
	i := rapid.SampledFrom(z.instances).Draw(t, "instance")
	decision := i.deduplicator.Begin(z.now, c.key, attempt)
	switch decision.Action {
	case deduplicator.Run:
		i.running[c.key.String()] = slices.Index(z.callers, c)
	case deduplicator.Replay:
		require.Equal(t, 1, c.runs)
	default:
		z.checkResponse(t, c, decision.Kind)
	}
}

// checkResponse checks that the outcome "not run", if the kind has it, is correct.
func (z *zoneModel) checkResponse(t *rapid.T, c *caller, kind classifier.Kind) {
	if classifier.ErrorResponseOf(kind).Outcome != classifier.NotRun {
		return
	}
	require.Zero(t, c.runs, "key %s ran and its caller receives %s", c.key, kind)
	for _, i := range z.instances {
		require.NotContains(t, i.running, c.key.String(), "the caller receives %s", kind)
	}
}

// endRun ends one run with any evidence. Answered and Failed prove that it ran; for evidence that proves neither that it
// ran nor that it did not, the model chooses whether it ran.
func (z *zoneModel) endRun(t *rapid.T) {
	var busy []*instance
	for _, i := range z.instances {
		if len(i.running) > 0 {
			busy = append(busy, i)
		}
	}
	if len(busy) == 0 {
		return
	}
	i := rapid.SampledFrom(busy).Draw(t, "instance")
	text := rapid.SampledFrom(slices.Sorted(maps.Keys(i.running))).Draw(t, "key")
	c := z.callers[i.running[text]]
	delete(i.running, text)
	evidence := describer.Evidence(rapid.IntRange(int(describer.Answered), int(describer.Aborted)).Draw(t, "evidence"))
	status := 0
	switch {
	case evidence == describer.Answered:
		c.runs, status = c.runs+1, 200
	case evidence == describer.Failed:
		c.runs, status = c.runs+1, 500
	case !evidence.ProvesNotRun() && rapid.Bool().Draw(t, "ran"):
		c.runs++
	}
	i.deduplicator.End(z.now, c.key, evidence, status)
	if evidence.ProvesNotRun() {
		z.checkResponse(t, c, classifier.NoBackendServer)
	}
	z.advanceTransition()
}

func (z *zoneModel) advanceClock(t *rapid.T) {
	longest := rapid.SampledFrom([]time.Duration{time.Second, skew, window, 3 * window}).Draw(t, "longest wait")
	z.now = z.now.Add(time.Duration(rapid.Int64Range(0, int64(longest)).Draw(t, "wait")))
}

func (z *zoneModel) check(t *rapid.T) {
	for _, c := range z.callers {
		require.LessOrEqual(t, c.runs, 1, "key %s ran %d times", c.key, c.runs)
	}
	places := make(map[string]int)
	for _, i := range z.instances {
		for text := range i.running {
			places[text]++
			require.Equal(t, 1, places[text], "key %s runs at two homes", text)
			require.Zero(t, z.callers[i.running[text]].runs, "key %s runs again", text)
		}
	}
}
