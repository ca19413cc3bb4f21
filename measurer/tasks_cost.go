package measurer

import (
	"encoding/json"
	"fmt"
	"math"
	"syscall"
	"time"

	"egretring.example/egretring/committer"
	"egretring.example/egretring/describer"
	"egretring.example/egretring/starter"
)

const (
	// costServers, costRunning and costStarts are the two-year size of the whole cell in one zone.
	costServers = 11_000
	costRunning = 220_000
	costStarts  = 1_200
	// costServices is the number of running tasks of services.
	costServices = costRunning / 5
	costJobs     = 1_000
	costFilling  = 30 * time.Second
	costWarmUp   = 90 * time.Second
	costRun      = 30 * time.Second
)

// costWorld keeps 220,000 tasks running, a fifth of services, and starts 1,200 batch tasks a second.
type costWorld struct {
	*cellRun
	jobs []describer.Job
	// services are the jobs whose tasks do not end.
	services []describer.Job
	next     int
	starts   int
}

func newCostWorld(seed uint64) (*costWorld, error) {
	servers := zoneServers(costServers, describer.Resources{MilliCores: 8_000, MemoryBytes: 32 * gigabyte})
	run, err := newCellRun(seed, servers)
	if err != nil {
		return nil, err
	}
	w := &costWorld{cellRun: run}
	each := describer.Resources{MilliCores: 330, MemoryBytes: 5 * gigabyte / 4}
	w.useOf = func(describer.TaskID) describer.Resources { return usual(each) }
	w.runTime = w.durationOf
	w.onStart = func(describer.TaskID) { w.starts++ }
	w.onEnd = func(describer.TaskID) { w.submit() }
	for i := range costJobs {
		w.jobs = append(w.jobs, describer.Job{
			ID: describer.JobID(fmt.Sprintf("batch-%03d", i)), Policy: describer.BatchJob, Class: describer.Standard, PerTask: each,
		})
		service := describer.Job{
			ID: describer.JobID(fmt.Sprintf("service-%03d", i)), Policy: describer.ServiceJob, Class: describer.Standard,
			Tasks: costServices / costJobs, PerTask: each,
		}
		w.services = append(w.services, service)
		w.handle(starter.TasksAssigned{Job: service, Count: service.Tasks})
	}
	for range costRunning - costServices {
		w.submit()
	}
	return w, nil
}

// durationOf spreads the run times so that 176,000 batch tasks make 1,200 starts a second.
func (w *costWorld) durationOf(id describer.TaskID) time.Duration {
	if id.Job[0] == 's' {
		return 0
	}
	mean := float64(costRunning-costServices) / costStarts
	if w.now.Sub(epochStart) < costFilling {
		// The tasks of the filling have run for a while already, so that the rate of ends is steady from the start.
		return time.Duration(2 * mean * (1 - math.Sqrt(w.random.Float64())) * float64(time.Second))
	}
	return time.Duration(2 * mean * w.random.Float64() * float64(time.Second))
}

func (w *costWorld) submit() {
	w.handle(starter.TasksAssigned{Job: w.jobs[w.next%costJobs], First: w.next / costJobs, Count: 1})
	w.next++
}

