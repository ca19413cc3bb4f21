package measurer

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestTraceRepeatsAndRespectsBound guards against figures that cannot be reproduced from their seed, and against a
// lower bound that is shorter than the CPU work needs.
func TestTraceRepeatsAndRespectsBound(t *testing.T) {
	first := newTrace(rand.New(rand.NewPCG(1, 0)), 10)
	second := newTrace(rand.New(rand.NewPCG(1, 0)), 10)
	require.Equal(t, first.jobs, second.jobs)
	require.Equal(t, first.tasks, second.tasks)
	cores, _ := first.volume()
	bound := first.bound(2, standardServer, 1)
	require.GreaterOrEqual(t, bound.Seconds()*2*64, cores*0.999)
}

// TestEventQueueRunsInOrderUntilEnd guards against functions that run out of order or after the end.
func TestEventQueueRunsInOrderUntilEnd(t *testing.T) {
	a := newEventQueue()
	var order []int
	a.after(2*time.Second, func() { order = append(order, 3) })
	a.after(time.Second, func() {
		order = append(order, 1)
		a.after(0, func() { order = append(order, 2) })
	})
	a.after(time.Minute, func() { order = append(order, 4) })
	a.runUntil(epochStart.Add(10*time.Second), func() bool { return false })
	require.Equal(t, []int{1, 2, 3}, order)
}

// TestQuantileAndTableFormat guards against a quantile that is read beyond the samples and a table that is not valid
// Markdown.
func TestQuantileAndTableFormat(t *testing.T) {
	samples := []time.Duration{3, 1, 2, 4}
	require.Equal(t, time.Duration(4), quantile(samples, 1))
	require.Equal(t, time.Duration(3), quantile(samples, 0.5))
	table := Table{Title: "T", Columns: []string{"a", "b"}}
	table.add(1, 0.25)
	var text strings.Builder
	_, err := table.WriteTo(&text)
	require.NoError(t, err)
	require.Equal(t, "## T\n\n| a | b |\n| --- | --- |\n| 1 | 0.25 |\n\n", text.String())
}
