package distributor

import (
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/fakekeeper"
	"egretring.example/egretring/keeper"
)

// TestStoreErrorsOverHTTPAreClassified guards against errors of the store's HTTP client that are taken for other kinds
// of errors, so that a lost response or a conflict is not resolved.
func TestStoreErrorsOverHTTPAreClassified(t *testing.T) {
	store := fakekeeper.New()
	server := httptest.NewServer(store.Handler())
	t.Cleanup(server.Close)
	client := func() keeper.Store { return keeper.NewClient(server.URL, server.Client()) }
	a, b := startDistributor(t, client(), "a"), startDistributor(t, client(), "b")
	waitFor(t, 0, a, b)
	store.SetFaults(fakekeeper.Faults{LoseWriteResponses: 2})
	number, err := a.Accept(t.Context(), limitTicket("first", 0, 1, "red"))
	require.NoError(t, err)
	require.Equal(t, int64(1), number)
	number, err = b.Accept(t.Context(), limitTicket("second", 0, 1, "blue"))
	require.NoError(t, err)
	require.Equal(t, int64(2), number)
	waitFor(t, 2, a, b)
}
