package tester

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/tailscale/hujson"
)

// ReadCases reads test cases from a file in testdata that holds JSON with comments.
func ReadCases[T any](t *testing.T, file string) []T {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", file))
	require.NoError(t, err)
	text, err = hujson.Standardize(text)
	require.NoError(t, err, file)
	var cases []T
	require.NoError(t, json.Unmarshal(text, &cases), file)
	return cases
}
