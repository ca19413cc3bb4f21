package measurer

import (
	"fmt"
	"time"

	"egretring.example/egretring/committer"
	"egretring.example/egretring/describer"
	"egretring.example/egretring/planner"
	"egretring.example/egretring/starter"
)

const (
	// placementTick is the time between two batches of starts. It equals the shortest time between two passes of the
	// placer.
	placementTick          = 10 * time.Millisecond
	placementRightDuration = 24 * time.Hour
	// startsPerTick is the rate of one of nine zones that together make 1,200 starts a second, rounded up.
	startsPerTick    = 2
	measuredTicks    = 2_000
	placementJobs    = 100
	activeJobsToday  = 30
	activeJobsLater  = 10_000
	planningJobTasks = 10
)

func placementSweeps(uint64) []sweep {
	servers := []int{48, 305, 611, 1_222, 2_444}
	jobs := []int{500, 1_000, 2_000, 4_000, 10_000}
	return []sweep{
		{
			"µs a start with the end that makes room (starter and placer)", "backend servers, 20 running tasks each",
			servers, serversInZoneToday, serversInZoneLater, startTime,
		},
		{
			"bytes of starter and placer", "backend servers without tasks", servers, serversInZoneToday, serversInZoneLater,
			func(size int) float64 { return heapBytes(func() any { return newPlacementZone(size, 0) }) },
		},
		{
			"bytes of starter and placer", "running tasks, 20 on each backend server",
			[]int{960, 6_100, 12_220, 24_440, 48_880},
			tasksInZoneToday, tasksInZoneLater,
			func(size int) float64 {
				return heapBytes(func() any { return newPlacementZone(size/tasksPerServer, size).starter })
			},
		},
		{
			"µs a usage report in starter and placer", "tasks of the backend server, 305 backend servers",
			[]int{5, 10, 15, 20},
			tasksPerServer, tasksPerServer, usageHandlingTime,
		},
		{
			"µs a pass of the planner with one ended and one new job", "jobs with unfinished tasks", jobs,
			activeJobsToday, activeJobsLater, planningTime,
		},
		{
			"bytes of the planner", "jobs with unfinished tasks", jobs, activeJobsToday, activeJobsLater,
			func(size int) float64 { return heapBytes(func() any { return newPlannerWith(size) }) },
		},
	}
}

// placementZone drives a starter and reports its commands as executed immediately.
type placementZone struct {
	now     time.Time
	starter *starter.Starter
	next    int
	running []starter.StartTask
	starts  int
}

func newPlacementZone(servers, tasks int) *placementZone {
	z := &placementZone{now: epochStart, starter: starter.New()}
	until := z.now.Add(placementRightDuration)
	z.handle(starter.PlacementRightChanged{Epoch: 1, StartUntil: until, RenewUntil: until})
	z.handle(starter.ServersChanged{Servers: capacityServers(servers)})
	z.handle(starter.RecordsRecovered{})
	for range tasks {
		z.assign()
	}
	for len(z.running) < tasks {
		before := len(z.running)
		z.tick()
		if len(z.running) == before && z.now.Sub(epochStart) > time.Minute {
			break
		}
	}
	return z
}

// assign assigns one task. The tasks are spread over the jobs in turn, so that each job has the same number of them.
func (z *placementZone) assign() {
	job := describer.Job{
		ID: describer.JobID(fmt.Sprintf("batch-%03d", z.next%placementJobs)), Policy: describer.BatchJob,
		Class: describer.Standard, PerTask: describer.Resources{MilliCores: 330, MemoryBytes: 5 * gigabyte / 4},
	}
	z.handle(starter.TasksAssigned{Job: job, First: z.next / placementJobs, Count: 1})
	z.next++
}

func (z *placementZone) tick() {
	z.now = z.now.Add(placementTick)
	z.handle(starter.Ticked{})
}

