package authorizer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/authorizer"
	"egretring.example/egretring/specifier"
)

// TestDecide guards against a key that works longer than its bound after it was revoked, a valid key that is refused for good
// because the configuration is old, and a public queue that is not served.
func TestDecide(t *testing.T) {
	teams := specifier.NewTeams(specifier.Team{Name: "a", Keys: []string{"k"}})
	strict := authorizer.Bounds{Revocation: 5 * time.Second, Configuration: 3 * time.Second}
	aged := func(age time.Duration) authorizer.Freshness { return authorizer.Freshness{Proven: true, Age: age} }
	never := authorizer.Freshness{}
	for name, c := range map[string]struct {
		call      authorizer.Call
		freshness authorizer.Freshness
		bounds    authorizer.Bounds
		verdict   authorizer.Verdict
		team      string
		doubtful  bool
	}{
		"known":                          {authorizer.Call{Key: "k"}, aged(0), strict, authorizer.Accepted, "a", false},
		"known, at the bound":            {authorizer.Call{Key: "k"}, aged(4500 * time.Millisecond), strict, authorizer.Accepted, "a", false},
		"known, after the bound":         {authorizer.Call{Key: "k"}, aged(4501 * time.Millisecond), strict, authorizer.NotFresh, "", false},
		"known, never shown":             {authorizer.Call{Key: "k"}, never, strict, authorizer.NotFresh, "", false},
		"unknown, at the bound":          {authorizer.Call{Key: "x"}, aged(2700 * time.Millisecond), strict, authorizer.UnknownKey, "", false},
		"unknown, may be added":          {authorizer.Call{Key: "x"}, aged(2701 * time.Millisecond), strict, authorizer.NotFresh, "", false},
		"unknown, after both bounds":     {authorizer.Call{Key: "x"}, aged(time.Minute), strict, authorizer.NotFresh, "", false},
		"known, clock has stepped back":  {authorizer.Call{Key: "k"}, aged(-1), strict, authorizer.NotFresh, "", false},
		"missing":                        {authorizer.Call{}, aged(0), strict, authorizer.UnknownKey, "", false},
		"missing, after the bound":       {authorizer.Call{}, never, strict, authorizer.NotFresh, "", false},
		"not strict, known":              {authorizer.Call{Key: "k"}, never, authorizer.Bounds{}, authorizer.Accepted, "a", false},
		"not strict, unknown":            {authorizer.Call{Key: "x"}, never, authorizer.Bounds{}, authorizer.UnknownKey, "", false},
		"public without key":             {authorizer.Call{Public: true}, never, strict, authorizer.Accepted, "", false},
		"public with known key":          {authorizer.Call{Public: true, Key: "k"}, aged(4500 * time.Millisecond), strict, authorizer.Accepted, "a", false},
		"public, key may be revoked":     {authorizer.Call{Public: true, Key: "k"}, aged(4501 * time.Millisecond), strict, authorizer.Accepted, "", true},
		"public, key never shown":        {authorizer.Call{Public: true, Key: "k"}, never, strict, authorizer.Accepted, "", true},
		"public with key that may be":    {authorizer.Call{Public: true, Key: "x"}, never, strict, authorizer.Accepted, "", true},
		"public with key that is no key": {authorizer.Call{Public: true, Key: "x"}, aged(0), strict, authorizer.Accepted, "", false},
		"no bound of configurations": {
			authorizer.Call{Key: "x"}, aged(4 * time.Second), authorizer.Bounds{Revocation: 5 * time.Second}, authorizer.UnknownKey, "", false,
		},
	} {
		t.Run(name, func(t *testing.T) {
			decision := authorizer.Decide(teams, c.call, c.freshness, c.bounds)
			require.Equal(t, c.verdict, decision.Verdict)
			require.Equal(t, specifier.Caller{Team: c.team, Doubtful: c.doubtful}, decision.Caller)
		})
	}
}

// BenchmarkDecide shows the cost for each request.
func BenchmarkDecide(b *testing.B) {
	var list []specifier.Team
	for _, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l", "m", "n", "o", "p", "q", "r", "s", "t"} {
		list = append(list, specifier.Team{Name: name, Keys: []string{"key-1-of-" + name, "key-2-of-" + name}})
	}
	teams := specifier.NewTeams(list...)
	bounds := authorizer.Bounds{Revocation: 5 * time.Second, Configuration: 3 * time.Second}
	for b.Loop() {
		authorizer.Decide(teams, authorizer.Call{Key: "key-2-of-r"}, authorizer.Freshness{Proven: true, Age: time.Second}, bounds)
	}
}
