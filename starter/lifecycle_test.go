package starter_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/committer"
	"egretring.example/egretring/describer"
	"egretring.example/egretring/starter"
)

// script drives one starter, and responds to its commands as the test specifies.
type script struct {
	t       *testing.T
	now     time.Time
	starter *starter.Starter
	starts  []starter.StartTask
	ended   map[describer.TaskID]starter.ReportFinished
	// result returns the result of each start; nil accepts all.
	result func(start starter.StartTask) starter.StartResult
	// fail makes an accepted start fail immediately if it returns a reason.
	fail            func(start starter.StartTask) string
	withholdCommits bool
}

func newScript(t *testing.T, servers int, jobs ...describer.Job) *script {
	s := &script{t: t, now: startTime, starter: starter.New(), ended: make(map[describer.TaskID]starter.ReportFinished)}
	var list []describer.BackendServer
	for i := range servers {
		list = append(list, describer.BackendServer{
			ID: describer.BackendServerID(fmt.Sprintf("server-%d", i)), State: describer.Live,
			Rack:     describer.RackID(fmt.Sprintf("rack-%d", i)),
			Capacity: describer.Resources{MilliCores: 4000, MemoryBytes: 4 << 30},
		})
	}
	s.send(starter.PlacementRightChanged{Epoch: 1, StartUntil: startTime.Add(time.Hour), RenewUntil: startTime.Add(time.Hour)})
	s.send(starter.ServersChanged{Servers: list})
	for _, j := range jobs {
		s.send(starter.TasksAssigned{Job: j, Count: j.Tasks})
	}
	return s
}

func (s *script) send(event starter.Event) {
	for _, command := range s.starter.Handle(s.now, event) {
		switch c := command.(type) {
		case starter.CommitRecord:
			if !s.withholdCommits {
				s.send(starter.RecordsCommitted{Records: []committer.Record{c.Record}})
			}
		case starter.RenewLeases:
			s.send(starter.RenewResponded{Server: c.Server, Epoch: c.Epoch})
		case starter.ReportFinished:
			s.ended[c.Task] = c
		case starter.StartTask:
			s.starts = append(s.starts, c)
			s.respond(c)
		}
	}
}

func (s *script) respond(c starter.StartTask) {
	result := starter.Accepted
	if s.result != nil {
		result = s.result(c)
	}
	s.send(starter.StartResponded{Server: c.Server, Task: c.Attempt.Task, Attempt: c.Attempt.Number, Result: result})
	if s.fail == nil || result != starter.Accepted {
		return
	}
	if reason := s.fail(c); reason != "" {
		s.send(starter.AttemptEnded{
			Server: c.Server, Task: c.Attempt.Task, Attempt: c.Attempt.Number,
			Outcome: committer.Failed, Reason: reason,
		})
	}
}

func (s *script) wait(duration time.Duration) {
	until := s.now.Add(duration)
	for {
		at, ok := s.starter.NextDeadline()
		if !ok || at.After(until) {
			s.now = until
			return
		}
		s.now = at
		s.send(starter.Ticked{})
	}
}

func batch(id string, tasks int) describer.Job {
	return describer.Job{
		ID: describer.JobID(id), Policy: describer.BatchJob, Class: describer.Standard, Tasks: tasks,
		PerTask: describer.Resources{MilliCores: 1000, MemoryBytes: 1 << 30},
	}
}

// TestTaskThatAlwaysFailsIsGivenUp guards against endless restarts, restarts without a growing backoff, a lost failure
// reason, and backend servers that are ejected for the fault of a job.
func TestTaskThatAlwaysFailsIsGivenUp(t *testing.T) {
	s := newScript(t, 9, batch("bad", 1))
	s.fail = func(starter.StartTask) string { return "exit status 3" }
	var times []time.Time
	servers := make(map[describer.BackendServerID]bool)
	s.result = func(c starter.StartTask) starter.StartResult {
		times = append(times, s.now)
		servers[c.Server] = true
		return starter.Accepted
	}
	s.send(starter.RecordsRecovered{})
	s.wait(10 * time.Minute)
	// Two backend servers are ejected after three failures each. On the third, failures are attributed to the job, and
	// five of them use up the attempts.
	require.Len(t, s.starts, 11)
	for i := 8; i < len(times); i++ {
		require.Greater(t, times[i].Sub(times[i-1]), times[i-1].Sub(times[i-2]), "backoff does not grow")
	}
	require.Len(t, servers, 3)
	finished := s.ended[describer.TaskID{Job: "bad"}]
	require.Equal(t, committer.GivenUp, finished.Outcome)
	require.Equal(t, "exit status 3", finished.Reason)
	state, _ := s.starter.StateOf(describer.TaskID{Job: "bad"})
	require.Equal(t, starter.GivenUp, state)
}

