package demonstrator

import (
	"context"
	"time"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/ticketer"
	"egretring.example/egretring/timekeeper"
)

const (
	demoTeam describer.TeamID = "demo"
	// taskStartTimeout bounds the wait for the first starts, and taskSettleTimeout the wait after the load until all
	// tasks run again: a task on a lost backend server starts elsewhere only after its lease of 30 s has expired.
	taskStartTimeout  = 20 * time.Second
	taskSettleTimeout = 20 * time.Second
	// taskPollInterval is the time between two counts of the running tasks.
	taskPollInterval = 250 * time.Millisecond
	// demoQuotaPercent is the team's quota in percent of the resources that its jobs declare.
	demoQuotaPercent = 120
)

// demoTaskSize is the size of each task: a sixteenth of a backend server's processors.
var demoTaskSize = describer.Resources{MilliCores: 4000, MemoryBytes: 4 * gigabyte}

// demoJobs returns a service, a batch and a gang job that together fill a quarter of the cell.
func demoJobs(topology Topology) []describer.Job {
	servers := 0
	for _, zone := range topology.Zones {
		servers += zone.BackendServers
	}
	job := func(id describer.JobID, class describer.Class, policy describer.JobPolicy, tasks int) describer.Job {
		return describer.Job{
			ID: id, Team: demoTeam, Class: class, Policy: policy, Tasks: tasks, PerTask: demoTaskSize,
		}
	}
	return []describer.Job{
		job("front", describer.Urgent, describer.ServiceJob, servers),
		job("nightly", describer.Deferrable, describer.BatchJob, 2*servers),
		job("training", describer.Standard, describer.GangJob, servers),
	}
}

// taskTicket returns the ticket that adds the jobs and the quota of their team.
func taskTicket(jobs []describer.Job) ticketer.Ticket {
	ticket := ticketer.Ticket{ID: "demo-2", Jobs: make(map[describer.JobID]*describer.Job)}
	var declared describer.Resources
	for _, job := range jobs {
		ticket.Jobs[job.ID] = &job
		for range job.Tasks {
			declared = declared.Plus(job.PerTask)
		}
	}
	ticket.Quotas = map[describer.TeamID]*describer.Quota{demoTeam: {
		Team: demoTeam, Limit: describer.Resources{
			MilliCores:  declared.MilliCores * demoQuotaPercent / 100,
			MemoryBytes: declared.MemoryBytes * demoQuotaPercent / 100,
		},
	}}
	return ticket
}

// taskTally holds the counts of the jobs' tasks on the backend servers; the fields of Result named Tasks and Packing
// explain them.
type taskTally struct {
	wanted, running, lowest int

	started int64
	packing Packing
}

// taskCount holds what the backend servers report at one time.
type taskCount struct {
	running int
	// servers is the number of backend servers that run at least one task.
	servers int
}

func (c *Cell) countTasks() taskCount {
	var count taskCount
	for _, backend := range c.backends {
		report, err := backend.Usage(context.Background())
		if err != nil {
			continue
		}
		before := count.running
		for _, task := range report.Tasks {
			if task.State.IsActive() {
				count.running++
			}
		}
		if count.running > before {
			count.servers++
		}
	}
	return count
}

// startTasks applies the ticket with the jobs and waits until all tasks run or taskStartTimeout has passed.
func (d *demo) startTasks(ctx context.Context) error {
	jobs := demoJobs(d.cell.topology)
	for _, job := range jobs {
		d.tasks.wanted += job.Tasks
	}
	if err := d.cell.Apply(ctx, taskTicket(jobs)); err != nil {
		return err
	}
	d.awaitTasks(ctx, taskStartTimeout)
	d.tasks.lowest = d.cell.countTasks().running
	return nil
}

// awaitTasks waits until all tasks run or the limit has passed.
func (d *demo) awaitTasks(ctx context.Context, limit time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	_ = waitFor(ctx, func() bool { return d.cell.countTasks().running >= d.tasks.wanted })
}

// watchTasks records the lowest number of running tasks until the context ends.
func (d *demo) watchTasks(ctx context.Context) {
	for timekeeper.Sleep(ctx, taskPollInterval) {
		d.tasks.lowest = min(d.tasks.lowest, d.cell.countTasks().running)
	}
}

// countAtEnd waits until all tasks run again or taskSettleTimeout has passed, and counts them.
func (d *demo) countAtEnd(ctx context.Context) {
	d.awaitTasks(ctx, taskSettleTimeout)
	count := d.cell.countTasks()
	d.tasks.running, d.tasks.packing.ServersUsed = count.running, count.servers
	for _, backend := range d.cell.backends {
		d.tasks.started += backend.Counters().TasksStarted
	}
	d.tasks.packing.ServersBound = serversBound(d.tasks.wanted, d.cell.topology.Capacity)
}

// serversBound returns a lower bound of the number of backend servers that can hold the tasks: the sum of the tasks'
// resources divided by the capacity of a server, for the scarcer of processors and memory.
func serversBound(tasks int, capacity describer.Resources) int {
	bound := func(each, whole int64) int { return int((each*int64(tasks) + whole - 1) / whole) }
	return max(
		bound(demoTaskSize.MilliCores, capacity.MilliCores), bound(demoTaskSize.MemoryBytes, capacity.MemoryBytes),
	)
}
