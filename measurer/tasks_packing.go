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
	// packingPart is the share of the work that is timed, so that the last stragglers do not determine the figure.
	packingPart = 0.95
	// throttledUse is the CPU usage of a throttled task relative to its normal one; its run time is divided by it.
	throttledUse = 0.8
)

// runningTask is a task of a trace on a backend server.
type runningTask struct {
	task      *tracedTask
	server    describer.BackendServerID
	startedAt time.Time
	throttled bool
	// generation changes when the end is rescheduled or the task is removed; an end scheduled for an earlier generation is
	// ignored.
	generation int
}

func (r *runningTask) use() describer.Resources {
	if !r.throttled {
		return r.task.use
	}
	return describer.Resources{
		MilliCores:  int64(float64(r.task.use.MilliCores) * throttledUse),
		MemoryBytes: r.task.use.MemoryBytes,
	}
}

// packingSimulation runs the tasks of a trace and counts the work that is done.
type packingSimulation struct {
	eventQueue *eventQueue
	trace      trace
	running    map[describer.TaskID]*runningTask
	servers    map[describer.BackendServerID]map[describer.TaskID]*runningTask
	// done is the work of the ended tasks in core-seconds, and reached the time at which it reached target.
	target  float64
	done    float64
	reached time.Duration
	// overload is the time with usage above capacity, summed over the backend servers.
	overload time.Duration
	evicted  int
	onEnd    func(id describer.TaskID)
}

func newPackingSimulation(queue *eventQueue, t trace, servers []describer.BackendServer) *packingSimulation {
	cores, _ := t.volume()
	s := &packingSimulation{
		eventQueue: queue, trace: t, target: packingPart * cores,
		running: make(map[describer.TaskID]*runningTask),
		servers: make(map[describer.BackendServerID]map[describer.TaskID]*runningTask),
	}
	for _, server := range servers {
		s.servers[server.ID] = make(map[describer.TaskID]*runningTask)
	}
	return s
}

func (s *packingSimulation) start(id describer.TaskID, server describer.BackendServerID) {
	running := &runningTask{task: s.trace.tasks[id], server: server, startedAt: s.eventQueue.now}
	s.running[id] = running
	s.servers[server][id] = running
	s.scheduleEnd(running, running.task.remaining)
}

// scheduleEnd schedules the end of a task and cancels an end that was scheduled before.
func (s *packingSimulation) scheduleEnd(running *runningTask, remaining time.Duration) {
	running.generation++
	generation := running.generation
	s.eventQueue.after(remaining, func() {
		if running.generation != generation {
			return
		}
		s.remove(running)
		s.done += float64(running.task.use.MilliCores) / 1000 * running.task.runTime.Seconds()
		if s.reached == 0 && s.done >= s.target {
			s.reached = s.eventQueue.now.Sub(epochStart)
		}
		s.onEnd(running.task.id)
	})
}

func (s *packingSimulation) remove(running *runningTask) {
	running.generation++
	delete(s.running, running.task.id)
	delete(s.servers[running.server], running.task.id)
}

// usedOn returns the real resource usage on a backend server.
func (s *packingSimulation) usedOn(server describer.BackendServerID) describer.Resources {
	sum := describer.Resources{}
	for _, running := range s.servers[server] {
		sum = sum.Plus(running.use())
	}
	return sum
}

// countOverload adds an interval for each backend server whose real usage exceeds its capacity.
func (s *packingSimulation) countOverload(servers []describer.BackendServer, interval time.Duration) {
	for _, server := range servers {
		if !s.usedOn(server.ID).Fits(server.Capacity) {
			s.overload += interval
		}
	}
}

