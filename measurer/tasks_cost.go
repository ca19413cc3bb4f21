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
	// costServers, costRunning and costStarts are the size expected in two years, with the whole cell in one zone.
	costServers = 11_000
	costRunning = 220_000
	costStarts  = 1_200
	// costServices is the number of running tasks of service jobs.
	costServices = costRunning / 5
	costJobs     = 1_000
	costFillTime = 30 * time.Second
	costWarmUp   = 90 * time.Second
	costRun      = 30 * time.Second
)

// costSimulation keeps 220,000 tasks running, a fifth of them tasks of service jobs, and starts 1,200 batch tasks a
// second.
type costSimulation struct {
	*cellSimulation
	jobs []describer.Job
	// services are the jobs whose tasks do not end.
	services []describer.Job
	next     int
	starts   int
}

func newCostSimulation(seed uint64) (*costSimulation, error) {
	servers := zoneServers(costServers, describer.Resources{MilliCores: 8_000, MemoryBytes: 32 * gigabyte})
	run, err := newCellSimulation(seed, servers)
	if err != nil {
		return nil, err
	}
	s := &costSimulation{cellSimulation: run}
	each := describer.Resources{MilliCores: 330, MemoryBytes: 5 * gigabyte / 4}
	s.actualUsage = func(describer.TaskID) describer.Resources { return typicalUsage(each) }
	s.runTime = s.durationOf
	s.onStart = func(describer.TaskID) { s.starts++ }
	s.onEnd = func(describer.TaskID) { s.submit() }
	for i := range costJobs {
		s.jobs = append(s.jobs, describer.Job{
			ID: describer.JobID(fmt.Sprintf("batch-%03d", i)), Policy: describer.BatchJob, Class: describer.Standard, PerTask: each,
		})
		service := describer.Job{
			ID: describer.JobID(fmt.Sprintf("service-%03d", i)), Policy: describer.ServiceJob, Class: describer.Standard,
			Tasks: costServices / costJobs, PerTask: each,
		}
		s.services = append(s.services, service)
		s.handle(starter.TasksAssigned{Job: service, Count: service.Tasks})
	}
	for range costRunning - costServices {
		s.submit()
	}
	return s, nil
}

// durationOf returns random run times with a mean at which 176,000 batch tasks make 1,200 starts a second. Service
// tasks do not end.
func (s *costSimulation) durationOf(id describer.TaskID) time.Duration {
	if id.Job[0] == 's' {
		return 0
	}
	mean := float64(costRunning-costServices) / costStarts
	if s.now.Sub(epochStart) < costFillTime {
		// Tasks that fill the cell get the remaining run time of tasks that are already running, so that the rate of
		// ends is steady from the start.
		return time.Duration(2 * mean * (1 - math.Sqrt(s.random.Float64())) * float64(time.Second))
	}
	return time.Duration(2 * mean * s.random.Float64() * float64(time.Second))
}

func (s *costSimulation) submit() {
	s.handle(starter.TasksAssigned{Job: s.jobs[s.next%costJobs], First: s.next / costJobs, Count: 1})
	s.next++
}

// cpuTime returns the processor time of this process, which includes the garbage collector and the simulation.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// MeasureCost measures the computing time of 1,200 starts a second at the size expected in two years, with the whole
// cell in one zone.
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
		s, err := newCostSimulation(seed)
		if err != nil {
			table.add(seed, err)
			continue
		}
		s.runUntil(epochStart.Add(costWarmUp), func() bool { return false })
		s.starterTime, s.journalTime, s.starts = 0, 0, 0
		process := cpuTime()
		s.runUntil(epochStart.Add(costWarmUp+costRun), func() bool { return false })
		cores := s.starterTime.Seconds() / costRun.Seconds()
		journal := s.journalTime.Seconds() / costRun.Seconds()
		met := "met"
		if cores+journal >= 0.5 {
			met = "missed"
		}
		table.add(seed, len(s.tasks), float64(s.starts)/costRun.Seconds(), cores, journal,
			(cpuTime()-process).Seconds()/costRun.Seconds(), met)
	}
	return table
}

// MeasureRebuild measures how long a new placing member takes to rebuild the state of its predecessor.
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

// addRebuild measures one rebuild and adds its row to the table.
func addRebuild(table *Table, seed uint64) error {
	s, err := newCostSimulation(seed)
	if err != nil {
		return err
	}
	s.runUntil(epochStart.Add(costWarmUp), func() bool { return false })
	var state committer.State
	reports := make(map[describer.BackendServerID]*starter.ServerReported)
	for _, server := range zoneServers(costServers, describer.Resources{}) {
		reports[server.ID] = &starter.ServerReported{Server: server.ID, SampledAt: s.now}
	}
	for attempt, task := range s.tasks {
		state.Records = append(state.Records, committer.Record{
			Kind: committer.Started, Task: attempt.Task, Attempt: attempt.Number, Epoch: 1, Server: task.server,
			Resources: task.use, At: s.now,
		})
		reports[task.server].Tasks = append(reports[task.server].Tasks,
			starter.TaskReport{Task: attempt.Task, Attempt: attempt.Number, Used: task.use})
	}
	body, err := json.Marshal(state)
	if err != nil {
		return err
	}
	startedAt := time.Now()
	var decoded committer.State
	if err := json.Unmarshal(body, &decoded); err != nil {
		return err
	}
	decode := time.Since(startedAt)

	startedAt = time.Now()
	successor := starter.New()
	until := s.now.Add(time.Hour)
	successor.Handle(s.now, starter.PlacementRightChanged{Epoch: 2, StartUntil: until, RenewUntil: until})
	successor.Handle(s.now, starter.ServersChanged{
		Servers: zoneServers(costServers, describer.Resources{MilliCores: 8_000, MemoryBytes: 32 * gigabyte}),
	})
	for _, job := range s.jobs {
		successor.Handle(s.now, starter.TasksAssigned{Job: job, Count: s.next/costJobs + 1})
	}
	for _, service := range s.services {
		successor.Handle(s.now, starter.TasksAssigned{Job: service, Count: service.Tasks})
	}
	successor.Handle(s.now, starter.RecordsRecovered(decoded))
	adopt := time.Since(startedAt)

	startedAt = time.Now()
	for _, report := range reports {
		successor.Handle(s.now.Add(time.Second), *report)
	}
	reconcile := time.Since(startedAt)
	met := "met"
	if decode+adopt+reconcile >= 5*time.Second {
		met = "missed"
	}
	table.add(seed, len(decoded.Records), decode, adopt, reconcile, decode+adopt+reconcile, met)
	return nil
}
