package measurer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"egretring.example/egretring/describer"
)

// tracedTask is a task of a trace with its real resource usage and run time.
type tracedTask struct {
	id      describer.TaskID
	use     describer.Resources
	runTime time.Duration
	// remaining is the remaining run time after the last checkpoint.
	remaining time.Duration
}

// trace is a list of jobs whose declared sizes and run times are wrong.
type trace struct {
	jobs  []describer.Job
	tasks map[describer.TaskID]*tracedTask
}

// logNormal returns a value of a log-normal distribution.
func logNormal(random *rand.Rand, median, sigma float64) float64 {
	return median * math.Exp(sigma*random.NormFloat64())
}

// newTrace generates batch jobs. Declared sizes are off by a factor of 0.5 to 4 for each job, more often too large;
// the real sizes of the tasks of a job vary by 15%; one task in fifty runs five times as long as the others.
func newTrace(random *rand.Rand, jobs int) trace {
	generated := trace{tasks: make(map[describer.TaskID]*tracedTask)}
	for i := range jobs {
		cores := min(max(logNormal(random, 2, 0.8), 0.25), 24)
		memory := min(max(cores*logNormal(random, 3, 0.7), 0.5), 96)
		wrong := min(max(logNormal(random, 1.5, 0.6), 0.5), 4)
		runTime := min(max(logNormal(random, 60, 0.5), 10), 600)
		job := describer.Job{
			ID: describer.JobID(fmt.Sprintf("job-%04d", i)), Policy: describer.BatchJob,
			Class: describer.Class(1 + random.IntN(2)), Tasks: 20 + random.IntN(120),
			PerTask: describer.Resources{
				MilliCores:  int64(min(cores*wrong, 64) * 1000),
				MemoryBytes: int64(min(memory*wrong, 256) * gigabyte),
			},
			ExpectedSeconds: int64(runTime * (0.5 + random.Float64())),
		}
		generated.jobs = append(generated.jobs, job)
		for index := range job.Tasks {
			vary := 1 + 0.15*(2*random.Float64()-1)
			length := runTime * (0.7 + 0.6*random.Float64())
			if random.IntN(50) == 0 {
				length *= 5
			}
			id := describer.TaskID{Job: job.ID, Index: index}
			duration := time.Duration(length * float64(time.Second))
			generated.tasks[id] = &tracedTask{id: id, runTime: duration, remaining: duration, use: describer.Resources{
				MilliCores: int64(cores * vary * 1000), MemoryBytes: int64(memory * vary * gigabyte),
			}}
		}
	}
	return generated
}

// volume returns the work of the trace in resources times seconds.
func (t trace) volume() (coreSeconds, byteSeconds float64) {
	for _, task := range t.tasks {
		coreSeconds += float64(task.use.MilliCores) / 1000 * task.runTime.Seconds()
		byteSeconds += float64(task.use.MemoryBytes) * task.runTime.Seconds()
	}
	return coreSeconds, byteSeconds
}

// bound returns a lower bound of the time in which the servers can do a share of the work.
func (t trace) bound(servers int, capacity describer.Resources, part float64) time.Duration {
	cores, bytes := t.volume()
	seconds := max(
		cores/(float64(servers)*float64(capacity.MilliCores)/1000),
		bytes/(float64(servers)*float64(capacity.MemoryBytes)),
	)
	return time.Duration(part * seconds * float64(time.Second))
}
