package conductor_test

import (
	"strings"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/specifier"
)

// requireNoViolations checks that no rule was broken, and shows all decisions otherwise.
func (w *simulation) requireNoViolations() {
	w.t.Helper()
	if len(w.violations) > 0 {
		w.t.Log(strings.Join(w.decisions, "\n"))
	}
	require.Empty(w.t, w.violations)
}

// requireEnded checks that all jobs have ended.
func (w *simulation) requireEnded() {
	w.t.Helper()
	for _, job := range w.submitted {
		state := w.state(job.ID)
		require.True(w.t, state.Final(), "job %s is %s", job.ID, stateNames[state])
	}
}

// requireNoneFailed checks that no job has failed.
func (w *simulation) requireNoneFailed() {
	w.t.Helper()
	for _, job := range w.submitted {
		require.NotEqual(w.t, specifier.Failed, w.state(job.ID), "job %s", job.ID)
	}
}
