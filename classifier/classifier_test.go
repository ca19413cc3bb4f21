package classifier_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/classifier"
)

// TestAnswersAreComplete guards against a kind whose row in the answer table is missing or incomplete, or whose name is
// used twice.
func TestAnswersAreComplete(t *testing.T) {
	names := make(map[string]bool)
	for _, kind := range classifier.Kinds() {
		answer := classifier.ErrorResponseOf(kind)
		require.NotEmpty(t, answer.Name, "kind %d", kind)
		require.False(t, names[answer.Name], "name %s is used twice", answer.Name)
		names[answer.Name] = true
		require.GreaterOrEqual(t, answer.Status, 400, answer.Name)
		require.NotZero(t, answer.ExitCode, answer.Name)
		require.Contains(t, []classifier.Outcome{classifier.NotRun, classifier.Run, classifier.Unknown}, answer.Outcome)
		found, ok := classifier.ParseKind(answer.Name)
		require.True(t, ok)
		require.Equal(t, kind, found)
	}
}
