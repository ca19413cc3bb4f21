package conductor_test

import (
	"fmt"
	"testing"
	"time"

	"egretring.example/egretring/specifier"
)

// BenchmarkLargeShard measures the Conductor over five seconds in which three kinds of jobs need half of the capacity of a
// shard, with gangs of up to 85 tasks of which two or three fit a server.
func BenchmarkLargeShard(b *testing.B) {
	for _, servers := range []int{200, 600, 1100} {
		b.Run(fmt.Sprintf("%d servers", servers), func(b *testing.B) {
			interval := time.Second * 7 / time.Duration(servers)
			load{servers: servers, jobs: int(5 * time.Second / interval), interval: interval, advisors: servers / 8, grantOneIn: 3, grantsDiffer: true, job: largeJob}.run(b)
		})
	}
}

func largeJob(w *simulation) jobOptions {
	switch kind := w.random.IntN(157); {
	case kind < 7:
		return jobOptions{
			Tasks: 1 + w.random.IntN(85), MilliCores: 18000, MemoryMB: 33000, Seconds: 2 + 4*w.random.Float64(), Gang: true, Advice: true,
			Priority: 1, Attempts: 2, AdviceCost: specifier.AdviceCost{Fixed: 507 * time.Millisecond, PerServer: 7150 * time.Microsecond},
		}
	case kind < 16:
		return jobOptions{
			Tasks: 1 + w.random.IntN(63), MilliCores: 11000, MemoryMB: 16000, Seconds: 1 + 4*w.random.Float64(), Advice: true, Priority: 2,
			Attempts: 2, AdviceCost: specifier.AdviceCost{Fixed: 182 * time.Millisecond, PerServer: 2600 * time.Microsecond},
		}
	default:
		return jobOptions{
			Tasks: 1 + w.random.IntN(8), MilliCores: 16000, MemoryMB: 29000, Seconds: 0.3 + w.random.Float64()/2, Gang: w.random.IntN(3) == 0,
			Advice: true, Attempts: 4,
			AdviceCost: specifier.AdviceCost{Fixed: 11 * time.Millisecond, PerServer: 170 * time.Microsecond},
		}
	}
}
