package tester

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/pkg/errors"
)

// BuildProgram builds a program of this module in a directory and returns its path. Flags are those of go build.
func BuildProgram(directory, name string, flags ...string) (string, error) {
	path := filepath.Join(directory, name)
	arguments := append([]string{"build", "-o", path}, flags...)
	output, err := exec.Command("go", append(arguments, "egretring.example/egretring/cmd/"+name)...).CombinedOutput()
	return path, errors.Wrapf(err, "build %s: %s", name, output)
}

// RunWithProgram runs the tests of a package that starts a program of this module as a process, and returns the exit code. The
// program is built first; its path is stored in built. It is removed after the tests.
func RunWithProgram(m *testing.M, name string, built *string) int {
	directory, err := os.MkdirTemp("", name)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(directory)
	if *built, err = BuildProgram(directory, name); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}
