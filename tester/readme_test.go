package tester_test

import (
	"fmt"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	root   = ".."
	module = "egretring.example/egretring/"
)

// TestReadmeShowsImports guards against a package diagram in README.md that does not match the imports of the packages.
func TestReadmeShowsImports(t *testing.T) {
	readme, err := os.ReadFile(filepath.Join(root, "README.md"))
	require.NoError(t, err)
	require.Contains(t, string(readme), diagram(t))
}

// diagram lists the packages by layer; a package imports only packages of layers below its own.
func diagram(t *testing.T) string {
	imports := readImports(t)
	layers := make(map[int][]string)
	for name := range imports {
		layer := layerOf(name, imports)
		layers[layer] = append(layers[layer], name)
	}
	var text strings.Builder
	for layer := len(layers) - 1; layer >= 0; layer-- {
		slices.Sort(layers[layer])
		fmt.Fprintf(&text, "    %2d  %s\n", layer, strings.Join(layers[layer], " "))
	}
	return text.String()
}

func layerOf(name string, imports map[string][]string) int {
	layer := 0
	for _, imported := range imports[name] {
		layer = max(layer, layerOf(imported, imports)+1)
	}
	return layer
}

// readImports returns the packages of the module and the packages of the module that each imports outside its tests.
func readImports(t *testing.T) map[string][]string {
	imports := make(map[string][]string)
	require.NoError(t, filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		isSource := strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go")
		if err != nil || !isSource {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		require.NoError(t, err)
		name, err := filepath.Rel(root, filepath.Dir(path))
		require.NoError(t, err)
		known := imports[name]
		for _, spec := range file.Imports {
			imported, ok := strings.CutPrefix(strings.Trim(spec.Path.Value, `"`), module)
			if ok && !slices.Contains(known, imported) {
				known = append(known, imported)
			}
		}
		imports[name] = known
		return nil
	}))
	return imports
}
