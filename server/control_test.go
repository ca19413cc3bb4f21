package server

import (
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/forwarder"
)

// TestControlCallsOpenFewConnections guards against connections above the limit of a backend server: those for task calls and usage
// reports come on top of the shares.
func TestControlCallsOpenFewConnections(t *testing.T) {
	dial, open := respondOnPipe()
	d := &Daemon{dial: dial}
	d.connect()
	defer d.control.CloseIdleConnections()
	var calls sync.WaitGroup
	highest := int64(0)
	var mu sync.Mutex
	for range 200 {
		calls.Go(func() {
			// Ignore the errors: the responses are no usage reports.
			_, _ = d.usage(t.Context(), describer.BackendServer{Address: "10.0.0.1:1"})
			_ = forwarder.NewTaskClient("10.0.0.1:1", d.control).Stop(t.Context(), forwarder.TaskCall{})
			mu.Lock()
			defer mu.Unlock()
			highest = max(highest, open.Load())
		})
	}
	calls.Wait()
	require.LessOrEqual(t, highest, int64(controlConnections))
}

// TestSharesLeaveControlConnections guards against shares that add up to all connections of a backend server, so that each connection
// for task calls and usage reports exceeds its limit.
func TestSharesLeaveControlConnections(t *testing.T) {
	for _, c := range []struct{ slots, connections, left int }{{8, 64, 56}, {8, 16, 8}, {8, 8, 8}, {4, 7, 7}, {0, 0, 0}} {
		shared := capacityOfServer{slots: c.slots, connections: c.connections}.withoutControl()
		require.Equal(t, capacityOfServer{slots: c.slots, connections: c.left}, shared)
		if c.connections >= 2*c.slots {
			require.LessOrEqual(t, shared.connectionsPerSlot()*c.slots+c.slots, c.connections)
		}
	}
}
