package placer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/placer"
	"egretring.example/egretring/tester"
)

func TestMain(m *testing.M) { tester.Main(m) }

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func size(cores, gigabytes int64) describer.Resources {
	return describer.Resources{MilliCores: cores * 1000, MemoryBytes: gigabytes << 30}
}

// zone returns backend servers of 8 cores and 32 GiB, four to a rack.
func zone(count int) []describer.BackendServer {
	servers := make([]describer.BackendServer, count)
	for i := range servers {
		servers[i] = describer.BackendServer{
			ID:       describer.BackendServerID(fmt.Sprintf("server-%d", i)),
			Rack:     describer.RackID(fmt.Sprintf("rack-%d", i/4)),
			State:    describer.Live,
			Capacity: size(8, 32),
		}
	}
	return servers
}

// cell drives a placer and follows where tasks are.
type cell struct {
	t       *testing.T
	now     time.Time
	core    *placer.Placer
	places  map[describer.TaskID]placer.PlaceTask
	evicted map[describer.TaskID]placer.EvictionReason
	slowed  map[describer.TaskID]bool
}

func newCell(t *testing.T, servers []describer.BackendServer) *cell {
	c := &cell{
		t: t, now: start, core: placer.New(),
		places:  make(map[describer.TaskID]placer.PlaceTask),
		evicted: make(map[describer.TaskID]placer.EvictionReason),
		slowed:  make(map[describer.TaskID]bool),
	}
	c.handle(placer.ServersChanged{Servers: servers})
	return c
}

func (c *cell) handle(event placer.Event) {
	for _, command := range c.core.Handle(c.now, event) {
		switch command := command.(type) {
		case placer.PlaceTask:
			require.NotContains(c.t, c.places, command.Task, "placed twice")
			c.places[command.Task] = command
		case placer.EvictTask:
			c.evicted[command.Task] = command.Reason
		case placer.ThrottleTask:
			c.slowed[command.Task] = true
		}
	}
}

func (c *cell) wait(duration time.Duration) {
	for until := c.now.Add(duration); c.now.Before(until); {
		c.now = c.now.Add(20 * time.Millisecond)
		c.handle(placer.Ticked{})
	}
}

func (c *cell) submit(job describer.Job) {
	indices := make([]int, job.Tasks)
	for i := range indices {
		indices[i] = i
	}
	c.handle(placer.TasksSubmitted{Job: job, Indices: indices})
	c.wait(20 * time.Millisecond)
}

func (c *cell) release(task describer.TaskID, completed bool) {
	delete(c.places, task)
	c.handle(placer.TaskReleased{Task: task, Completed: completed})
}

func (c *cell) placed(id describer.JobID) int {
	count := 0
	for task := range c.places {
		if task.Job == id {
			count++
		}
	}
	return count
}

func job(id string, policy describer.JobPolicy, class describer.Class, tasks int, each describer.Resources) describer.Job {
	return describer.Job{ID: describer.JobID(id), Policy: policy, Class: class, Tasks: tasks, PerTask: each}
}

func task(id string, index int) describer.TaskID {
	return describer.TaskID{Job: describer.JobID(id), Index: index}
}

func (c *cell) numberOf(id describer.TaskID) int {
	var number int
	_, err := fmt.Sscanf(string(c.places[id].Server), "server-%d", &number)
	require.NoError(c.t, err)
	return number
}
