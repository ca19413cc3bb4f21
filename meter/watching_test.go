package meter_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// sourceText returns the text of all Go files of the module except tests and this package.
func sourceText(t *testing.T) string {
	var all strings.Builder
	require.NoError(t, filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") ||
			filepath.Dir(path) == filepath.Join("..", "meter") {
			return err
		}
		text, err := os.ReadFile(path)
		all.Write(text)
		return err
	}))
	return all.String()
}

// metricNames returns the metric names of names.go by the names of their constants.
func metricNames(t *testing.T) map[string]string {
	file, err := parser.ParseFile(token.NewFileSet(), "names.go", nil, 0)
	require.NoError(t, err)
	found := make(map[string]string)
	ast.Inspect(file, func(node ast.Node) bool {
		if spec, ok := node.(*ast.ValueSpec); ok {
			name, err := strconv.Unquote(spec.Values[0].(*ast.BasicLit).Value)
			require.NoError(t, err)
			found[spec.Names[0].Name] = name
		}
		return true
	})
	return found
}

// TestOperatorPageMatchesCode guards against a metric that is never recorded or that the operators' page does not
// describe, and against a page that lists metrics or log events that do not exist.
func TestOperatorPageMatchesCode(t *testing.T) {
	text, err := os.ReadFile("../docs/operators/watching.md")
	require.NoError(t, err)
	code := sourceText(t)
	described := make(map[string]bool)
	metrics, events, found := strings.Cut(string(text), "## Log events")
	require.True(t, found)
	row := regexp.MustCompile("(?m)^\\| `([^`]+)` \\|")
	for _, match := range row.FindAllStringSubmatch(metrics, -1) {
		described[match[1]] = true
	}
	for constant, name := range metricNames(t) {
		require.Regexp(t, `meter\.`+constant+`\b`, code, "metric %s is not measured", name)
		require.True(t, described[name], "metric %s is not described", name)
		delete(described, name)
	}
	require.Empty(t, described, "metrics that do not exist")
	listed := row.FindAllStringSubmatch(events, -1)
	require.NotEmpty(t, listed)
	for _, match := range listed {
		require.Contains(t, code, strconv.Quote(match[1]), "log event does not exist")
	}
}
