package parser_test

import (
	"encoding/json"
	"testing"

	"github.com/rogpeppe/go-internal/txtar"
	"github.com/stretchr/testify/require"

	"egretring.example/egretring/classifier"
	"egretring.example/egretring/parser"
	"egretring.example/egretring/ticketer"
)

// FuzzParse guards against a text that makes the parser panic, and against a ticket that changes when it is encoded and
// parsed again.
func FuzzParse(f *testing.F) {
	archive, err := txtar.ParseFile("testdata/faults.txtar")
	require.NoError(f, err)
	for _, file := range archive.Files {
		f.Add(file.Data)
	}
	f.Add([]byte(`{"ID":"a","Base":1,"Services":{"t":{"SlotsPerBackendServer":8,"ConnectionsPerBackendServer":64,` +
		`"QueueLimit":9,"Kinds":{"k":{"Class":"Urgent","Repeatable":true}},"TeamLimits":{"red":3}}}}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		ticket, err := parser.Parse(text)
		if err != nil {
			require.True(t, classifier.IsErrKind(err, classifier.BadTicket))
			require.NotEmpty(t, ticketer.FailuresOf(err))
			return
		}
		encoded, err := json.Marshal(ticket)
		require.NoError(t, err)
		again, err := parser.Parse(encoded)
		require.NoError(t, err)
		require.Equal(t, ticket.Digest(), again.Digest())
	})
}
