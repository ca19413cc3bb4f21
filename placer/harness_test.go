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

// harness drives a placer and records its commands.
type harness struct {
	t         *testing.T
	now       time.Time
	placer    *placer.Placer
	places    map[describer.TaskID]placer.PlaceTask
	evicted   map[describer.TaskID]placer.EvictionReason
	throttled map[describer.TaskID]bool
}

func newHarness(t *testing.T, servers []describer.BackendServer) *harness {
	h := &harness{
		t: t, now: start, placer: placer.New(),
		places:    make(map[describer.TaskID]placer.PlaceTask),
		evicted:   make(map[describer.TaskID]placer.EvictionReason),
		throttled: make(map[describer.TaskID]bool),
	}
	h.handle(placer.ServersChanged{Servers: servers})
	return h
}

func (h *harness) handle(event placer.Event) {
	for _, command := range h.placer.Handle(h.now, event) {
		switch command := command.(type) {
		case placer.PlaceTask:
			require.NotContains(h.t, h.places, command.Task, "placed twice")
			h.places[command.Task] = command
		case placer.EvictTask:
			h.evicted[command.Task] = command.Reason
		case placer.ThrottleTask:
			h.throttled[command.Task] = true
		}
	}
}

func (h *harness) wait(duration time.Duration) {
	for until := h.now.Add(duration); h.now.Before(until); {
		h.now = h.now.Add(20 * time.Millisecond)
		h.handle(placer.Ticked{})
	}
}

func (h *harness) submit(job describer.Job) {
	indices := make([]int, job.Tasks)
	for i := range indices {
		indices[i] = i
	}
	h.handle(placer.TasksSubmitted{Job: job, Indices: indices})
	h.wait(20 * time.Millisecond)
}

func (h *harness) release(task describer.TaskID, completed bool) {
	delete(h.places, task)
	h.handle(placer.TaskReleased{Task: task, Completed: completed})
}

func (h *harness) placed(id describer.JobID) int {
	count := 0
	for task := range h.places {
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

func (h *harness) numberOf(id describer.TaskID) int {
	var number int
	_, err := fmt.Sscanf(string(h.places[id].Server), "server-%d", &number)
	require.NoError(h.t, err)
	return number
}

// stream keeps tasks of a job pending, and ends each placed one after 4 to 10 s.
type stream struct {
	*harness
	job  describer.Job
	ends map[describer.TaskID]time.Time
	next int
}

func (h *harness) stream(small describer.Job) *stream {
	return &stream{harness: h, job: small, ends: make(map[describer.TaskID]time.Time)}
}

// run runs the stream until done returns true, at most for the given duration.
func (s *stream) run(duration time.Duration, done func() bool) {
	for until := s.now.Add(duration); s.now.Before(until) && !done(); s.wait(200 * time.Millisecond) {
		var indices []int
		for ; s.next < s.job.Tasks+len(s.ends); s.next++ {
			indices = append(indices, s.next)
		}
		s.handle(placer.TasksSubmitted{Job: s.job, Indices: indices})
		for id := range s.places {
			if _, known := s.ends[id]; !known && id.Job == s.job.ID {
				s.ends[id] = s.now.Add(time.Duration(4+id.Index%7) * time.Second)
			}
		}
		for id, at := range s.ends {
			if _, running := s.places[id]; running && (!s.now.Before(at) || s.evicted[id] != "") {
				s.release(id, s.evicted[id] == "")
			}
		}
	}
}

func never() bool { return false }
