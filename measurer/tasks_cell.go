package measurer

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"egretring.example/egretring/committer"
	"egretring.example/egretring/describer"
	"egretring.example/egretring/fakekeeper"
	"egretring.example/egretring/starter"
)

// Delays of the simulated cell. The store responds in milliseconds, but one call in storeSlowOneIn is slow. Calls to
// backend servers stay inside the zone. checkpointMedian is in seconds.
const (
	storeDelayMin     = 5 * time.Millisecond
	storeDelaySpread  = 15 * time.Millisecond
	storeSlowDelay    = 300 * time.Millisecond
	storeSlowOneIn    = 100
	callDelayMin      = 2 * time.Millisecond
	callDelaySpread   = 8 * time.Millisecond
	checkpointMedian  = 0.3
	checkpointSigma   = 0.6
	cellReportEvery   = 10 * time.Second
	cellRightDuration = 24 * time.Hour
)

// cellTask is an attempt that runs on a simulated backend server.
type cellTask struct {
	server describer.BackendServerID
	use    describer.Resources
	ended  bool
}

// cellSimulation drives a starter and a journal in virtual time against simulated backend servers and a simulated
// store.
type cellSimulation struct {
	*eventQueue
	random  *rand.Rand
	starter *starter.Starter
	journal *committer.Journal
	tasks   map[starter.Attempt]*cellTask
	servers map[describer.BackendServerID]map[starter.Attempt]*cellTask
	// stopped holds attempts that were stopped before their start arrived at the backend server; that start is ignored.
	stopped map[starter.Attempt]bool
	// runTime returns the run time of a task, or 0 for a task that does not end by itself.
	runTime func(id describer.TaskID) time.Duration
	// actualUsage returns the real resource usage of a task, which differs from the declared size.
	actualUsage func(id describer.TaskID) describer.Resources
	// onStart is called for each accepted start, and onEnd for each task that succeeded.
	onStart func(id describer.TaskID)
	onEnd   func(id describer.TaskID)
	// tickAt and nextWriteAt are the times of the scheduled tick and of the scheduled next write of the journal.
	tickAt      time.Time
	nextWriteAt time.Time
	writing     bool
	writes      map[string]int
	// starterTime and journalTime are the wall time spent inside the starter and the journal.
	starterTime time.Duration
	journalTime time.Duration
}

func newCellSimulation(seed uint64, servers []describer.BackendServer) (*cellSimulation, error) {
	journal, _, err := committer.Recover(context.Background(), fakekeeper.New(), "zone", 1, "measurer")
	if err != nil {
		return nil, err
	}
	run := &cellSimulation{
		eventQueue: newEventQueue(), random: rand.New(rand.NewPCG(seed, 0)), starter: starter.New(), journal: journal,
		tasks:   make(map[starter.Attempt]*cellTask),
		servers: make(map[describer.BackendServerID]map[starter.Attempt]*cellTask),
		onStart: func(describer.TaskID) {}, onEnd: func(describer.TaskID) {},
		writes: make(map[string]int), stopped: make(map[starter.Attempt]bool),
	}
	until := run.now.Add(cellRightDuration)
	run.handle(starter.PlacementRightChanged{Epoch: 1, StartUntil: until, RenewUntil: until})
	run.handle(starter.ServersChanged{Servers: servers})
	run.handle(starter.RecordsRecovered{})
	for i, server := range servers {
		run.servers[server.ID] = make(map[starter.Attempt]*cellTask)
		run.after(time.Duration(i)*cellReportEvery/time.Duration(len(servers)), func() {
			run.every(cellReportEvery, func() bool { run.report(server.ID); return true })
		})
	}
	return run, nil
}

// handle passes an event to the starter and executes its commands.
func (r *cellSimulation) handle(event starter.Event) {
	startedAt := time.Now()
	commands := r.starter.Handle(r.now, event)
	r.starterTime += time.Since(startedAt)
	for _, command := range commands {
		r.execute(command)
	}
	r.scheduleTick()
	r.writeNext()
}

// scheduleTick schedules a tick at the next deadline of the starter, unless a tick is already scheduled for that time
// or an earlier one.
func (r *cellSimulation) scheduleTick() {
	at, ok := r.starter.NextDeadline()
	if !ok || !r.tickAt.IsZero() && !r.tickAt.After(at) {
		return
	}
	r.tickAt = at
	r.after(max(0, at.Sub(r.now)), func() {
		if r.tickAt.Equal(at) {
			r.tickAt = time.Time{}
			r.handle(starter.Ticked{})
		}
	})
}

func (r *cellSimulation) callDelay() time.Duration {
	return callDelayMin + time.Duration(r.random.Int64N(int64(callDelaySpread)))
}

func (r *cellSimulation) storeDelay() time.Duration {
	if r.random.IntN(storeSlowOneIn) == 0 {
		return storeSlowDelay
	}
	return storeDelayMin + time.Duration(r.random.Int64N(int64(storeDelaySpread)))
}

