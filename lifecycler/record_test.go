package lifecycler_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/keeper"
	"egretring.example/egretring/lifecycler"
	"egretring.example/egretring/specifier"
)

// maxTasks is the largest number of tasks of a job that callers may submit.
const maxTasks = 100_000

func serverNumbered(number int) specifier.Server {
	return specifier.Server{
		ID: specifier.ServerID(fmt.Sprintf("i-%010x", 1<<36+number)), Incarnation: 1_792_520_014_193 + int64(number),
		Address: fmt.Sprintf("10.3.%d.%d:8262", 100+number/200, 100+number%100),
	}
}

func encode(t *testing.T, job *lifecycler.Job) []byte {
	t.Helper()
	value, err := job.Record().Encode()
	require.NoError(t, err)
	return value
}

func restore(t *testing.T, spec specifier.Job, value []byte) *lifecycler.Job {
	t.Helper()
	record, err := lifecycler.DecodeRecord(value)
	require.NoError(t, err)
	restored, err := lifecycler.Restore(spec, record)
	require.NoError(t, err)
	return restored
}

// TestRecordOfLargestJobFitsStore guards against a job that is accepted, and whose record can never be written because it is
// larger than a value of the store: with many tasks in one step, in many steps, with checkpoints and crashes, and at the same time
// on many servers.
func TestRecordOfLargestJobFitsStore(t *testing.T) {
	const seed = 20261206
	t.Log("seed", seed)
	for _, c := range []struct {
		name           string
		steps, servers int
		step           specifier.Step
	}{
		{"one step", 1, 48, specifier.Step{Count: maxTasks}},
		{"checkpoints", 1, 48, specifier.Step{Count: maxTasks, Checkpointing: true}},
		{"gang", 1, 48, specifier.Step{Count: maxTasks, Gang: true, Checkpointing: true}},
		{"many steps", 20_000, 48, specifier.Step{Count: 5}},
		{"many servers", 1, 1_100, specifier.Step{Count: maxTasks}},
	} {
		t.Run(c.name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 0))
			spec := specifier.Job{ID: "job", Queue: specifier.Queue{MaxAttempts: 4}}
			for range c.steps {
				spec.Steps = append(spec.Steps, c.step)
			}
			job := lifecycler.New(spec)
			job.BeginDue(acceptedAt)
			for _, step := range job.ReadySteps() {
				for index := range step.Tasks {
					server := serverNumbered(random.IntN(c.servers))
					run := 1
					if !c.step.Gang {
						run += random.IntN(3)
					}
					job.Place(step, index, lifecycler.Placement{Run: run, Server: server, LongLease: index%3 == 0})
					id := step.ID.Task(index)
					if c.step.Checkpointing {
						job.SetCheckpoint(id, fmt.Sprintf("%016x", random.Uint64()))
					}
					switch n := random.IntN(10); {
					case c.step.Gang:
					case n < 3:
						job.End(acceptedAt, specifier.EndedTask{Task: id, Run: run, Reason: specifier.RunDone})
					case n == 3:
						job.Unplace(id, run)
						job.Crashed(acceptedAt, id, lifecycler.Crash{Run: run, Address: "10.3.64.15:8262", Incarnation: 1_792_520_014_193})
					case n == 4:
						job.End(acceptedAt, specifier.EndedTask{Task: id, Run: run, Reason: specifier.RunFailed})
					}
				}
			}
			value := encode(t, job)
			require.LessOrEqual(t, len(value), keeper.MaxValueBytes)
			restored := restore(t, spec, value)
			require.Equal(t, value, encode(t, restored), "the restored job has the same record")
			require.Equal(t, job.State(), restored.State())
		})
	}
}

