// Package meter records the counters, gauges and histograms of an entry instance and serves them as one JSON object.
package meter

import (
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"
)

// sampleSize and sampleAlpha make a histogram cover about the last five minutes, as the library recommends.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// Meter is the registry of an entry instance's metrics.
type Meter struct {
	registry metrics.Registry
}

// New returns a meter without metrics.
func New() *Meter {
	return &Meter{registry: metrics.NewRegistry()}
}

// Count adds n to a counter.
func (m *Meter) Count(name string, n int64) {
	metrics.GetOrRegisterCounter(name, m.registry).Inc(n)
}

// Set sets a gauge.
func (m *Meter) Set(name string, value int64) {
	metrics.GetOrRegisterGauge(name, m.registry).Update(value)
}

// Observe adds a duration, in microseconds, to a histogram.
func (m *Meter) Observe(name string, duration time.Duration) {
	create := func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	}
	m.registry.GetOrRegister(name, create).(metrics.Histogram).Update(duration.Microseconds())
}

// Handler serves all metrics as one JSON object.
func (m *Meter) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		metrics.WriteJSONOnce(m.registry, w)
	})
}
