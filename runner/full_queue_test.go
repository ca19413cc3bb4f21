package runner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/classifier"
	"egretring.example/egretring/describer"
	"egretring.example/egretring/dispatcher"
)

// TestRefusalIsNotDroppedByFullQueue guards against a caller that waits for its deadline although it was refused.
func TestRefusalIsNotDroppedByFullQueue(t *testing.T) {
	synctest.Test(t, testRefusalWithFullQueue)
}

func testRefusalWithFullQueue(t *testing.T) {
	r := New(dispatcher.New())
	request := describer.Request{ID: 1}
	c := newCall()
	r.calls[request.ID] = c
	for range commandsPerCall {
		c.commands <- dispatcher.AbortAttempt{ID: request.ID}
	}
	r.deliver(dispatcher.FailRequest{ID: request.ID, Kind: classifier.Overloaded})
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	s := serving{runner: r, call: c, request: request, arrivedAt: time.Now()}
	require.Equal(t, classifier.Overloaded, classifier.KindOf(s.serve(ctx)))
}
