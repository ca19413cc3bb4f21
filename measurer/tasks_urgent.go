package measurer

import (
	"fmt"
	"time"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/starter"
)

const (
	// urgentServers is a ninth of the backend servers at the size expected in two years, which is one zone.
	urgentServers  = 1222
	urgentInterval = 200 * time.Millisecond
	urgentWarmUp   = 60 * time.Second
	urgentRun      = 120 * time.Second
	urgentTarget   = 2300 * time.Millisecond
)

// urgentSimulation keeps a cell full of preemptible tasks and submits Urgent jobs.
type urgentSimulation struct {
	*cellSimulation
	jobs []describer.Job
	next int
	// waiting is the number of batch tasks that are assigned and not started yet.
	waiting int
	// submittedAt holds the Urgent tasks only.
	submittedAt map[describer.TaskID]time.Time
	sizes       map[describer.JobID]describer.Resources
	// latencies are the times from submission to start of the Urgent tasks.
	latencies []time.Duration
	// starts is the number of started batch tasks.
	starts int
}

func newUrgentSimulation(seed uint64) (*urgentSimulation, error) {
	run, err := newCellSimulation(seed, zoneServers(urgentServers, describer.Resources{MilliCores: 8_000, MemoryBytes: 32 * gigabyte}))
	if err != nil {
		return nil, err
	}
	s := &urgentSimulation{cellSimulation: run, submittedAt: make(map[describer.TaskID]time.Time), sizes: make(map[describer.JobID]describer.Resources)}
	s.runTime = s.durationOf
	s.onStart = s.recordStart
	s.actualUsage = func(id describer.TaskID) describer.Resources { return typicalUsage(s.sizes[id.Job]) }
	for i := range 20 {
		class := describer.Standard
		if i%10 < 3 {
			class = describer.Deferrable
		}
		s.jobs = append(s.jobs, describer.Job{
			ID: describer.JobID(fmt.Sprintf("fill-%02d", i)), Policy: describer.BatchJob, Class: class,
			PerTask: describer.Resources{MilliCores: 1000, MemoryBytes: 3 * gigabyte}, ExpectedSeconds: 73,
		})
	}
	for _, job := range s.jobs {
		s.sizes[job.ID] = job.PerTask
	}
	return s, nil
}

// durationOf returns 20 s for Urgent tasks and 73 s on average for the others, which makes 133 starts a second.
func (s *urgentSimulation) durationOf(id describer.TaskID) time.Duration {
	if _, urgent := s.submittedAt[id]; urgent {
		return 20 * time.Second
	}
	return time.Duration((1 + 144*s.random.Float64()) * float64(time.Second))
}

// recordStart records the latency of an Urgent task, or replaces a waiting task that was started.
func (s *urgentSimulation) recordStart(id describer.TaskID) {
	at, urgent := s.submittedAt[id]
	if urgent {
		if s.now.Sub(epochStart) > urgentWarmUp {
			s.latencies = append(s.latencies, s.now.Sub(at))
		}
		return
	}
	s.starts++
	s.waiting--
	s.fill()
}

// fill assigns batch tasks until at least 2,000 are waiting.
func (s *urgentSimulation) fill() {
	for s.waiting < 2000 {
		job := s.jobs[s.next%len(s.jobs)]
		s.next++
		s.waiting += 50
		s.handle(starter.TasksAssigned{Job: job, First: s.next * 50, Count: 50})
	}
}

func (s *urgentSimulation) submitUrgent(number int) {
	job := describer.Job{
		ID: describer.JobID(fmt.Sprintf("urgent-%d", number)), Policy: describer.BatchJob, Class: describer.Urgent,
		Tasks: 1 + s.random.IntN(4), ExpectedSeconds: 20,
		PerTask: describer.Resources{MilliCores: int64(1000 * (1 + s.random.IntN(2))), MemoryBytes: 3 * gigabyte},
	}
	s.sizes[job.ID] = job.PerTask
	for index := range job.Tasks {
		s.submittedAt[describer.TaskID{Job: job.ID, Index: index}] = s.now
	}
	s.handle(starter.TasksAssigned{Job: job, Count: job.Tasks})
}

// MeasureUrgent measures the time from the submission of an Urgent task to its accepted start in a full cell.
func MeasureUrgent(seeds []uint64) Table {
	table := Table{
		Title: "Urgent start with the cell full",
		Notes: []string{
			"A zone of 1,222 backend servers with 8 slots, full of standard (70%) and deferrable (30%) batch tasks with 2,000 " +
				"more waiting; an urgent job of 1 to 4 tasks of 1 or 2 cores every 200 ms for 120 s. Checkpoints take 0.3 s in the " +
				"median (log-normal, sigma 0.6) and are cut off after 1.2 s; the store takes 5 to 20 ms, one call in a hundred " +
				"300 ms; calls to backend servers 2 to 10 ms. Virtual time from submission to the accepted start. Target: p99 " +
				"below 2.3 s.",
		},
		Columns: []string{"seed", "urgent tasks", "started", "p50", "p99", "max", "other starts/s", "target"},
	}
	for _, seed := range seeds {
		s, err := newUrgentSimulation(seed)
		if err != nil {
			table.add(seed, err)
			continue
		}
		s.fill()
		number := 0
		end := epochStart.Add(urgentWarmUp + urgentRun)
		s.after(urgentWarmUp, func() {
			s.every(urgentInterval, func() bool {
				number++
				s.submitUrgent(number)
				return s.now.Add(urgentInterval).Before(end)
			})
		})
		s.runUntil(end.Add(20*time.Second), func() bool { return false })
		met := "met"
		if quantile(s.latencies, 0.99) >= urgentTarget || len(s.latencies) < len(s.submittedAt) {
			met = "missed"
		}
		table.add(seed, len(s.submittedAt), len(s.latencies), quantile(s.latencies, 0.5), quantile(s.latencies, 0.99),
			quantile(s.latencies, 1), float64(s.starts)/s.now.Sub(epochStart).Seconds(), met)
	}
	return table
}
