package conductor_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/sharder"
	"egretring.example/egretring/specifier"
)

// dayLength is the traffic of a day of the users' large deployment and the time after it in which every job that can run has to.
const dayLength = 55 * time.Second

// TestBacklogOfWideGangsEndsInTime guards against shards that are too small for the gangs of a large cell: 72 gangs of up to 64
// tasks, of which one fits a server, wait as after an outage, beside urgent jobs that keep coming. It plays one shard of a cell
// with 1,100 servers, of which advice admits a third to each gang.
func TestBacklogOfWideGangsEndsInTime(t *testing.T) {
	const cellServers, ownerProcessors, cellAdvisors, cellGangs, cellUrgentPerSecond = 1100, 0.8, 147, 72, 60
	shards := sharder.ShardsFor(cellServers, ownerProcessors)
	w := newSimulation(t, 0, cellServers/shards)
	w.grantOneIn, w.grantsDiffer = 3, true
	w.advisors = nil
	for i := range cellAdvisors / shards {
		w.advisors = append(w.advisors, fmt.Sprintf("advisor-%d", i))
	}
	w.elect()
	var gangs []specifier.Job
	for n := range cellGangs / shards {
		gang := newJob(n, jobOptions{
			Tasks: 40 + w.random.IntN(25), MilliCores: 18000, MemoryMB: 66000, Seconds: 3 + 3*w.random.Float64(), Gang: true, Advice: true,
			Priority: 1, Attempts: 2, AdviceCost: specifier.AdviceCost{Fixed: 507 * time.Millisecond, PerServer: 7150 * time.Microsecond},
		})
		gangs = append(gangs, gang)
		w.at(w.start.Add(2*time.Second+time.Duration(n)*50*time.Millisecond), func() { w.submit(gang) })
	}
	interval := time.Second * time.Duration(shards) / cellUrgentPerSecond
	for n := range int(dayLength / interval) {
		urgent := newJob(1000+n, jobOptions{
			Tasks: 1 + w.random.IntN(8), MilliCores: 16000, MemoryMB: 29000, Seconds: 0.54, Advice: true, Attempts: 4,
			AdviceCost: specifier.AdviceCost{Fixed: 11 * time.Millisecond, PerServer: 170 * time.Microsecond},
		})
		w.at(w.start.Add(time.Second+time.Duration(n)*interval), func() { w.submit(urgent) })
	}
	w.runUntil(dayLength)
	require.Empty(t, w.violations)
	for _, gang := range gangs {
		require.Equal(t, specifier.Completed, w.state(gang.ID), "gang of %d tasks", gang.Steps[0].Count)
	}
}
