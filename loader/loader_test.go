package loader_test

import (
	"encoding/json"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/classifier"
	"egretring.example/egretring/loader"
)

const goodFile = "testdata/good.hujson"

// TestLoadAppliesDefaults guards against an optional field that does not get its default.
func TestLoadAppliesDefaults(t *testing.T) {
	settings, err := loader.Load(goodFile)
	require.NoError(t, err)
	require.Equal(t, "entry-1", settings.Instance)
	require.Equal(t, "127.0.0.1:8083", settings.Listeners.Relay)
	require.Equal(t, int64(1<<20), settings.MaxRequestBytes)
	require.Equal(t, 60*time.Second, settings.DrainTimeout)
	require.Equal(t, []string{"operators"}, settings.TLS.OperatorWriterGroups)
}

// TestParseRefusesInvalidSettings guards against a daemon that starts with unknown, missing, invalid or contradictory
// settings.
func TestParseRefusesInvalidSettings(t *testing.T) {
	text, err := os.ReadFile(goodFile)
	require.NoError(t, err)
	var cases []struct{ Name, Old, New, Want string }
	data, err := os.ReadFile("testdata/bad.json")
	require.NoError(t, err)
	require.NoError(t, json.Unmarshal(data, &cases))
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			changed := strings.Replace(string(text), c.Old, c.New, 1)
			require.NotEqual(t, string(text), changed)
			_, err := loader.Parse("good.hujson", []byte(changed))
			require.ErrorContains(t, err, c.Want)
			require.True(t, classifier.IsErrKind(err, classifier.BadRequest))
		})
	}
}

// FuzzParse guards against a panic on any settings text.
func FuzzParse(f *testing.F) {
	text, err := os.ReadFile(goodFile)
	require.NoError(f, err)
	f.Add(text)
	f.Add([]byte(`{"Listeners": [], "Zones": {"a": 1}}`))
	f.Fuzz(func(_ *testing.T, text []byte) {
		_, err := loader.Parse("fuzz", text)
		_ = err
	})
}

// TestSettingsPageMatchesFields guards against a page of operators' documentation that differs from the fields in the
// code.
func TestSettingsPageMatchesFields(t *testing.T) {
	page, err := os.ReadFile("../docs/operators/settings.md")
	require.NoError(t, err)
	require.Contains(t, string(page), loader.Table())
}
