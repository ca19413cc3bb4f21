package measurer

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"time"

	"egretring.example/egretring/deduplicator"
	"egretring.example/egretring/describer"
	"egretring.example/egretring/meter"
	"egretring.example/egretring/tracer"
)

const (
	// keysToday and keysLater are assumptions: 5 and 100 non-repeatable requests a second on each instance, whose keys
	// are kept for 10 minutes.
	keysToday         = 3_000
	keysLater         = 60_000
	homePositionCount = 64
	// requestsToday and requestsLater are assumed numbers of requests a second on each instance.
	requestsToday   = 100
	requestsLater   = 2_000
	spansPerRequest = 2
	// metricsPerRequest is the number of metrics that packages router and runner record for a request: counters of
	// received requests, answered requests and started attempts, and two histograms.
	metricsPerRequest = 5
)

func keySweeps(uint64) []sweep {
	keys := []int{10_000, 20_000, 40_000, 80_000, 160_000}
	return []sweep{
		{
			"bytes of the records", "keys within the retry window", keys, keysToday, keysLater,
			func(size int) float64 {
				texts := keyTexts(size)
				return heapBytes(func() any {
					records := newDeduplicator(size)
					beginAndEndKeys(records, texts)
					return records
				})
			},
		},
		{
			"µs for all keys (begin and end)", "keys within the retry window", keys, keysToday, keysLater,
			func(size int) float64 {
				records, texts := newDeduplicator(size), keyTexts(size)
				return microsecondsEach(1, func(int) { beginAndEndKeys(records, texts) })
			},
		},
	}
}

func keyTexts(count int) []string {
	texts := make([]string, count)
	for i := range texts {
		texts[i] = fmt.Sprintf("hala-a:%032d", i)
	}
	return texts
}

// newDeduplicator returns a deduplicator that is the home of all keys and has enough records for them.
func newDeduplicator(keys int) *deduplicator.Deduplicator {
	records := deduplicator.New(deduplicator.WithMaxRecords(keys + 1))
	held := make([]int, homePositionCount)
	for i := range held {
		held[i] = i
	}
	records.SetPlacements(epochStart.Add(-time.Hour), deduplicator.Placement{
		Zones: []describer.AvailabilityZoneID{"hala-a"}, Zone: "hala-a", Positions: homePositionCount, Held: held,
	})
	return records
}

// beginAndEndKeys begins and ends a request for each key.
func beginAndEndKeys(records *deduplicator.Deduplicator, texts []string) {
	for _, text := range texts {
		key, err := deduplicator.ParseKey(text)
		if err != nil {
			continue
		}
		if records.Begin(epochStart, key, 1).Action == deduplicator.Run {
			records.End(epochStart, key, describer.Answered, 200)
		}
	}
}

func observationSweeps(uint64) []sweep {
	spans := []int{10_000, 20_000, 40_000, 80_000}
	return []sweep{
		{
			"µs a second for spans, all recorded and exported as log lines", "spans a second", spans,
			spansPerRequest * requestsToday, spansPerRequest * requestsLater,
			func(size int) float64 { return spansTime(size, 1) },
		},
		{
			"µs a second for spans, 1% recorded (default)", "spans a second", spans,
			spansPerRequest * requestsToday, spansPerRequest * requestsLater,
			func(size int) float64 { return spansTime(size, 0.01) },
		},
		{
			"µs a second for counters", "counts a second", spans, metricsPerRequest * requestsToday,
			metricsPerRequest * requestsLater,
			func(size int) float64 {
				m := meter.New()
				return microsecondsEach(1, func(int) {
					for range size {
						m.Count(meter.RequestsReceived, 1)
					}
				})
			},
		},
		{
			"µs a second for histograms", "observations a second", spans, 2 * requestsToday, 2 * requestsLater,
			func(size int) float64 {
				m := meter.New()
				return microsecondsEach(1, func(int) {
					for i := range size {
						m.Observe(meter.RequestTime, time.Duration(i)*time.Microsecond)
					}
				})
			},
		},
	}
}

// spansTime returns the microseconds for a number of spans. It includes the export of the spans that fit into the
// export queue; the others are dropped.
func spansTime(spans int, ratio float64) float64 {
	log := slog.New(slog.NewJSONHandler(io.Discard, nil))
	traces := tracer.New(log, "entry-instance-017", ratio)
	return microsecondsEach(1, func(int) {
		for range spans {
			_, span := traces.Start(context.Background(), "route request")
			span.End()
		}
		_ = traces.Shutdown(context.Background())
	})
}
