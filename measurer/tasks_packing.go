package measurer

import (
	"math/rand/v2"
	"time"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/placer"
)

const (
	packingServers = 96
	packingJobs    = 300
	// packingPart is the share of the work whose end is timed, so that the last stragglers do not decide.
	packingPart = 0.95
	// throttledUse is the use of a throttled task; it runs longer by the same factor.
	throttledUse = 0.8
)

// runningTraced is a task of a trace on a backend server.
type runningTraced struct {
	task      *tracedTask
	server    describer.BackendServerID
	startedAt time.Time
	slow      bool
	// generation tells an outdated end from the current one.
	generation int
}

func (r *runningTraced) use() describer.Resources {
	if !r.slow {
		return r.task.use
	}
	return describer.Resources{
		MilliCores:  int64(float64(r.task.use.MilliCores) * throttledUse),
		MemoryBytes: r.task.use.MemoryBytes,
	}
}

// packingWorld runs the tasks of a trace and counts the work that is done.
type packingWorld struct {
	agenda   *agenda
	trace    trace
	running  map[describer.TaskID]*runningTraced
	servers  map[describer.BackendServerID]map[describer.TaskID]*runningTraced
	target   float64
	done     float64
	reached  time.Duration
	overload time.Duration
	evicted  int
	onEnd    func(id describer.TaskID)
}

func newPackingWorld(a *agenda, t trace, servers []describer.BackendServer) *packingWorld {
	cores, _ := t.volume()
	w := &packingWorld{
		agenda: a, trace: t, target: packingPart * cores,
		running: make(map[describer.TaskID]*runningTraced),
		servers: make(map[describer.BackendServerID]map[describer.TaskID]*runningTraced),
	}
	for _, server := range servers {
		w.servers[server.ID] = make(map[describer.TaskID]*runningTraced)
	}
	return w
}

func (w *packingWorld) start(id describer.TaskID, server describer.BackendServerID) {
	running := &runningTraced{task: w.trace.tasks[id], server: server, startedAt: w.agenda.now}
	w.running[id] = running
	w.servers[server][id] = running
	w.scheduleEnd(running, running.task.remaining)
}

func (w *packingWorld) scheduleEnd(running *runningTraced, remaining time.Duration) {
	running.generation++
	generation := running.generation
	w.agenda.after(remaining, func() {
		if running.generation != generation {
			return
		}
		w.remove(running)
		w.done += float64(running.task.use.MilliCores) / 1000 * running.task.runTime.Seconds()
		if w.reached == 0 && w.done >= w.target {
			w.reached = w.agenda.now.Sub(epochStart)
		}
		w.onEnd(running.task.id)
	})
}

func (w *packingWorld) remove(running *runningTraced) {
	running.generation++
	delete(w.running, running.task.id)
	delete(w.servers[running.server], running.task.id)
}

// usedOn returns the real use of a backend server.
func (w *packingWorld) usedOn(server describer.BackendServerID) describer.Resources {
	sum := describer.Resources{}
	for _, running := range w.servers[server] {
		sum = sum.Plus(running.use())
	}
	return sum
}

// countOverload adds the time in which backend servers use more than they have.
func (w *packingWorld) countOverload(servers []describer.BackendServer, interval time.Duration) {
	for _, server := range servers {
		if !w.usedOn(server.ID).Fits(server.Capacity) {
			w.overload += interval
		}
	}
}

// packWithPlacer runs the trace with the placer.
func packWithPlacer(t trace, servers []describer.BackendServer, random *rand.Rand) *packingWorld {
	run := newTasksRun(servers)
	w := newPackingWorld(run.agenda, t, servers)
	jobs := make(map[describer.JobID]describer.Job)
	run.placed = func(command placer.PlaceTask) {
		w.start(command.Task, command.Server)
		run.after(0, func() { run.handle(placer.TaskStarted{Task: command.Task}) })
	}
	w.onEnd = func(id describer.TaskID) { run.handle(placer.TaskReleased{Task: id, Completed: true}) }
	run.evict = func(command placer.EvictTask) {
		running := w.running[command.Task]
		if running == nil {
			return
		}
		w.evicted++
		running.task.remaining -= w.agenda.now.Sub(running.startedAt)
		w.remove(running)
		run.after(time.Second, func() {
			run.handle(placer.TaskReleased{Task: command.Task})
			run.handle(placer.TasksSubmitted{Job: jobs[command.Task.Job], Indices: []int{command.Task.Index}})
		})
	}
	run.slow = func(command placer.ThrottleTask) {
		if running := w.running[command.Task]; running != nil && !running.slow {
			running.slow = true
			left := running.task.remaining - w.agenda.now.Sub(running.startedAt)
			w.scheduleEnd(running, time.Duration(float64(left)/throttledUse))
		}
	}
	for _, job := range t.jobs {
		jobs[job.ID] = job
		run.handle(placer.TasksSubmitted{Job: job, Indices: indices(job.Tasks)})
	}
	run.every(reportInterval, func() bool {
		w.countOverload(servers, reportInterval)
		for _, server := range servers {
			w.report(run, server.ID, random)
		}
		return true
	})
	run.runUntil(epochStart.Add(24*time.Hour), func() bool { return w.reached > 0 })
	return w
}