// packWithPlacer runs the trace with the placer, until the timed share of the work is done.
func packWithPlacer(t trace, servers []describer.BackendServer, random *rand.Rand) *packingSimulation {
	run := newPlacerSimulation(servers)
	s := newPackingSimulation(run.eventQueue, t, servers)
	jobs := make(map[describer.JobID]describer.Job)
	run.onPlace = func(command placer.PlaceTask) {
		s.start(command.Task, command.Server)
		run.after(0, func() { run.handle(placer.TaskStarted{Task: command.Task}) })
	}
	s.onEnd = func(id describer.TaskID) { run.handle(placer.TaskReleased{Task: id, Completed: true}) }
	run.onEvict = func(command placer.EvictTask) {
		running := s.running[command.Task]
		if running == nil {
			return
		}
		s.evicted++
		running.task.remaining -= s.eventQueue.now.Sub(running.startedAt)
		s.remove(running)
		run.after(time.Second, func() {
			run.handle(placer.TaskReleased{Task: command.Task})
			run.handle(placer.TasksSubmitted{Job: jobs[command.Task.Job], Indices: []int{command.Task.Index}})
		})
	}
	run.onThrottle = func(command placer.ThrottleTask) {
		if running := s.running[command.Task]; running != nil && !running.throttled {
			running.throttled = true
			remaining := running.task.remaining - s.eventQueue.now.Sub(running.startedAt)
			s.scheduleEnd(running, time.Duration(float64(remaining)/throttledUse))
		}
	}
	for _, job := range t.jobs {
		jobs[job.ID] = job
		run.handle(placer.TasksSubmitted{Job: job, Indices: indices(job.Tasks)})
	}
	run.every(reportInterval, func() bool {
		s.countOverload(servers, reportInterval)
		for _, server := range servers {
			s.report(run, server.ID, random)
		}
		return true
	})
	run.runUntil(epochStart.Add(24*time.Hour), func() bool { return s.reached > 0 })
	return s
}

// report delivers a usage report of a backend server after reportLag, with a CPU noise of up to 10% in each sample.
func (s *packingSimulation) report(run *placerSimulation, server describer.BackendServerID, random *rand.Rand) {
	event := placer.UsageReported{Server: server, SampledAt: s.eventQueue.now}
	for id, running := range s.servers[server] {
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

// packFirstFit runs the trace with first fit by declared size: each task goes to the first backend server with enough
// free capacity, in the order of submission, and tasks that do not fit are skipped.
func packFirstFit(t trace, servers []describer.BackendServer) *packingSimulation {
	queue := newEventQueue()
	s := newPackingSimulation(queue, t, servers)
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
				s.start(describer.TaskID{Job: job.ID, Index: next[i]}, server)
				next[i]++
			}
		}
	}
	places := make(map[describer.TaskID]describer.BackendServerID)
	s.onEnd = func(id describer.TaskID) {
		server := places[id]
		free[server] = free[server].Plus(t.jobs[number[id.Job]].PerTask)
		fill(server)
		for each := range s.servers[server] {
			places[each] = server
		}
	}
	for i, job := range t.jobs {
		number[job.ID] = i
	}
	for _, server := range servers {
		fill(server.ID)
		for each := range s.servers[server.ID] {
			places[each] = server.ID
		}
	}
	queue.every(reportInterval, func() bool {
		s.countOverload(servers, reportInterval)
		return true
	})
	queue.runUntil(epochStart.Add(24*time.Hour), func() bool { return s.reached > 0 })
	return s
}

// MeasurePacking compares the time for 95% of the work of a mixed trace with wrong declarations to its lower bound by
// volume.
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
		withPlacer := packWithPlacer(newTrace(rand.New(rand.NewPCG(seed, 0)), packingJobs), servers, rand.New(rand.NewPCG(seed, 1)))
		first := packFirstFit(newTrace(rand.New(rand.NewPCG(seed, 0)), packingJobs), servers)
		table.add(seed, bound, withPlacer.reached, withPlacer.reached.Seconds()/bound.Seconds(),
			first.reached, first.reached.Seconds()/bound.Seconds(),
			percent(withPlacer.overload.Seconds(), withPlacer.reached.Seconds()*packingServers),
			percent(first.overload.Seconds(), first.reached.Seconds()*packingServers), withPlacer.evicted)
	}
	return table
}