// TestFailingServerIsEjected guards against a backend server that fails everything and, being empty, attracts all
// work, and against one that never gets work again.
func TestFailingServerIsEjected(t *testing.T) {
	first, second := batch("first", 12), batch("second", 12)
	first.MaxAttempts, second.MaxAttempts = 50, 50
	s := newScript(t, 9, first, second)
	broken := true
	onBroken := 0
	var bad describer.BackendServerID
	s.fail = func(c starter.StartTask) string {
		if bad == "" {
			bad = c.Server
		}
		if c.Server == bad {
			onBroken++
			if broken {
				return "disk is read-only"
			}
		}
		return ""
	}
	s.send(starter.RecordsRecovered{})
	s.wait(25 * time.Second)
	// Four tasks were placed there together before the third failure ejected it.
	require.Equal(t, 4, onBroken, "starts before it was ejected")
	broken = false
	s.send(starter.TasksAssigned{Job: batch("third", 12), Count: 12})
	s.wait(20 * time.Second)
	require.Equal(t, 5, onBroken, "starts with one probe")
}

// TestFailedProbeByGangDoublesWaitOnce guards against a backend server that is probed far too late, because each failed
// task of a gang job doubles the wait for the next probe.
func TestFailedProbeByGangDoublesWaitOnce(t *testing.T) {
	first := batch("first", 4)
	first.MaxAttempts = 50
	s := newScript(t, 3, first)
	var bad describer.BackendServerID
	s.fail = func(c starter.StartTask) string {
		if bad == "" {
			bad = c.Server
		}
		if c.Server == bad && c.Attempt.Task.Job == "first" {
			return "disk is read-only"
		}
		return ""
	}
	s.send(starter.RecordsRecovered{})
	s.wait(20 * time.Second)
	s.endAll(s.starts, func(starter.StartTask) committer.Outcome { return committer.Succeeded })
	gang := batch("gang", 12)
	gang.Policy, gang.MaxAttempts = describer.GangJob, 50
	s.send(starter.TasksAssigned{Job: gang, Count: 12})
	var probes []time.Time
	for seen := len(s.starts); len(probes) < 2 && s.now.Sub(startTime) < 10*time.Minute; s.wait(time.Second) {
		if len(s.starts) == seen {
			continue
		}
		probes = append(probes, s.now)
		started := s.starts[seen:]
		seen = len(s.starts)
		s.endAll(started, func(c starter.StartTask) committer.Outcome {
			if c.Server == bad {
				return committer.Failed
			}
			return committer.Stopped
		})
	}
	require.Len(t, probes, 2)
	require.Less(t, probes[1].Sub(probes[0]), 90*time.Second)
}

// endAll ends the attempts with the given outcomes.
func (s *script) endAll(starts []starter.StartTask, outcome func(starter.StartTask) committer.Outcome) {
	for _, c := range starts {
		s.send(starter.AttemptEnded{
			Server: c.Server, Task: c.Attempt.Task, Attempt: c.Attempt.Number, Outcome: outcome(c),
		})
	}
}

// TestNoStartWithoutRight guards against a start by a member that was paused between the commit and the start, and
// whose right to start tasks has expired.
func TestNoStartWithoutRight(t *testing.T) {
	s := newScript(t, 1, batch("a", 1))
	s.withholdCommits = true
	s.send(starter.RecordsRecovered{})
	s.wait(time.Second)
	record := committer.Record{Kind: committer.Started, Task: describer.TaskID{Job: "a"}, Attempt: 1}
	s.now = startTime.Add(2 * time.Hour)
	s.send(starter.RecordsCommitted{Records: []committer.Record{record}})
	require.Empty(t, s.starts)
	until := s.now.Add(time.Minute)
	s.send(starter.PlacementRightChanged{Epoch: 2, StartUntil: until, RenewUntil: until})
	require.Len(t, s.starts, 1)
	require.Equal(t, describer.Epoch(2), s.starts[0].Epoch)
}

// TestFencedStarterSendsNoCommands guards against commands of a member whose write was refused.
func TestFencedStarterSendsNoCommands(t *testing.T) {
	s := newScript(t, 1, batch("a", 1))
	s.send(starter.Fenced{})
	s.send(starter.RecordsRecovered{})
	s.wait(time.Minute)
	require.Empty(t, s.starts)
}

