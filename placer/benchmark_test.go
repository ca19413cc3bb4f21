package placer_test

import (
	"fmt"
	"testing"
	"time"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/placer"
)

// BenchmarkStart measures the end of one task and the start of another on backend servers with 20 tasks each, at the
// virtual rate of 1,200 starts a second.
func BenchmarkStart(b *testing.B) {
	for _, count := range []int{48, 480, 1222, 11000} {
		b.Run(fmt.Sprintf("servers=%d", count), func(b *testing.B) {
			p := placer.New()
			now := start
			p.Handle(now, placer.ServersChanged{Servers: zone(count)})
			var running []describer.TaskID
			handle := func(event placer.Event) {
				for _, command := range p.Handle(now, event) {
					if place, ok := command.(placer.PlaceTask); ok {
						running = append(running, place.Task)
					}
				}
			}
			policies := []describer.JobPolicy{
				describer.ServiceJob, describer.BatchJob, describer.BatchJob, describer.BatchJob, describer.BatchJob,
			}
			each := describer.Resources{MilliCores: 380, MemoryBytes: 3 << 29}
			descriptions := make([]describer.Job, 1000)
			for i := range descriptions {
				descriptions[i] = job(fmt.Sprintf("job-%d", i), policies[i%5], describer.Standard, 0, each)
			}
			for i := range count * 20 {
				handle(placer.TasksSubmitted{Job: descriptions[i%1000], Indices: []int{i}})
			}
			now = now.Add(time.Second)
			handle(placer.Ticked{})
			full := len(running)
			b.ResetTimer()
			b.ReportMetric(float64(full), "running")
			for i := range b.N {
				now = now.Add(time.Second / 1200)
				at := (i * 7919) % len(running)
				ended := running[at]
				running[at] = running[len(running)-1]
				running = running[:len(running)-1]
				handle(placer.TaskReleased{Task: ended, Completed: true})
				handle(placer.TasksSubmitted{Job: descriptions[i%1000], Indices: []int{count*20 + i}})
			}
		})
	}
}
