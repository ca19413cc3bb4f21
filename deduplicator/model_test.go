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

// modelSteps is the number of actions of one generated order; shorter ones seldom contain two transitions.
const modelSteps = 200

// modelActions lists the actions, the frequent ones several times.
var modelActions = []func(*world, *rapid.T){
	(*world).send, (*world).send, (*world).send, (*world).send, (*world).endRun, (*world).endRun, (*world).endRun,
	(*world).adopt, (*world).adopt, (*world).adopt, (*world).openTransition, (*world).arrive, (*world).wait,
	(*world).kill,
}

// TestAtMostOnce guards against a key that runs twice, or whose caller is told "not run" although it ran or may have
// run, under generated orders of attempts, lost answers, restarts and changes of homes.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		for range modelSteps {
			rapid.SampledFrom(modelActions).Draw(t, "action")(w, t)
			w.check(t)
		}
	})
}

// send makes a caller send an attempt, which arrives at any instance now or later, or never.
func (w *world) send(t *rapid.T) {
	c := w.pickCaller(t)
	c.attempts++
	marked := deduplicator.AttemptUnknown
	if rapid.Bool().Draw(t, "marked") {
		marked = c.attempts
	}
	if marked != 1 && rapid.IntRange(0, 3).Draw(t, "delayed") == 0 {
		c.delayed = append(c.delayed, marked)
		return
	}
	w.deliver(t, c, marked)
}

func (w *world) pickCaller(t *rapid.T) *caller {
	index := rapid.IntRange(0, min(len(w.callers), 4)).Draw(t, "caller")
	if index > 0 {
		c := w.callers[len(w.callers)-index]
		if c.timed || w.now.Sub(c.firstSent) <= window {
			return c
		}
	}
	c := &caller{firstSent: w.now, timed: rapid.Bool().Draw(t, "timed")}
	text := fmt.Sprint("hala-a:", len(w.callers))
	if c.timed {
		ahead := time.Duration(rapid.Int64Range(-int64(skew), int64(skew)).Draw(t, "caller's clock ahead"))
		text = "hala-a:" + uuid(w.now.Add(ahead), len(w.callers))
	}
	c.key = parse(t, text)
	w.callers = append(w.callers, c)
	return c
}

// arrive delivers a delayed attempt.
func (w *world) arrive(t *rapid.T) {
	var waiting []*caller
	for _, c := range w.callers {
		if len(c.delayed) > 0 && (c.timed || w.now.Sub(c.firstSent) <= window) {
			waiting = append(waiting, c)
		}
	}
	if len(waiting) == 0 {
		return
	}
	c := rapid.SampledFrom(waiting).Draw(t, "caller")
	attempt := c.delayed[0]
	c.delayed = c.delayed[1:]
	w.deliver(t, c, attempt)
}

func (w *world) deliver(t *rapid.T, c *caller, attempt int) {
	i := rapid.SampledFrom(w.instances).Draw(t, "instance")
	decision := i.core.Begin(w.now, c.key, attempt)
	switch decision.Action {
	case deduplicator.Run:
		i.running[c.key.String()] = slices.Index(w.callers, c)
	case deduplicator.Replay:
		require.Equal(t, 1, c.runs)
	default:
		w.tell(t, c, decision.Kind)
	}
}

// tell checks an answer that promises "not run".
func (w *world) tell(t *rapid.T, c *caller, kind classifier.Kind) {
	if classifier.AnswerOf(kind).Outcome != classifier.NotRun {
		return
	}
	require.Zero(t, c.runs, "key %s ran and its caller is told %s", c.key, kind)
	for _, i := range w.instances {
		require.NotContains(t, i.running, c.key.String(), "the caller is told %s", kind)
	}
}

// endRun ends one run; only an answer, and evidence that proves nothing, leave open whether it ran.
func (w *world) endRun(t *rapid.T) {
	var busy []*instance
	for _, i := range w.instances {
		if len(i.running) > 0 {
			busy = append(busy, i)
		}
	}
	if len(busy) == 0 {
		return
	}
	i := rapid.SampledFrom(busy).Draw(t, "instance")
	text := rapid.SampledFrom(slices.Sorted(maps.Keys(i.running))).Draw(t, "key")
	c := w.callers[i.running[text]]
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
	i.core.End(w.now, c.key, evidence, status)
	if evidence.ProvesNotRun() {
		w.tell(t, c, classifier.NoBackendServer)
	}
	w.advanceTransition()
}

func (w *world) wait(t *rapid.T) {
	longest := rapid.SampledFrom([]time.Duration{time.Second, skew, window, 3 * window}).Draw(t, "longest wait")
	w.now = w.now.Add(time.Duration(rapid.Int64Range(0, int64(longest)).Draw(t, "wait")))
}

func (w *world) check(t *rapid.T) {
	for _, c := range w.callers {
		require.LessOrEqual(t, c.runs, 1, "key %s ran %d times", c.key, c.runs)
	}
	places := make(map[string]int)
	for _, i := range w.instances {
		for text := range i.running {
			places[text]++
			require.Equal(t, 1, places[text], "key %s runs at two homes", text)
			require.Zero(t, w.callers[i.running[text]].runs, "key %s runs again", text)
		}
	}
}