func (r *cellSimulation) execute(command starter.Command) {
	switch c := command.(type) {
	case starter.CommitRecord:
		r.journal.Append(c.Record)
	case starter.StartTask:
		r.after(r.callDelay(), func() { r.start(c) })
	case starter.RenewLeases:
		r.after(r.callDelay(), func() { r.handle(starter.RenewResponded{Server: c.Server, Epoch: c.Epoch}) })
	case starter.CheckpointTask:
		delay := time.Duration(logNormal(r.random, checkpointMedian, checkpointSigma) * float64(time.Second))
		r.after(delay, func() { r.end(c.Attempt, committer.Checkpointed) })
	case starter.StopTask:
		r.after(r.callDelay(), func() { r.stop(c) })
	}
}

// stop ends an attempt. If its start has not arrived yet, that start is ignored on arrival.
func (r *cellSimulation) stop(c starter.StopTask) {
	if r.tasks[c.Attempt] != nil {
		r.end(c.Attempt, committer.Stopped)
		return
	}
	r.stopped[c.Attempt] = true
	r.handle(starter.AttemptEnded{
		Server: c.Server, Task: c.Attempt.Task, Attempt: c.Attempt.Number, Outcome: committer.Stopped,
	})
}

// start runs an attempt whose start has arrived at the backend server.
func (r *cellSimulation) start(c starter.StartTask) {
	if r.tasks[c.Attempt] != nil || r.stopped[c.Attempt] {
		return
	}
	task := &cellTask{server: c.Server, use: r.actualUsage(c.Attempt.Task)}
	r.tasks[c.Attempt] = task
	r.servers[c.Server][c.Attempt] = task
	if runTime := r.runTime(c.Attempt.Task); runTime > 0 {
		r.after(runTime, func() { r.end(c.Attempt, committer.Succeeded) })
	}
	r.onStart(c.Attempt.Task)
	r.handle(starter.StartResponded{
		Server: c.Server, Task: c.Attempt.Task, Attempt: c.Attempt.Number, Result: starter.Accepted,
	})
}

func (r *cellSimulation) end(attempt starter.Attempt, outcome committer.Outcome) {
	task := r.tasks[attempt]
	if task == nil || task.ended {
		return
	}
	task.ended = true
	delete(r.tasks, attempt)
	delete(r.servers[task.server], attempt)
	r.handle(starter.AttemptEnded{Server: task.server, Task: attempt.Task, Attempt: attempt.Number, Outcome: outcome})
	if outcome == committer.Succeeded {
		r.onEnd(attempt.Task)
	}
}

// report sends the starter a usage report of a backend server, with a fixed order of tasks.
func (r *cellSimulation) report(server describer.BackendServerID) {
	event := starter.ServerReported{Server: server, SampledAt: r.now}
	for attempt, task := range r.servers[server] {
		event.Tasks = append(event.Tasks, starter.TaskReport{Task: attempt.Task, Attempt: attempt.Number, Used: task.use})
	}
	slices.SortFunc(event.Tasks, func(a, b starter.TaskReport) int {
		if a.Task.Job == b.Task.Job {
			return a.Task.Index - b.Task.Index
		}
		if a.Task.Job < b.Task.Job {
			return -1
		}
		return 1
	})
	r.after(reportLag, func() { r.handle(event) })
}

// typicalUsage returns 85% of a declared size. The need that the placer learns from it, with headroom, then stays near
// the declared size, so the cell stays full.
func typicalUsage(declared describer.Resources) describer.Resources {
	return describer.Resources{MilliCores: declared.MilliCores * 85 / 100, MemoryBytes: declared.MemoryBytes * 85 / 100}
}

// writeNext starts the next write of the journal, or schedules itself for the time when the journal has to write.
func (r *cellSimulation) writeNext() {
	if r.writing {
		return
	}
	startedAt := time.Now()
	write, ok := r.journal.Next(r.now)
	r.journalTime += time.Since(startedAt)
	if ok {
		r.writing = true
		r.writes[writeKind(write)]++
		r.after(r.storeDelay(), r.finishWrite)
		return
	}
	at, later := r.journal.NextDeadline(r.now)
	if !later || r.nextWriteAt.After(r.now) {
		return
	}
	r.nextWriteAt = at
	r.after(at.Sub(r.now), r.writeNext)
}

// finishWrite confirms the write to the journal and passes the committed records to the starter.
func (r *cellSimulation) finishWrite() {
	r.writing = false
	startedAt := time.Now()
	records := r.journal.WriteDone(1)
	r.journalTime += time.Since(startedAt)
	if len(records) > 0 {
		r.handle(starter.RecordsCommitted{Records: records})
		return
	}
	r.writeNext()
}

// writeKind returns what a write does: it writes a group, writes a shard or deletes a group.
func writeKind(write committer.Write) string {
	switch {
	case write.Group != nil:
		return "group"
	case write.Shard != nil:
		return "shard"
	}
	return "deletion"
}
