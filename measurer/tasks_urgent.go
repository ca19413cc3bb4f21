package measurer

import (
	"fmt"
	"time"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/starter"
)

const (
	// urgentServers is a ninth of the backend servers of the two-year size.
	urgentServers  = 1222
	urgentInterval = 200 * time.Millisecond
	urgentWarmUp   = 60 * time.Second
	urgentRun      = 120 * time.Second
	urgentTarget   = 2300 * time.Millisecond
)

// urgentWorld keeps a cell full of preemptible work and submits urgent jobs.
type urgentWorld struct {
	*cellRun
	jobs        []describer.Job
	next        int
	waiting     int
	submittedAt map[describer.TaskID]time.Time
	sizes       map[describer.JobID]describer.Resources
	latencies   []time.Duration
	starts      int
}

func newUrgentWorld(seed uint64) (*urgentWorld, error) {
	run, err := newCellRun(seed, zoneServers(urgentServers, describer.Resources{MilliCores: 8_000, MemoryBytes: 32 * gigabyte}))
	if err != nil {
		return nil, err
	}
	w := &urgentWorld{cellRun: run, submittedAt: make(map[describer.TaskID]time.Time), sizes: make(map[describer.JobID]describer.Resources)}
	w.runTime = w.durationOf
	w.onStart = w.noteStart
	w.useOf = func(id describer.TaskID) describer.Resources { return usual(w.sizes[id.Job]) }
	for i := range 20 {
		class := describer.Standard
		if i%10 < 3 {
			class = describer.Deferrable
		}
		w.jobs = append(w.jobs, describer.Job{
			ID: describer.JobID(fmt.Sprintf("fill-%02d", i)), Policy: describer.BatchJob, Class: class,
			PerTask: describer.Resources{MilliCores: 1000, MemoryBytes: 3 * gigabyte}, ExpectedSeconds: 73,
		})
	}
	for _, job := range w.jobs {
		w.sizes[job.ID] = job.PerTask
	}
	return w, nil
}

// durationOf gives 20 s to urgent tasks; the others take 73 s on average, which makes 133 starts a second.
func (w *urgentWorld) durationOf(id describer.TaskID) time.Duration {
	if _, urgent := w.submittedAt[id]; urgent {
		return 20 * time.Second
	}
	return time.Duration((1 + 144*w.random.Float64()) * float64(time.Second))
}

func (w *urgentWorld) noteStart(id describer.TaskID) {
	at, urgent := w.submittedAt[id]
	if urgent {
		if w.now.Sub(epochStart) > urgentWarmUp {
			w.latencies = append(w.latencies, w.now.Sub(at))
		}
		return
	}
	w.starts++
	w.waiting--
	w.fill()
}

// fill keeps 2,000 tasks waiting.
func (w *urgentWorld) fill() {
	for w.waiting < 2000 {
		job := w.jobs[w.next%len(w.jobs)]
		w.next++
		w.waiting += 50
		w.handle(starter.TasksAssigned{Job: job, First: w.next * 50, Count: 50})
	}
}

func (w *urgentWorld) submitUrgent(number int) {
	job := describer.Job{
		ID: describer.JobID(fmt.Sprintf("urgent-%d", number)), Policy: describer.BatchJob, Class: describer.Urgent,
		Tasks: 1 + w.random.IntN(4), ExpectedSeconds: 20,
		PerTask: describer.Resources{MilliCores: int64(1000 * (1 + w.random.IntN(2))), MemoryBytes: 3 * gigabyte},
	}
	w.sizes[job.ID] = job.PerTask
	for index := range job.Tasks {
		w.submittedAt[describer.TaskID{Job: job.ID, Index: index}] = w.now
	}
	w.handle(starter.TasksAssigned{Job: job, Count: job.Tasks})
}

// MeasureUrgent measures the time from the submission of an urgent task to its start in a full cell.
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
		w, err := newUrgentWorld(seed)
		if err != nil {
			table.add(seed, err)
			continue
		}
		w.fill()
		number := 0
		end := epochStart.Add(urgentWarmUp + urgentRun)
		w.after(urgentWarmUp, func() {
			w.every(urgentInterval, func() bool {
				number++
				w.submitUrgent(number)
				return w.now.Add(urgentInterval).Before(end)
			})
		})
		w.runUntil(end.Add(20*time.Second), func() bool { return false })
		met := "met"
		if quantile(w.latencies, 0.99) >= urgentTarget || len(w.latencies) < len(w.submittedAt) {
			met = "missed"
		}
		table.add(seed, len(w.submittedAt), len(w.latencies), quantile(w.latencies, 0.5), quantile(w.latencies, 0.99),
			quantile(w.latencies, 1), float64(w.starts)/w.now.Sub(epochStart).Seconds(), met)
	}
	return table
}
