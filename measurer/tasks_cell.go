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

// Delays of the simulated cell. The store answers in milliseconds and is slow at times; calls to backend servers stay
// inside the zone.
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
	cellRightExtended = 24 * time.Hour
)

// cellTask is a running attempt at a simulated backend server.
type cellTask struct {
	server describer.BackendServerID
	use    describer.Resources
	ended  bool
}

// cellRun drives a starter and a journal in virtual time against simulated backend servers and a simulated store.
type cellRun struct {
	*agenda
	random  *rand.Rand
	core    *starter.Starter
	journal *committer.Journal
	tasks   map[starter.Attempt]*cellTask
	servers map[describer.BackendServerID]map[starter.Attempt]*cellTask
	// stopped are attempts that were stopped before they arrived.
	stopped map[starter.Attempt]bool
	runTime func(id describer.TaskID) time.Duration
	// useOf gives the real use of a task.
	useOf func(id describer.TaskID) describer.Resources
	// onStart and onEnd are told of accepted starts and of ends.
	onStart func(id describer.TaskID)
	onEnd   func(id describer.TaskID)
	tickAt  time.Time
	pumpAt  time.Time
	writing bool
	writes  map[string]int
	// coreTime and journalTime are the computing time inside the cores.
	coreTime    time.Duration
	journalTime time.Duration
}

func newCellRun(seed uint64, servers []describer.BackendServer) (*cellRun, error) {
	journal, _, err := committer.Recover(context.Background(), fakekeeper.New(), "zone", 1, "measurer")
	if err != nil {
		return nil, err
	}
	run := &cellRun{
		agenda: newAgenda(), random: rand.New(rand.NewPCG(seed, 0)), core: starter.New(), journal: journal,
		tasks:   make(map[starter.Attempt]*cellTask),
		servers: make(map[describer.BackendServerID]map[starter.Attempt]*cellTask),
		onStart: func(describer.TaskID) {}, onEnd: func(describer.TaskID) {},
		writes: make(map[string]int), stopped: make(map[starter.Attempt]bool),
	}
	until := run.now.Add(cellRightExtended)
	run.handle(starter.RightChanged{Epoch: 1, StartUntil: until, RenewUntil: until})
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

func (r *cellRun) handle(event starter.Event) {
	begun := time.Now()
	commands := r.core.Handle(r.now, event)
	r.coreTime += time.Since(begun)
	for _, command := range commands {
		r.obey(command)
	}
	r.arm()
	r.pump()
}

func (r *cellRun) arm() {
	at, ok := r.core.NextDeadline()
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

func (r *cellRun) callDelay() time.Duration {
	return callDelayMin + time.Duration(r.random.Int64N(int64(callDelaySpread)))
}

func (r *cellRun) storeDelay() time.Duration {
	if r.random.IntN(storeSlowOneIn) == 0 {
		return storeSlowDelay
	}
	return storeDelayMin + time.Duration(r.random.Int64N(int64(storeDelaySpread)))
}

func (r *cellRun) obey(command starter.Command) {
	switch c := command.(type) {
	case starter.CommitRecord:
		r.journal.Append(c.Record)
	case starter.StartTask:
		r.after(r.callDelay(), func() { r.start(c) })
	case starter.RenewLeases:
		r.after(r.callDelay(), func() { r.handle(starter.RenewAnswered{Server: c.Server, Epoch: c.Epoch}) })
	case starter.CheckpointTask:
		delay := time.Duration(logNormal(r.random, checkpointMedian, checkpointSigma) * float64(time.Second))
		r.after(delay, func() { r.end(c.Attempt, committer.Checkpointed) })
	case starter.StopTask:
		r.after(r.callDelay(), func() { r.stop(c) })
	}
}

// stop ends an attempt; one that has not arrived yet is refused when it does.
func (r *cellRun) stop(c starter.StopTask) {
	if r.tasks[c.Attempt] != nil {
		r.end(c.Attempt, committer.Stopped)
		return
	}
	r.stopped[c.Attempt] = true
	r.handle(starter.TaskLeft{
		Server: c.Server, Task: c.Attempt.Task, Attempt: c.Attempt.Number, Outcome: committer.Stopped,
	})
}

func (r *cellRun) start(c starter.StartTask) {
	if r.tasks[c.Attempt] != nil || r.stopped[c.Attempt] {
		return
	}
	task := &cellTask{server: c.Server, use: r.useOf(c.Attempt.Task)}
	r.tasks[c.Attempt] = task
	r.servers[c.Server][c.Attempt] = task
	if runTime := r.runTime(c.Attempt.Task); runTime > 0 {
		r.after(runTime, func() { r.end(c.Attempt, committer.Succeeded) })
	}
	r.onStart(c.Attempt.Task)
	r.handle(starter.StartAnswered{
		Server: c.Server, Task: c.Attempt.Task, Attempt: c.Attempt.Number, Result: starter.Accepted,
	})
}

func (r *cellRun) end(attempt starter.Attempt, outcome committer.Outcome) {
	task := r.tasks[attempt]
	if task == nil || task.ended {
		return
	}
	task.ended = true
	delete(r.tasks, attempt)
	delete(r.servers[task.server], attempt)
	r.handle(starter.TaskLeft{Server: task.server, Task: attempt.Task, Attempt: attempt.Number, Outcome: outcome})
	if outcome == committer.Succeeded {
		r.onEnd(attempt.Task)
	}
}

func (r *cellRun) report(server describer.BackendServerID) {
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

// usual is 85% of a declared size, so that the learned need with its headroom stays near the declared size and the cell
// stays full.
func usual(declared describer.Resources) describer.Resources {
	return describer.Resources{MilliCores: declared.MilliCores * 85 / 100, MemoryBytes: declared.MemoryBytes * 85 / 100}
}

// pump lets the journal write when it wants to.
func (r *cellRun) pump() {
	if r.writing {
		return
	}
	begun := time.Now()
	write, ok := r.journal.Next(r.now)
	r.journalTime += time.Since(begun)
	if ok {
		r.writing = true
		r.writes[kindOf(write)]++
		r.after(r.storeDelay(), r.written)
		return
	}
	at, later := r.journal.NextDeadline(r.now)
	if !later || r.pumpAt.After(r.now) {
		return
	}
	r.pumpAt = at
	r.after(at.Sub(r.now), r.pump)
}

func (r *cellRun) written() {
	r.writing = false
	begun := time.Now()
	records := r.journal.Done(1)
	r.journalTime += time.Since(begun)
	if len(records) > 0 {
		r.handle(starter.RecordsCommitted{Records: records})
		return
	}
	r.pump()
}

func kindOf(write committer.Write) string {
	switch {
	case write.Group != nil:
		return "group"
	case write.Shard != nil:
		return "shard"
	}
	return "deletion"
}