// report delivers the use of a backend server after the lag, with a noise of 10% in each sample.
func (w *packingWorld) report(run *tasksRun, server describer.BackendServerID, random *rand.Rand) {
	event := placer.UsageReported{Server: server, SampledAt: w.agenda.now}
	for id, running := range w.servers[server] {
		used := running.use()
		event.Tasks = append(event.Tasks, placer.TaskUsage{Task: id, Used: used})
	}
	sortUsage(event.Tasks)
	for i := range event.Tasks {
		noise := 0.9 + 0.2*random.Float64()
		event.Tasks[i].Used.MilliCores = int64(float64(event.Tasks[i].Used.MilliCores) * noise)
	}
	run.after(reportLag, func() { run.handle(event) })
}

// packFirstFit runs the trace with first fit by declared size: each task goes to the first backend server with room, in
// the order of submission, and tasks that do not fit are skipped.
func packFirstFit(t trace, servers []describer.BackendServer) *packingWorld {
	a := newAgenda()
	w := newPackingWorld(a, t, servers)
	free := make(map[describer.BackendServerID]describer.Resources)
	for _, server := range servers {
		free[server.ID] = server.Capacity
	}
	next := make([]int, len(t.jobs))
	number := make(map[describer.JobID]int)
	fill := func(server describer.BackendServerID) {
		for i, job := range t.jobs {
			for next[i] < job.Tasks && job.PerTask.Fits(free[server]) {
				free[server] = free[server].Minus(job.PerTask)
				w.start(describer.TaskID{Job: job.ID, Index: next[i]}, server)
				next[i]++
			}
		}
	}
	places := make(map[describer.TaskID]describer.BackendServerID)
	w.onEnd = func(id describer.TaskID) {
		server := places[id]
		free[server] = free[server].Plus(t.jobs[number[id.Job]].PerTask)
		fill(server)
		for each := range w.servers[server] {
			places[each] = server
		}
	}
	for i, job := range t.jobs {
		number[job.ID] = i
	}
	for _, server := range servers {
		fill(server.ID)
		for each := range w.servers[server.ID] {
			places[each] = server.ID
		}
	}
	a.every(reportInterval, func() bool {
		w.countOverload(servers, reportInterval)
		return true
	})
	a.runUntil(epochStart.Add(24*time.Hour), func() bool { return w.reached > 0 })
	return w
}

// MeasurePacking compares the time for 95% of a mixed trace with wrong declarations with the bound by volume.
func MeasurePacking(seeds []uint64) Table {
	table := Table{
		Title: "Packing of a mixed trace with wrong declarations",
		Notes: []string{
			"96 backend servers of 64 cores and 256 GB; 300 batch jobs with 20 to 139 tasks, all submitted at the start; " +
				"declared sizes are off by a factor of 0.5 to 4 for each job. Time until 95% of the core seconds are done, " +
				"and its ratio to the bound by volume (real use). Overload is the share of server time in which the real " +
				"use exceeds the capacity; first fit uses declared sizes and pays nothing for overload here. Target: within 1.08 times the bound, and better than first fit.",
		},
		Columns: []string{"seed", "bound", "placer", "placer/bound", "first fit", "first fit/bound", "overload placer", "overload first fit", "evictions"},
	}
	for _, seed := range seeds {
		servers := zoneServers(packingServers, standardServer)
		bound := newTrace(rand.New(rand.NewPCG(seed, 0)), packingJobs).bound(packingServers, standardServer, packingPart)
		own := packWithPlacer(newTrace(rand.New(rand.NewPCG(seed, 0)), packingJobs), servers, rand.New(rand.NewPCG(seed, 1)))
		first := packFirstFit(newTrace(rand.New(rand.NewPCG(seed, 0)), packingJobs), servers)
		table.add(seed, bound, own.reached, own.reached.Seconds()/bound.Seconds(),
			first.reached, first.reached.Seconds()/bound.Seconds(),
			percent(own.overload.Seconds(), own.reached.Seconds()*packingServers),
			percent(first.overload.Seconds(), first.reached.Seconds()*packingServers), own.evicted)
	}
	return table
}
