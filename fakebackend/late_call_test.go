package fakebackend_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/fakebackend"
	"egretring.example/egretring/forwarder"
)

// TestTimedOutStartTakesNoEffectLater guards against a start that takes effect after its stop was confirmed.
func TestTimedOutStartTakesNoEffectLater(t *testing.T) {
	backend := fakebackend.New("s1", fakebackend.WithCapacity(describer.Resources{MilliCores: 1000}))
	gate, handled := make(chan struct{}), make(chan struct{})
	var starts atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == forwarder.PathStart && starts.Add(1) == 1 {
			<-gate
			defer close(handled)
		}
		backend.Handler().ServeHTTP(w, r)
	}))
	defer server.Close()
	client := forwarder.NewTaskClient(strings.TrimPrefix(server.URL, "http://"), http.DefaultClient)
	start := func(index int) forwarder.StartCall {
		return forwarder.StartCall{
			Task: describer.TaskID{Job: "j", Index: index}, Attempt: 1, Epoch: 1, LeaseSeconds: 30,
			Resources: describer.Resources{MilliCores: 1000},
		}
	}
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	require.ErrorIs(t, client.Start(ctx, start(0)), forwarder.ErrNoResponse)
	stop := forwarder.TaskCall{Task: start(0).Task, Attempt: 1, Epoch: 1}
	require.ErrorIs(t, client.Stop(t.Context(), stop), forwarder.ErrUnknownTask)
	require.NoError(t, client.Start(t.Context(), start(1)))
	close(gate)
	<-handled
	require.Empty(t, backend.Excesses())
}
