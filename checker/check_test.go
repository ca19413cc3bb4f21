package checker_test

import (
	"fmt"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/txtar"
	"github.com/stretchr/testify/require"

	"egretring.example/egretring/checker"
	"egretring.example/egretring/keeper"
	"egretring.example/egretring/platform"
	"egretring.example/egretring/tester"
)

func TestMain(m *testing.M) {
	tester.Main(m)
}

// TestChecks guards against a fault of a configuration that is not reported, or reported at another place, and against
// findings for configurations without faults. Each file has a configuration, one in force or none, and the report.
func TestChecks(t *testing.T) {
	cases, err := filepath.Glob("testdata/*.txtar")
	require.NoError(t, err)
	require.NotEmpty(t, cases)
	for _, name := range cases {
		t.Run(filepath.Base(name), func(t *testing.T) {
			archive, err := txtar.ParseFile(name)
			require.NoError(t, err)
			files := make(map[string]string)
			for _, file := range archive.Files {
				files[file.Name] = string(file.Data)
			}
			require.Equal(t, files["report"], reportOf(t, files["configuration"], files["in-force"]))
		})
	}
}

func reportOf(t *testing.T, configuration, inForce string) string {
	document, findings, readable := platform.ReadDocument([]byte(configuration))
	var comparison checker.Comparison
	if readable {
		findings = append(findings, checker.Check(document)...)
	}
	if inForce != "" {
		before, faults, usable := platform.ReadDocument([]byte(inForce))
		require.True(t, usable)
		require.Empty(t, faults)
		comparison = checker.Compare(before, document)
	}
	report := checker.NewReport(append(findings, comparison.Findings...), comparison.Differences)
	require.Equal(t, report.Errors == 0, report.Valid)
	require.Len(t, report.Findings, report.Errors+report.Warnings)
	var text strings.Builder
	for _, f := range report.Findings {
		fmt.Fprintf(&text, "%s: %s: %s\n", placeOf(f.Place, f.InForce), f.Severity, f.Message)
	}
	for _, d := range report.Differences {
		fmt.Fprintf(&text, "%s: %s: %s: %q -> %q\n", placeOf(d.Place, d.InForce), d.Change, d.Object, d.Before, d.After)
	}
	return text.String()
}

func placeOf(place string, inForce bool) string {
	if inForce {
		return "in force: " + place
	}
	return place
}

// TestSize guards against a file that the store would refuse.
func TestSize(t *testing.T) {
	require.Empty(t, checker.CheckSize(keeper.MaxValueBytes))
	require.Len(t, checker.CheckSize(keeper.MaxValueBytes+1), 1)
}
