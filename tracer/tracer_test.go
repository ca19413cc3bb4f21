package tracer_test

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/propagation"

	"egretring.example/egretring/tracer"
)

// TestSpansOfTwoHopsShareATrace guards against a trace that is lost between two processes.
func TestSpansOfTwoHopsShareATrace(t *testing.T) {
	var output bytes.Buffer
	subject := tracer.New(slog.New(slog.NewJSONHandler(&output, nil)), "entry-1", 1)
	header := make(http.Header)
	ctx, span := subject.Start(t.Context(), "receive")
	subject.Inject(ctx, propagation.HeaderCarrier(header))
	_, next := subject.Start(subject.Extract(t.Context(), propagation.HeaderCarrier(header)), "forward")
	next.End()
	span.End()
	require.NoError(t, subject.Shutdown(t.Context()))

	hops := make(map[string]map[string]any)
	decoder := json.NewDecoder(&output)
	for decoder.More() {
		var line map[string]any
		require.NoError(t, decoder.Decode(&line))
		hops[line["Hop"].(string)] = line
	}
	require.Len(t, hops, 2)
	require.Equal(t, hops["receive"]["Trace"], hops["forward"]["Trace"])
	require.Equal(t, hops["receive"]["Span"], hops["forward"]["Parent"])
}
