package meter_test

import (
	"encoding/json"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/meter"
)

// TestHandlerServesEachKindOfMetric guards against a metric that is recorded but missing from the served JSON object.
func TestHandlerServesEachKindOfMetric(t *testing.T) {
	subject := meter.New()
	subject.Count(meter.RequestsReceived, 2)
	subject.Set(meter.SlotsOwned, 7)
	subject.Observe(meter.RequestWait, 3*time.Millisecond)

	recorder := httptest.NewRecorder()
	subject.Handler().ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
	var page map[string]map[string]float64
	require.NoError(t, json.Unmarshal(recorder.Body.Bytes(), &page))
	require.InDelta(t, 2, page[meter.RequestsReceived]["count"], 0)
	require.InDelta(t, 7, page[meter.SlotsOwned]["value"], 0)
	require.InDelta(t, 3000, page[meter.RequestWait]["max"], 0)
}
