package tester

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/tailscale/hujson"
)

// ReadCases reads the cases of a data file, JSON with comments, below testdata.
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