// TestRecordOfLongScheduleFitsStore guards against a record that grows with each finished occurrence of a schedule.
func TestRecordOfLongScheduleFitsStore(t *testing.T) {
	const occurrences = 50_000
	spec := specifier.Job{
		ID: "job", Occurrences: occurrences, First: acceptedAt, Interval: time.Second,
		Steps: []specifier.Step{{Count: 1}, {Count: 1, After: []int{0}}},
	}
	job := lifecycler.New(spec)
	for occurrence := range occurrences - 1 {
		job.BeginDue(acceptedAt.Add(time.Duration(occurrence) * time.Second))
		for step := range spec.Steps {
			id := specifier.StepID{Job: "job", Occurrence: occurrence, Step: step}
			begun, ok := job.Step(id)
			require.True(t, ok)
			job.Place(begun, 0, lifecycler.Placement{Run: 1, Server: serverNumbered(1)})
			job.End(acceptedAt, specifier.EndedTask{Task: id.Task(0), Run: 1, Reason: specifier.RunDone})
		}
	}
	value := encode(t, job)
	require.LessOrEqual(t, len(value), keeper.MaxValueBytes)
	restored := restore(t, spec, value)
	due, ok := restored.NextDue()
	require.True(t, ok)
	require.Equal(t, spec.DueAt(occurrences-1), due)
	restored.BeginDue(due)
	require.Len(t, restored.ReadySteps(), 1)
}

// TestRecordsRestoreTheSameJob guards against progress that a record loses, on either side of the size from which it is compact.
func TestRecordsRestoreTheSameJob(t *testing.T) {
	const seed = 20261206
	t.Log("seed", seed)
	random := rand.New(rand.NewPCG(seed, 1))
	for _, tasks := range []int{1, 300, 400, 3000} {
		spec := specifier.Job{
			ID: "job", Queue: specifier.Queue{MaxAttempts: 9}, Occurrences: 4, First: acceptedAt,
			Steps: []specifier.Step{{Count: tasks, Checkpointing: true}, {Count: 2, Gang: true, Checkpointing: true}, {Count: 1, After: []int{0}}},
		}
		job := lifecycler.New(spec)
		job.BeginDue(acceptedAt)
		finishOccurrence(job, spec, 0)
		for range 4 * tasks {
			id := specifier.StepID{Job: "job", Occurrence: 1 + random.IntN(3), Step: random.IntN(2)}
			step, ok := job.Step(id)
			require.True(t, ok)
			index := random.IntN(len(step.Tasks))
			if !slices.Contains(step.WaitingTasks(), index) {
				continue
			}
			run := step.NextRun(index)
			job.Place(step, index, lifecycler.Placement{Run: run, Server: serverNumbered(random.IntN(5)), LongLease: random.IntN(3) == 0})
			if step.Spec.Gang {
				job.Place(step, 1-index, lifecycler.Placement{Run: run, Server: serverNumbered(random.IntN(5)), LongLease: random.IntN(3) == 0})
			}
			job.SetCheckpoint(id.Task(index), fmt.Sprint(random.IntN(3)))
			switch random.IntN(5) {
			case 0:
				job.Unplace(id.Task(index), run)
			case 1:
				job.End(acceptedAt, specifier.EndedTask{Task: id.Task(index), Run: run, Reason: specifier.RunFailed})
			case 2:
				job.End(acceptedAt, specifier.EndedTask{Task: id.Task(index), Run: run, Reason: specifier.RunStopped})
				if random.IntN(200) == 0 {
					job.Crashed(acceptedAt, id.Task(index), lifecycler.Crash{Run: run, Caused: true})
				}
			case 3:
				if id.Step == 0 {
					job.End(acceptedAt, specifier.EndedTask{Task: id.Task(index), Run: run, Reason: specifier.RunDone})
				}
			}
		}
		restored := restore(t, spec, encode(t, job))
		require.Equal(t, job.State(), restored.State())
		requireSameSteps(t, spec, job, restored)
	}
}

func finishOccurrence(job *lifecycler.Job, spec specifier.Job, occurrence int) {
	for i, step := range spec.Steps {
		for index := range step.Count {
			id := specifier.StepID{Job: spec.ID, Occurrence: occurrence, Step: i}
			job.End(acceptedAt, specifier.EndedTask{Task: id.Task(index), Reason: specifier.RunDone})
		}
	}
}

