package conductor_test

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkHeavyLoad measures the core's share of a minute in which twice as much is asked as fits on 48 servers.
func BenchmarkHeavyLoad(b *testing.B) {
	for range b.N {
		w := newWorld(&testing.T{}, 1, 48)
		for i := range 3000 {
			job := newJob(i, jobOptions{
				Tasks: 1 + w.random.IntN(8), MilliCores: int64(2000 + w.random.IntN(16000)), Seconds: 0.5 + 3*w.random.Float64(),
				Gang: w.random.IntN(4) == 0, Advice: true, Priority: w.random.IntN(3), Attempts: 2,
			})
			job.ID += "x"
			w.at(w.start.Add(time.Duration(i)*20*time.Millisecond), func() { w.submit(job) })
		}
		w.runUntil(time.Minute)
		if len(w.broken) > 0 {
			b.Fatal(fmt.Sprint(w.broken[:1]))
		}
		b.ReportMetric(float64(w.starts), "starts/op")
	}
}
