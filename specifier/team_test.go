package specifier_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/specifier"
)

// TestEmptyKeyBelongsToNoTeam guards against a call without a key that counts as a call of a team with an empty key.
func TestEmptyKeyBelongsToNoTeam(t *testing.T) {
	teams := specifier.NewTeams(specifier.Team{Name: "a", Keys: []string{"", "k1"}}, specifier.Team{Name: "b", Keys: []string{"k1", "k2"}})
	_, found := teams.ByKey("")
	require.False(t, found)
	for key, name := range map[string]string{"k1": "a", "k2": "b"} {
		team, found := teams.ByKey(key)
		require.True(t, found)
		require.Equal(t, name, team.Name)
	}
	_, found = specifier.Teams{}.ByKey("k1")
	require.False(t, found)
}
