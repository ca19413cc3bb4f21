package main

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/loader"
)

// TestCheck guards against a check of settings that starts the daemon, accepts bad settings, or does not name the bad
// field, and against sample settings that are out of date.
func TestCheck(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.hujson")
	require.NoError(t, os.WriteFile(bad, []byte(`{"Instance": "a b"}`), 0o600))
	cases := []struct {
		name       string
		args       []string
		exitCode   int
		wantStdout string
		wantStderr string
	}{
		{"sample of tumbonas", []string{"-check", "../../examples/tumbonas/egretringd.hujson"}, 0, "settings are valid", ""},
		{"sample of hronov", []string{"-check", "../../examples/hronov/egretringd.hujson"}, 0, "settings are valid", ""},
		{"bad name", []string{"-check", bad}, 2, "", `bad.hujson:1: field Instance: name "a b" contains ' '; allowed: 1 to 63 of`},
		{"missing file", []string{"-check", bad + ".none"}, 2, "", "read settings"},
		{"unknown flag", []string{"-chekc", bad}, 2, "", "flag provided but not defined"},
		{"table of fields", []string{"-fields"}, 0, loader.Table(), ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var stdout, stderr bytes.Buffer
			require.Equal(t, c.exitCode, run(c.args, &stdout, &stderr))
			require.Contains(t, stdout.String(), c.wantStdout)
			require.Contains(t, stderr.String(), c.wantStderr)
		})
	}
}
