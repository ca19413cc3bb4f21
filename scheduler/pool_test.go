package scheduler

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/describer"
)

// TestSlowServerDelaysNoOther guards against a backend server that occupies more than one worker, calls of one backend
// server that overtake each other, and calls that are sent after their deadline.
func TestSlowServerDelaysNoOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		p := newPool()
		for range 2 {
			go func() { _ = p.work(ctx) }()
		}
		began := time.Now()
		var slow, fast []int
		var fastDone time.Duration
		submit := func(server describer.BackendServerID, run func()) {
			require.True(t, p.submit(call{
				server: server, deadline: began.Add(2 * time.Second), run: func(context.Context) { run() },
			}))
		}
		for i := range 5 {
			submit("slow", func() { slow = append(slow, i); time.Sleep(time.Second) })
			submit("fast", func() { fast = append(fast, i); fastDone = time.Since(began) })
		}
		time.Sleep(10 * time.Second)
		cancel()
		synctest.Wait()
		require.Equal(t, []int{0, 1, 2, 3, 4}, fast)
		require.Zero(t, fastDone)
		require.Equal(t, []int{0, 1}, slow, "the others had passed their deadline")
	})
}