func (z *placementZone) handle(event starter.Event) {
	for _, command := range z.starter.Handle(z.now, event) {
		switch c := command.(type) {
		case starter.CommitRecord:
			z.handle(starter.RecordsCommitted{Records: []committer.Record{c.Record}})
		case starter.StartTask:
			z.starts++
			z.running = append(z.running, c)
			z.handle(starter.StartResponded{
				Server: c.Server, Task: c.Attempt.Task, Attempt: c.Attempt.Number, Result: starter.Accepted,
			})
		case starter.RenewLeases:
			z.handle(starter.RenewResponded{Server: c.Server, Epoch: c.Epoch})
		}
	}
}

func (z *placementZone) endOldest() {
	ended := z.running[0]
	z.running = z.running[1:]
	z.handle(starter.AttemptEnded{
		Server: ended.Server, Task: ended.Attempt.Task, Attempt: ended.Attempt.Number, Outcome: committer.Succeeded,
	})
}

// startTime returns the microseconds for each start. They include the lease renewals that fall due and the work of the
// ticks.
func startTime(servers int) float64 {
	z := newPlacementZone(servers, servers*tasksPerServer)
	z.starts = 0
	whole := microsecondsEach(measuredTicks, func(int) {
		for range startsPerTick {
			z.endOldest()
			z.assign()
		}
		z.tick()
	})
	return whole * measuredTicks / float64(max(1, z.starts))
}

func usageHandlingTime(tasks int) float64 {
	z := newPlacementZone(305, 305*tasks)
	use := typicalUsage(describer.Resources{MilliCores: 330, MemoryBytes: 5 * gigabyte / 4})
	index := make(map[describer.BackendServerID]int)
	var reports []starter.ServerReported
	for i, server := range capacityServers(305) {
		index[server.ID] = i
		reports = append(reports, starter.ServerReported{Server: server.ID})
	}
	for _, running := range z.running {
		report := &reports[index[running.Server]]
		report.Tasks = append(report.Tasks,
			starter.TaskReport{Task: running.Attempt.Task, Attempt: running.Attempt.Number, Used: use})
	}
	return microsecondsEach(20*len(reports), func(i int) {
		z.now = z.now.Add(time.Millisecond)
		report := reports[i%len(reports)]
		report.SampledAt = z.now
		z.handle(report)
	})
}

func newPlannerWith(jobs int) *planner.Planner {
	p := planner.New()
	var zones []planner.Zone
	for i := range capacityZones {
		zones = append(zones, planner.Zone{
			ID: describer.AvailabilityZoneID(fmt.Sprintf("zone-%d", i)),
			ServerGroups: []planner.ServerGroup{{
				Capacity: describer.Resources{MilliCores: 64_000, MemoryBytes: 256 * gigabyte}, Count: serversInZoneLater,
			}},
		})
	}
	p.Handle(epochStart, planner.ZonesChanged{Zones: zones})
	var quotas []describer.Quota
	for i := range 360 {
		quotas = append(quotas, describer.Quota{
			Team:      describer.TeamID(fmt.Sprintf("team-%03d", i)),
			Limit:     describer.Resources{MilliCores: 2_000_000, MemoryBytes: 8_000 * gigabyte, Accelerators: 50},
			MayBorrow: true,
		})
	}
	p.Handle(epochStart, planner.QuotasChanged{Quotas: quotas})
	for i := range jobs {
		p.Handle(epochStart, planner.JobSubmitted{Job: plannedJob(i)})
	}
	p.Handle(epochStart.Add(time.Second), planner.Ticked{})
	return p
}

func plannedJob(number int) describer.Job {
	return describer.Job{
		ID: describer.JobID(fmt.Sprintf("job-%06d", number)), Team: describer.TeamID(fmt.Sprintf("team-%03d", number%360)),
		Policy: describer.BatchJob, Class: describer.Standard, Tasks: planningJobTasks,
		PerTask: describer.Resources{MilliCores: 1_000, MemoryBytes: gigabyte},
	}
}

func planningTime(jobs int) float64 {
	p := newPlannerWith(jobs)
	now := epochStart.Add(2 * time.Second)
	return microsecondsEach(400, func(i int) {
		now = now.Add(100 * time.Millisecond)
		p.Handle(now, planner.JobWithdrawn{Job: plannedJob(i).ID})
		p.Handle(now, planner.JobSubmitted{Job: plannedJob(jobs + i)})
		p.Handle(now, planner.Ticked{})
	})
}
