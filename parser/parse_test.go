package parser_test

import (
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/txtar"
	"github.com/stretchr/testify/require"

	"egretring.example/egretring/classifier"
	"egretring.example/egretring/parser"
	"egretring.example/egretring/ticketer"
)

// TestParseReportsLineFieldAndAllowedValues guards against a mistake in a ticket that is accepted, or reported without
// its line, field and allowed values.
func TestParseReportsLineFieldAndAllowedValues(t *testing.T) {
	archive, err := txtar.ParseFile("testdata/faults.txtar")
	require.NoError(t, err)
	for i := 0; i < len(archive.Files); i += 2 {
		name := strings.TrimSuffix(archive.Files[i].Name, ".ticket")
		t.Run(name, func(t *testing.T) {
			_, err := parser.Parse(archive.Files[i].Data)
			require.True(t, classifier.IsErrKind(err, classifier.BadTicket), "%v", err)
			var lines []string
			for _, failure := range ticketer.FailuresOf(err) {
				lines = append(lines, failure.String())
			}
			require.Equal(t, strings.TrimSpace(string(archive.Files[i+1].Data)), strings.Join(lines, "\n"))
		})
	}
}
