package conductor

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/calibrator"
	"egretring.example/egretring/lifecycler"
	"egretring.example/egretring/specifier"
)

// TestStepThatNeedsReservedServersGetsThem guards against a step that never starts because only servers that are kept for urgent steps have
// its label, and against one that gets these although others have it.
func TestStepThatNeedsReservedServersGetsThem(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	for _, c := range []struct {
		label string
		want  int
	}{{"reserved", 1}, {"all", 1}, {"none", 0}} {
		conductor := New(now, 1)
		capacity := specifier.Resources{MilliCores: 16000, MemoryMB: 64000}
		kept := &session{id: "a", class: calibrator.Fast, reserved: true}
		kept.server = specifier.Server{ID: "a", Capacity: capacity, Labels: []string{"reserved", "all"}}
		free := &session{id: "b", class: calibrator.Slow}
		free.server = specifier.Server{ID: "b", Capacity: capacity, Labels: []string{"all"}}
		p := &pass{now: now, usable: map[string][]*session{"": {kept, free}}}
		spec := specifier.Step{Count: 1, Need: specifier.Resources{MilliCores: 1000}, RequiredLabel: c.label}
		w := &waitingStep{
			job:  &job{Job: lifecycler.New(specifier.Job{ID: "j", Steps: []specifier.Step{spec}}), queue: specifier.Queue{Priority: 1}},
			step: &lifecycler.Step{Spec: spec}, waiting: []int{0}, wait: wait{since: now.Add(-reserveCheckAfter)},
		}
		require.NotContains(t, p.candidates(w), kept)
		conductor.waitingSteps[w.step.ID] = w
		conductor.checkReserve(p)
		require.Len(t, p.candidates(w), c.want, c.label)
		require.Equal(t, c.label == "reserved", w.wait.usesReserve, c.label)
	}
}

// TestStepRefusedByAdviceGetsReservedServers guards against a step that never starts because advice refuses all servers but those that are
// kept for urgent steps.
func TestStepRefusedByAdviceGetsReservedServers(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	conductor := New(now, 1)
	capacity := specifier.Resources{MilliCores: 16000, MemoryMB: 64000}
	kept := &session{id: "a", class: calibrator.Fast, reserved: true, server: specifier.Server{ID: "a", Capacity: capacity}}
	free := &session{id: "b", class: calibrator.Slow, server: specifier.Server{ID: "b", Capacity: capacity}}
	p := &pass{now: now, usable: map[string][]*session{"": {kept, free}}}
	spec := specifier.Step{Count: 1, Need: specifier.Resources{MilliCores: 1000}}
	w := &waitingStep{
		job: &job{
			Job:    lifecycler.New(specifier.Job{ID: "j", Steps: []specifier.Step{spec}}),
			queue:  specifier.Queue{Priority: 1, Advice: specifier.AdviceCost{Needed: true}},
			advice: make(map[specifier.StepID]*advice),
		},
		step: &lifecycler.Step{Spec: spec}, waiting: []int{0}, wait: wait{since: now.Add(-reserveCheckAfter)},
	}
	conductor.waitingSteps[w.step.ID] = w
	conductor.checkReserve(p)
	require.False(t, w.wait.usesReserve)
	w.job.adviceFor(w.step.ID).refuse("b", 0)
	p.now = now.Add(reserveCheckInterval)
	conductor.checkReserve(p)
	require.True(t, w.wait.usesReserve)
}
