package classifier_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/classifier"
)

// TestErrorResponsesAreComplete guards against a kind whose row in the response table is missing or incomplete, or
// whose name is used twice.
func TestErrorResponsesAreComplete(t *testing.T) {
	names := make(map[string]bool)
	for _, kind := range classifier.Kinds() {
		response := classifier.ErrorResponseOf(kind)
		require.NotEmpty(t, response.Name, "kind %d", kind)
		require.False(t, names[response.Name], "name %s is used twice", response.Name)
		names[response.Name] = true
		require.GreaterOrEqual(t, response.Status, 400, response.Name)
		require.NotZero(t, response.ExitCode, response.Name)
		require.Contains(t, []classifier.Outcome{classifier.NotRun, classifier.Run, classifier.Unknown}, response.Outcome)
		found, ok := classifier.ParseKind(response.Name)
		require.True(t, ok)
		require.Equal(t, kind, found)
	}
}
