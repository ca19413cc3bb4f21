package lister

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestOddEntryLeavesOthersListed guards against one entry of another writer that ends the process or makes the whole list
// unreadable.
func TestOddEntryLeavesOthersListed(t *testing.T) {
	const good = `{"ID":"s1","AvailabilityZone":"z","Address":"127.0.0.1:1","State":"Live"}`
	listing, err := decodeListing([]byte(`{"BackendServers":[` + good + `]}`))
	require.NoError(t, err)
	require.Len(t, listing.BackendServers, 1)
	for name, odd := range map[string]string{
		"deep nesting":       strings.Repeat("[", 200_000) + strings.Repeat("]", 200_000),
		"deep object":        strings.Repeat(`{"a":`, 50_000) + "1" + strings.Repeat("}", 50_000),
		"number too large":   `{"ID":"s2","Address":"127.0.0.1:2","Capacity":{"MilliCores":1e400}}`,
		"integer too large":  `{"ID":"s2","Address":"127.0.0.1:2","Capacity":{"MilliCores":99999999999999999999}}`,
		"port out of range":  `{"ID":"s2","Address":"127.0.0.1:99999"}`,
		"port zero":          `{"ID":"s2","Address":"127.0.0.1:0"}`,
		"negative port":      `{"ID":"s2","Address":"127.0.0.1:-1"}`,
		"address of numbers": `{"ID":"s2","Address":12}`,
		"no address":         `{"ID":"s2"}`,
		"null":               `null`,
		"text":               `"s2"`,
		"invalid encoding":   "{\"ID\":\"\xff\",\"Address\":\"\xfe\"}",
	} {
		for _, text := range []string{
			`{"BackendServers":[` + odd + `,` + good + `],"Instances":[` + odd + `]}`,
			`{"Odd":` + odd + `,"Instances":` + odd + `,"BackendServers":[` + good + `,` + odd + `]}`,
		} {
			listing, err := decodeListing([]byte(text))
			require.NoError(t, err, name)
			require.Len(t, listing.BackendServers, 1, name)
			require.Equal(t, "s1", string(listing.BackendServers[0].ID), name)
			require.Empty(t, listing.Instances, name)
		}
	}
}

// FuzzDecodeListing guards against lists that end the process.
func FuzzDecodeListing(f *testing.F) {
	f.Add([]byte(`{"BackendServers":[{"ID":"s","Address":"a:1"}],"Instances":[null]}`))
	f.Add([]byte(`{"BackendServers":[[[[1e999]]]]`))
	f.Add([]byte(`[`))
	f.Fuzz(func(t *testing.T, text []byte) {
		listing, err := decodeListing(text)
		if err != nil {
			require.Empty(t, listing.BackendServers)
		}
	})
}