// cpuTime is the computing time of this process, with the garbage collector and the simulation.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// MeasureCost measures the computing time of 1,200 starts a second at the two-year size in one zone.
func MeasureCost(seeds []uint64) Table {
	table := Table{
		Title: "Cost of 1,200 starts a second on 11,000 servers with 220,000 running tasks",
		Notes: []string{
			"The whole cell as one zone with one placing member: starter, placer and journal, with a usage report and a renewal " +
				"of each backend server every 10 s, for 30 s of virtual time after 90 s of filling and settling. Cores are " +
				"computing seconds for each second of virtual time, measured on this machine by the wall clock inside the calls " +
				"of the cores; the last column is the computing time of the whole process, with the simulation and the garbage " +
				"collector. Target: below 0.5.",
		},
		Columns: []string{"seed", "running", "starts/s", "cores starter and placer", "cores journal", "cores whole process", "target"},
	}
	for _, seed := range seeds {
		w, err := newCostWorld(seed)
		if err != nil {
			table.add(seed, err)
			continue
		}
		w.runUntil(epochStart.Add(costWarmUp), func() bool { return false })
		w.coreTime, w.journalTime, w.starts = 0, 0, 0
		process := cpuTime()
		w.runUntil(epochStart.Add(costWarmUp+costRun), func() bool { return false })
		cores := w.coreTime.Seconds() / costRun.Seconds()
		journal := w.journalTime.Seconds() / costRun.Seconds()
		met := "met"
		if cores+journal >= 0.5 {
			met = "missed"
		}
		table.add(seed, len(w.tasks), float64(w.starts)/costRun.Seconds(), cores, journal,
			(cpuTime()-process).Seconds()/costRun.Seconds(), met)
	}
	return table
}

// MeasureRebuild measures the rebuilding of the state by a new placing member.
func MeasureRebuild(seeds []uint64) Table {
	table := Table{
		Title: "Rebuild after the placing member dies",
		Notes: []string{
			"11,000 backend servers with 20 running tasks each: decoding the records of 220,000 tasks from JSON, adopting " +
				"them, and reconciling one report of each backend server. Computing time by the wall clock on this machine, one " +
				"goroutine; reading from the store is not included. Target: below 5 s.",
		},
		Columns: []string{"seed", "records", "decode", "adopt", "reconcile", "sum", "target"},
	}
	for _, seed := range seeds {
		if err := addRebuild(&table, seed); err != nil {
			table.add(seed, err)
		}
	}
	return table
}

func addRebuild(table *Table, seed uint64) error {
	w, err := newCostWorld(seed)
	if err != nil {
		return err
	}
	w.runUntil(epochStart.Add(costWarmUp), func() bool { return false })
	var state committer.State
	reports := make(map[describer.BackendServerID]*starter.ServerReported)
	for _, server := range zoneServers(costServers, describer.Resources{}) {
		reports[server.ID] = &starter.ServerReported{Server: server.ID, SampledAt: w.now}
	}
	for attempt, task := range w.tasks {
		state.Records = append(state.Records, committer.Record{
			Kind: committer.Started, Task: attempt.Task, Attempt: attempt.Number, Epoch: 1, Server: task.server,
			Resources: task.use, At: w.now,
		})
		reports[task.server].Tasks = append(reports[task.server].Tasks,
			starter.TaskReport{Task: attempt.Task, Attempt: attempt.Number, Used: task.use})
	}
	body, err := json.Marshal(state)
	if err != nil {
		return err
	}
	begun := time.Now()
	var decoded committer.State
	if err := json.Unmarshal(body, &decoded); err != nil {
		return err
	}
	decode := time.Since(begun)

	begun = time.Now()
	core := starter.New()
	until := w.now.Add(time.Hour)
	core.Handle(w.now, starter.RightChanged{Epoch: 2, StartUntil: until, RenewUntil: until})
	core.Handle(w.now, starter.ServersChanged{
		Servers: zoneServers(costServers, describer.Resources{MilliCores: 8_000, MemoryBytes: 32 * gigabyte}),
	})
	for _, job := range w.jobs {
		core.Handle(w.now, starter.TasksAssigned{Job: job, Count: w.next/costJobs + 1})
	}
	for _, service := range w.services {
		core.Handle(w.now, starter.TasksAssigned{Job: service, Count: service.Tasks})
	}
	core.Handle(w.now, starter.RecordsRecovered(decoded))
	adopt := time.Since(begun)

	begun = time.Now()
	for _, report := range reports {
		core.Handle(w.now.Add(time.Second), *report)
	}
	reconcile := time.Since(begun)
	met := "met"
	if decode+adopt+reconcile >= 5*time.Second {
		met = "missed"
	}
	table.add(seed, len(decoded.Records), decode, adopt, reconcile, decode+adopt+reconcile, met)
	return nil
}
