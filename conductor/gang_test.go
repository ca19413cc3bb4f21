package conductor_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/specifier"
)

// TestWideGangStartsWithOneAdviceCall guards against a gang that needs more servers than an advice call of the minimum
// size admits, and starts late or never because the tickets of its first call have expired before those of the last one
// arrive. The bound is the time of one call for all its servers, the run, and a second and a half.
func TestWideGangStartsWithOneAdviceCall(t *testing.T) {
	const servers, oneIn = 88, 3
	w := newSimulation(t, 1, servers)
	w.grantOneIn = oneIn
	job := newJob(0, jobOptions{Tasks: 50, MilliCores: 30000, Seconds: 1, Gang: true, Advice: true})
	job.Queue.Advice = specifier.AdviceCost{Needed: true, Fixed: 800 * time.Millisecond, PerServer: 8 * time.Millisecond}
	w.at(w.start.Add(time.Second), func() { w.submit(job) })
	w.runUntil(5 * time.Second)
	require.Empty(t, w.violations)
	require.Equal(t, specifier.Completed, w.state(job.ID))
}