// TestRecoveryReconcilesRecordsWithReports guards against a recovery that resolves a difference between records and
// reports the wrong way. A task with a record that does not run must start again, a running task without a record must
// be stopped, and a running task with a record must keep running.
func TestRecoveryReconcilesRecordsWithReports(t *testing.T) {
	withdrawn := describer.TaskID{Job: "gone"}
	s := newScript(t, 2, batch("a", 3))
	record := func(id describer.TaskID) committer.Record {
		return committer.Record{Kind: committer.Started, Task: id, Attempt: 4, Epoch: 1, Server: "server-0", At: startTime}
	}
	s.send(starter.PlacementRightChanged{Epoch: 2, StartUntil: startTime.Add(time.Hour), RenewUntil: startTime.Add(time.Hour)})
	s.send(starter.RecordsRecovered{
		Records:  []committer.Record{record(describer.TaskID{Job: "a"}), record(describer.TaskID{Job: "a", Index: 1}), record(withdrawn)},
		Finished: []committer.Finished{{Job: "a", First: 2, Count: 1, Outcome: committer.Succeeded}},
	})
	s.wait(5 * time.Second)
	require.Empty(t, s.starts, "started before the report")
	report := starter.ServerReported{Server: "server-0", SampledAt: s.now, Tasks: []starter.TaskReport{
		{Task: describer.TaskID{Job: "a"}, Attempt: 4},
		{Task: describer.TaskID{Job: "stray"}, Attempt: 1},
	}}
	var stopped []starter.Attempt
	for _, command := range s.starter.Handle(s.now, report) {
		if stop, ok := command.(starter.StopTask); ok {
			stopped = append(stopped, stop.Attempt)
		}
		if commit, ok := command.(starter.CommitRecord); ok {
			s.send(starter.RecordsCommitted{Records: []committer.Record{commit.Record}})
		}
	}
	s.wait(time.Second)
	require.Equal(t, []starter.Attempt{{Task: describer.TaskID{Job: "stray"}, Number: 1}}, stopped)
	require.Len(t, s.starts, 1)
	require.Equal(t, starter.Attempt{Task: describer.TaskID{Job: "a", Index: 1}, Number: 5}, s.starts[0].Attempt)
	for index, want := range []starter.State{starter.Running, starter.Running, starter.Ended} {
		state, _ := s.starter.StateOf(describer.TaskID{Job: "a", Index: index})
		require.Equal(t, want, state, "task %d", index)
	}
}

// TestLostTaskRestartsAfterLeaseExpiry guards against a second start while the lease at a lost backend server may still
// be valid.
func TestLostTaskRestartsAfterLeaseExpiry(t *testing.T) {
	s := newScript(t, 2, batch("a", 1))
	s.send(starter.RecordsRecovered{})
	s.wait(time.Second)
	require.Len(t, s.starts, 1)
	var list []describer.BackendServer
	for _, id := range []describer.BackendServerID{"server-0", "server-1"} {
		if id != s.starts[0].Server {
			list = append(list, describer.BackendServer{ID: id, State: describer.Live, Capacity: describer.Resources{MilliCores: 4000, MemoryBytes: 4 << 30}})
		}
	}
	lostAt := s.now
	s.send(starter.ServersChanged{Servers: list})
	s.wait(30 * time.Second)
	require.Len(t, s.starts, 1, "%v after the loss", s.now.Sub(lostAt))
	s.wait(5 * time.Second)
	require.Len(t, s.starts, 2)
	require.NotEqual(t, s.starts[0].Server, s.starts[1].Server)
}

// BenchmarkRecover measures the recovery of a zone with 20 running tasks on each backend server, from the records and
// one report of each backend server.
func BenchmarkRecover(b *testing.B) {
	for _, servers := range []int{48, 1222, 11000} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			list, jobs, records, reports := recoveryInput(servers)
			for b.Loop() {
				s := starter.New()
				s.Handle(startTime, starter.PlacementRightChanged{Epoch: 2, StartUntil: startTime.Add(time.Hour), RenewUntil: startTime.Add(time.Hour)})
				s.Handle(startTime, starter.ServersChanged{Servers: list})
				for _, j := range jobs {
					s.Handle(startTime, starter.TasksAssigned{Job: j, Count: j.Tasks})
				}
				s.Handle(startTime, starter.RecordsRecovered{Records: records})
				for _, report := range reports {
					s.Handle(startTime.Add(time.Second), report)
				}
			}
		})
	}
}

func recoveryInput(servers int) (
	list []describer.BackendServer, jobs []describer.Job, records []committer.Record, reports []starter.ServerReported,
) {
	each := describer.Resources{MilliCores: 380, MemoryBytes: 1 << 30}
	for i := range 1000 {
		jobs = append(jobs, describer.Job{
			ID: describer.JobID(fmt.Sprintf("job-%d", i)), Policy: describer.BatchJob, Class: describer.Standard,
			Tasks: (servers*20 + 999) / 1000, PerTask: each,
		})
	}
	next := 0
	for i := range servers {
		id := describer.BackendServerID(fmt.Sprintf("server-%d", i))
		list = append(list, describer.BackendServer{
			ID: id, State: describer.Live, Rack: describer.RackID(fmt.Sprintf("rack-%d", i/6)),
			Capacity: describer.Resources{MilliCores: 8000, MemoryBytes: 32 << 30},
		})
		report := starter.ServerReported{Server: id, SampledAt: startTime}
		for range 20 {
			task := describer.TaskID{Job: jobs[next%1000].ID, Index: next / 1000}
			next++
			if task.Index >= jobs[0].Tasks {
				continue
			}
			records = append(records, committer.Record{
				Kind: committer.Started, Task: task, Attempt: 1, Epoch: 1, Server: id, Resources: each, At: startTime,
			})
			report.Tasks = append(report.Tasks, starter.TaskReport{Task: task, Attempt: 1, Used: each})
		}
		reports = append(reports, report)
	}
	return list, jobs, records, reports
}
