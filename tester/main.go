// Package tester provides helpers for the tests of the other packages.
package tester

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// Seed is the seed of generated test cases.
const Seed = "20261204"

// Main runs the tests of a package with a fixed seed for generated cases, unless a flag sets another one, and prints
// the seed.
func Main(m *testing.M) {
	flag.Parse()
	settings := map[string]string{"rapid.seed": Seed, "rapid.nofailfile": "true"}
	for name, value := range settings {
		known := flag.Lookup(name)
		if known == nil || known.Value.String() != known.DefValue {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			fmt.Fprintf(os.Stderr, "set flag %s: %v\n", name, err)
			os.Exit(1)
		}
	}
	if known := flag.Lookup("rapid.seed"); known != nil {
		fmt.Printf("seed of generated cases: %s\n", known.Value)
	}
	os.Exit(m.Run())
}
