package demonstrator_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/demonstrator"
)

// TestDemoBreaksNoGuarantee guards against a guarantee that is broken only in a whole cell under load and faults. The
// guarantees with a time limit (leaving servers, graceful stop) are not checked here, because a busy machine may miss
// them.
func TestDemoBreaksNoGuarantee(t *testing.T) {
	for _, deployment := range []string{"tumbonas", "hronov"} {
		t.Run(deployment, func(t *testing.T) {
			const seed = 20261204
			t.Logf("seed %d", seed)
			result, err := demonstrator.Run(t.Context(), demonstrator.Options{
				Deployment: deployment, Seed: seed, Duration: 4 * time.Second,
			})
			require.NoError(t, err)
			require.NotZero(t, result.Answered)
			require.Zero(t, result.Lost, "requests lost")
			require.Zero(t, result.Doubled, "requests or tasks doubled")
			require.Zero(t, result.RunAfterNotRun, "requests run after the answer 'not run'")
			require.Zero(t, result.WrongAnswers, "answers not whole or not the caller's own")
			require.Zero(t, result.OverCapacity, "work above a backend server's capacity; events %v", result.Events)
		})
	}
}
