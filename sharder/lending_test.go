package sharder_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/conductor"
	"egretring.example/egretring/specifier"
)

const (
	ticketLife = 2 * time.Second
	wideGang   = specifier.JobID("wide")
)

// admitted reports whether advice admits a server: about a third of them.
func admitted(id specifier.ServerID) bool {
	var number int
	if _, err := fmt.Sscanf(string(id), "i-%d", &number); err != nil {
		panic(err)
	}
	return number%3 == 0
}

// sender sends the orders of one coordinator.
type sender struct {
	*cell
	name string
}

// Start implements coordinator.BackendServers.
func (s sender) Start(ctx context.Context, order conductor.Start) specifier.OrderResult {
	s.checkSender(s.name, order.Server.ID, order.Order.Fence)
	return s.cell.Start(ctx, order)
}

// Renew implements coordinator.BackendServers.
func (s sender) Renew(ctx context.Context, order conductor.Renew) (specifier.ServerReport, specifier.OrderResult) {
	s.checkSender(s.name, order.Server.ID, order.Fence)
	return s.cell.Renew(ctx, order)
}

func (c *cell) checkSender(name string, id specifier.ServerID, fence int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	senders := c.servers[id].senders
	if known, ok := senders[fence]; ok && known != name {
		c.violations = append(c.violations, fmt.Sprintf("server %s got token %d from %s and %s", id, fence, known, name))
	}
	senders[fence] = name
}

// checkStart records a second run of a task.
func (c *cell) checkStart(s *fakeServer, order conductor.Start) {
	for id, other := range c.servers {
		if _, runs := other.runs[order.Order.Task]; runs && other != s {
			c.violations = append(c.violations, fmt.Sprintf("task %s runs on %s and %s", order.Order.Task, id, order.Server.ID))
		}
	}
}

// fullServerGang is a gang whose tasks need a server each.
func fullServerGang(tasks int) specifier.Step {
	return specifier.Step{Count: tasks, Gang: true, Need: specifier.Resources{MilliCores: 40000}, Estimate: runTime}
}

func (c *cell) requireCompleted(id specifier.JobID) {
	state, known, err := c.instances[len(c.instances)-1].State(c.t.Context(), id)
	require.NoError(c.t, err)
	require.True(c.t, known)
	require.Equal(c.t, specifier.Completed, state, "job %s", id)
}

// requireNoViolation checks that each task has started once, and that the servers have seen no broken rule.
func (c *cell) requireNoViolation() {
	c.mu.Lock()
	defer c.mu.Unlock()
	require.Empty(c.t, c.violations)
	for task, starts := range c.starts {
		require.Equal(c.t, 1, starts, "task %s", task)
	}
}

// TestGangWiderThanShardRuns guards against a gang that fits the cell but not the servers of its shard and never runs.
func TestGangWiderThanShardRuns(t *testing.T) {
	for _, tasks := range []int{170, 280} {
		t.Run(fmt.Sprintf("%d tasks", tasks), func(t *testing.T) {
			runWithCell(t, 2, 300, func(t *testing.T, c *cell) {
				require.NoError(t, c.submitSteps(0, "/q/", wideGang, fullServerGang(tasks)))
				time.Sleep(20 * time.Second)
				c.requireCompleted(wideGang)
				c.requireNoViolation()
			})
		})
	}
}

// TestAdvisedGangWiderThanShardRuns guards against a gang that never runs because advice refuses most servers of its shard.
func TestAdvisedGangWiderThanShardRuns(t *testing.T) {
	runWithCell(t, 2, 300, func(t *testing.T, c *cell) {
		require.NoError(t, c.submitSteps(0, "/advised/", wideGang, fullServerGang(70)))
		time.Sleep(40 * time.Second)
		c.requireCompleted(wideGang)
		c.requireNoViolation()
	})
}
