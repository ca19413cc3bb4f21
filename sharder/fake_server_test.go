package sharder_test

import (
	"context"
	"fmt"
	"time"

	"egretring.example/egretring/conductor"
	"egretring.example/egretring/specifier"
)

// fakeServer is a backend server that runs each task for runTime.
type fakeServer struct {
	incarnation int64
	startedAt   time.Time
	// unresponsive servers send no responses; on failing ones all runs fail.
	unresponsive bool
	failing      bool
	ended        []specifier.EndedTask
	number       int64
	runs         map[specifier.TaskID]int
	// stopped are the highest runs that were stopped or have ended.
	stopped map[specifier.TaskID]int
	fence   int64
	changed chan struct{}
	// senders are the coordinators that have sent orders under each fencing token.
	senders map[int64]string
}

func newFakeServer() *fakeServer {
	return &fakeServer{
		incarnation: 1, startedAt: time.Now(), runs: make(map[specifier.TaskID]int), stopped: make(map[specifier.TaskID]int),
		changed: make(chan struct{}), senders: make(map[int64]string),
	}
}

// restart begins a new incarnation, which knows nothing of the one before.
func (s *fakeServer) restart() {
	incarnation, senders := s.incarnation+1, s.senders
	close(s.changed)
	*s = *newFakeServer()
	s.incarnation, s.senders = incarnation, senders
}

func (s *fakeServer) end(task specifier.TaskID, run int, reason specifier.EndReason) {
	if s.runs[task] != run {
		return
	}
	delete(s.runs, task)
	s.stopped[task] = max(s.stopped[task], run)
	s.number++
	s.ended = append(s.ended, specifier.EndedTask{Number: s.number, Task: task, Run: run, Reason: reason})
	close(s.changed)
	s.changed = make(chan struct{})
}

// sender sends the orders of one coordinator to the servers.
type sender struct {
	*cell
	name string
}

// admit checks the fencing token of an order. It records a violation when two coordinators use the same one.
func (s sender) admit(id specifier.ServerID, fence int64) (*fakeServer, specifier.OrderResult) {
	server := s.servers[id]
	if server.unresponsive {
		return server, specifier.OrderUnknown
	}
	if known, ok := server.senders[fence]; ok && known != s.name {
		s.violate("server %s got token %d from %s and %s", id, fence, known, s.name)
	}
	server.senders[fence] = s.name
	if fence < server.fence {
		return server, specifier.OrderFenced
	}
	server.fence = fence
	return server, specifier.OrderDone
}

func (c *cell) violate(format string, values ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, values...))
}

// Start implements coordinator.BackendServers.
func (s sender) Start(_ context.Context, c conductor.Start) specifier.OrderReply {
	return specifier.OrderReply{Result: s.start(c)}
}

func (s sender) start(c conductor.Start) specifier.OrderResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	server, result := s.admit(c.Server.ID, c.Order.Fence)
	task, run := c.Order.Task, c.Order.Run
	switch {
	case result != specifier.OrderDone:
		return result
	case server.runs[task] == run:
		return specifier.OrderDone
	case run <= server.stopped[task]:
		return specifier.OrderObsolete
	}
	for id, other := range s.servers {
		if earlier, runs := other.runs[task]; runs {
			s.violate("task %s runs as %d on %s and as %d on %s", task, earlier, id, run, c.Server.ID)
		}
	}
	if s.acknowledged[task] {
		s.violate("task %s starts as %d on %s although its end was acknowledged", task, run, c.Server.ID)
	}
	server.runs[task] = run
	s.starts[task]++
	incarnation := server.incarnation
	time.AfterFunc(runTime, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		reason := specifier.RunDone
		if server.failing {
			reason = specifier.RunFailed
		}
		if server.incarnation == incarnation {
			server.end(task, run, reason)
		}
	})
	return specifier.OrderDone
}

// Stop implements coordinator.BackendServers.
func (s sender) Stop(_ context.Context, c conductor.Stop) specifier.OrderResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	server, result := s.admit(c.Server.ID, c.Fence)
	if result != specifier.OrderDone {
		return result
	}
	server.stopped[c.Task] = max(server.stopped[c.Task], c.Run)
	if run, runs := server.runs[c.Task]; runs && run <= c.Run {
		server.end(c.Task, run, specifier.RunStopped)
	}
	return specifier.OrderDone
}

// Renew implements coordinator.BackendServers.
func (s sender) Renew(ctx context.Context, c conductor.Renew) (specifier.ServerReport, specifier.OrderResult) {
	s.mu.Lock()
	server, result := s.admit(c.Server.ID, c.Fence)
	if result != specifier.OrderDone {
		s.mu.Unlock()
		return specifier.ServerReport{}, result
	}
	for len(server.ended) > 0 && server.ended[0].Number <= c.Acknowledged {
		if server.ended[0].Reason == specifier.RunDone {
			s.acknowledged[server.ended[0].Task] = true
		}
		server.ended = server.ended[1:]
	}
	changed, wait := server.changed, c.Wait
	if len(server.ended) > 0 {
		wait = 0
	}
	s.mu.Unlock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
		return specifier.ServerReport{}, specifier.OrderUnknown
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	report := specifier.ServerReport{
		Incarnation: server.incarnation, Clock: time.Since(server.startedAt),
		Ended: append([]specifier.EndedTask(nil), server.ended...),
	}
	for task, run := range server.runs {
		report.Running = append(report.Running, specifier.RunningTask{Task: task, Run: run, Percent: 100})
	}
	return report, specifier.OrderDone
}