// requireSameSteps compares the tasks of two jobs, as far as a record of many tasks keeps them.
func requireSameSteps(t *testing.T, spec specifier.Job, want, got *lifecycler.Job) {
	t.Helper()
	listed := 0
	for occurrence := range spec.OccurrenceCount() {
		for i := range spec.Steps {
			id := specifier.StepID{Job: spec.ID, Occurrence: occurrence, Step: i}
			a, known := want.Step(id)
			b, restored := got.Step(id)
			require.Equal(t, known, restored, id)
			if !known {
				continue
			}
			require.Equal(t, a.Finished(), b.Finished(), id)
			for index := range a.Tasks {
				require.Equal(t, a.Tasks[index].State, b.Tasks[index].State, "%s task %d", id, index)
				if a.Tasks[index].State == lifecycler.Done {
					continue
				}
				require.Equal(t, a.NextRun(index), b.NextRun(index), "%s task %d", id, index)
				require.Equal(t, a.Tasks[index].FailedRuns, b.Tasks[index].FailedRuns, "%s task %d", id, index)
				require.Equal(t, a.Tasks[index].Crashes, b.Tasks[index].Crashes, "%s task %d", id, index)
				if a.Tasks[index].State == lifecycler.Placed {
					require.Equal(t, a.Tasks[index].Server, b.Tasks[index].Server)
					require.Equal(t, a.Tasks[index].Incarnation, b.Tasks[index].Incarnation)
					require.Equal(t, a.Tasks[index].Address, b.Tasks[index].Address)
				}
				if a.SharedCheckpoint(index) != "" {
					listed++
				}
				if listed < 100 {
					require.Equal(t, a.SharedCheckpoint(index), b.SharedCheckpoint(index), "%s task %d", id, index)
				}
			}
		}
	}
}

// FuzzRestoreRecord guards against a record in the store that ends the process: a version of the program that is not known, or
// another writer, may have written it.
func FuzzRestoreRecord(f *testing.F) {
	f.Add([]byte(`{"Steps":[{"Step":1,"Tasks":[{"State":1,"Run":1,"Server":"a"}]}]}`))
	f.Add([]byte(`{"Compact":{"Servers":[{"ID":"a"}],"Groups":[{"State":1,"Run":1,"Tasks":"0-1,3"},{"State":2,"Tasks":"2"}],"Details":[{"Task":3,"Checkpoint":"x"}]}}`))
	f.Add([]byte(`{"Compact":{"FirstOccurrence":-1,"Groups":[{"State":1,"Server":7,"Tasks":"-1-2"}]}}`))
	spec := specifier.Job{
		ID: "job", Occurrences: 2, First: acceptedAt, Steps: []specifier.Step{{Count: 3}, {Count: 2, Gang: true, Checkpointing: true, After: []int{0}}},
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		record, err := lifecycler.DecodeRecord(value)
		if err != nil {
			return
		}
		job, err := lifecycler.Restore(spec, record)
		if err != nil {
			return
		}
		job.BeginDue(acceptedAt)
		job.ReadySteps()
		job.Record()
	})
}

// TestRecordNamesRemainingRuns guards against a finished job whose runs that still exist are lost between owners.
func TestRecordNamesRemainingRuns(t *testing.T) {
	remaining := lifecycler.Remaining{Team: "a", Runs: []lifecycler.RemainingRuns{
		{Server: "i-1", Occurrence: 2, Step: 1, Run: 3, Need: specifier.Resources{MilliCores: 5}, Tasks: []int{0, 4}},
	}}
	value, err := lifecycler.Record{State: specifier.Cancelled, Remaining: &remaining}.Encode()
	require.NoError(t, err)
	require.Equal(t, &remaining, restore(t, specifier.Job{ID: "job"}, value).Remaining())
}
