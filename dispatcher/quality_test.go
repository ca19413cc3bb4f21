package dispatcher_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/dispatcher"
)

// loadSwing returns a factor for the load that is peak in the last three of every eight seconds, and one otherwise.
func loadSwing(peak float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at%(8*time.Second) >= 5*time.Second {
			return peak
		}
		return 1
	}
}

var swingLoads = []load{
	{"count", describer.Urgent, 10 * time.Millisecond, 500, 500 * time.Millisecond},
	{"audit", describer.Standard, 30 * time.Millisecond, 250, 2 * time.Second},
	{"reconcile", describer.Deferrable, 200 * time.Millisecond, 25, 5 * time.Second},
	{"merge", describer.Deferrable, 800 * time.Millisecond, 6, 20 * time.Second},
}

// TestLoadSwing guards against urgent requests that wait while a load swing peaks at more than twice the capacity,
// against deferrable requests that are not delayed in favour of more urgent ones, and against requests that are queued
// although they will miss their deadline.
func TestLoadSwing(t *testing.T) {
	s := scenario{servers: 12, length: 24 * time.Second, loads: swingLoads, stragglers: 0.005, factor: loadSwing(4)}
	sim := simulate(s)
	urgent, standard, deferrable := &sim.results[0], &sim.results[1], &sim.results[2]
	t.Logf("urgent: median wait %s, 99%% wait %s", urgent.wait(0.5), urgent.wait(0.99))
	require.Less(t, urgent.wait(0.5), 10*time.Millisecond)
	require.Less(t, urgent.wait(0.99), 100*time.Millisecond)
	require.Greater(t, urgent.answeredShare(), 0.99)
	require.Greater(t, standard.answeredShare(), 0.7)
	require.Less(t, deferrable.answeredShare(), standard.answeredShare())
	require.Greater(t, deferrable.answeredShare(), 0.1)
	for i, r := range sim.results {
		require.Less(t, float64(r.late), 0.03*float64(r.arrived), swingLoads[i].kind)
	}
	baseline := simulate(s, dispatcher.WithFIFOBaseline())
	require.Greater(t, baseline.results[0].wait(0.5), 10*urgent.wait(0.5), "the load is a real overload")
}

// TestShortWorkDoesNotWaitBehindLongWork guards against short work that waits behind long work of the same class,
// against long work that occupies the last slots, and against work that starves.
func TestShortWorkDoesNotWaitBehindLongWork(t *testing.T) {
	s := scenario{servers: 12, length: 24 * time.Second, stragglers: 0.002, factor: loadSwing(3), loads: []load{
		{"count", describer.Urgent, 10 * time.Millisecond, 200, 500 * time.Millisecond},
		{"audit", describer.Standard, 10 * time.Millisecond, 500, 2 * time.Second},
		{"long", describer.Standard, time.Second, 12, 10 * time.Second},
		{"merge", describer.Deferrable, 4 * time.Second, 3, 60 * time.Second},
	}}
	sim := simulate(s)
	short, long, merge := &sim.results[1], &sim.results[2], &sim.results[3]
	t.Logf("short: median wait %s, 99%% wait %s", short.wait(0.5), short.wait(0.99))
	require.Less(t, short.wait(0.5), 50*time.Millisecond)
	require.Less(t, short.wait(0.99), 500*time.Millisecond)
	require.Greater(t, short.answeredShare(), 0.99)
	require.Greater(t, long.answeredShare(), 0.8)
	require.Greater(t, merge.answeredShare(), 0.3)
	require.LessOrEqual(t, sim.mostLong, 36, "three quarters of 48 slots")
	free := simulate(s, dispatcher.WithoutLongCap())
	require.Greater(t, free.mostLong, 40)
	require.Greater(t, free.results[1].wait(0.5), 2*short.wait(0.5), "the cap keeps the wait short")
}

// TestFailingServerDoesNotAttractRequests guards against a server that fails every attempt within a millisecond and
// attracts requests because its slots are free.
func TestFailingServerDoesNotAttractRequests(t *testing.T) {
	s := scenario{servers: 12, length: 16 * time.Second, loads: swingLoads, stragglers: 0.005, factor: loadSwing(2), fails: "b3"}
	sim := simulate(s)
	require.Less(t, sim.starts["b3"], 50)
	for i, r := range sim.results {
		require.Zero(t, r.other, swingLoads[i].kind)
	}
	baseline := simulate(s, dispatcher.WithFIFOBaseline())
	require.Greater(t, baseline.starts["b3"], 1000)
	require.Positive(t, baseline.results[0].other)
}

// TestHangingServerIsEjected guards against a server that never responds and occupies slots until the deadlines, and
// against the ejection of servers that only have stragglers.
func TestHangingServerIsEjected(t *testing.T) {
	s := scenario{servers: 12, length: 16 * time.Second, loads: swingLoads, stragglers: 0.005, factor: loadSwing(2), hangs: "b3"}
	sim := simulate(s)
	require.Less(t, 2*sim.starts["b3"], simulate(s, dispatcher.WithoutEjection()).starts["b3"])
	s.hangs = ""
	for id, count := range simulate(s).starts {
		require.Greater(t, count, 500, id)
	}
}
