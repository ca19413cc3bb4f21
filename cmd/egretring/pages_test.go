package main

import (
	"bytes"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// shownCommand is a line of an operators' page that shows a command of the client.
var shownCommand = regexp.MustCompile(`(?m)^ {4,}egretring (.+)$`)

var quoted = regexp.MustCompile(`"[^"]*"`)

// TestPagesShowCommandsThatExist guards against an operators' page with a subcommand or a flag that the client does
// not have.
func TestPagesShowCommandsThatExist(t *testing.T) {
	pages, err := filepath.Glob("../../docs/operators/*.md")
	require.NoError(t, err)
	shown := 0
	for _, page := range pages {
		text, err := os.ReadFile(page)
		require.NoError(t, err)
		for _, match := range shownCommand.FindAllStringSubmatch(string(text), -1) {
			shown++
			line := quoted.ReplaceAllString(match[1], "text")
			var out bytes.Buffer
			root := rootCommand(&console{stdout: &out, stderr: &out})
			require.NoError(t, root.Parse(strings.Fields(line)), "%s: %s: %s", page, match[0], out.String())
			first := strings.Fields(line)[0]
			known := false
			for _, command := range root.Subcommands {
				known = known || command.Name == first
			}
			require.True(t, known, "%s: there is no subcommand %q", page, first)
		}
	}
	require.NotZero(t, shown)
}
