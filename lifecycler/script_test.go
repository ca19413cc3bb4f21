package lifecycler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/lifecycler"
	"egretring.example/egretring/specifier"
	"egretring.example/egretring/tester"
)

// script is a test case of testdata/scripts.hujson.
type script struct {
	Name        string
	Guards      string
	Tasks       int
	Steps       int
	Gang        bool
	Occurrences int
	MaxAttempts int
	Actions     []action
	WantState   int
	// WantWaiting are the waiting tasks of the ready steps as OCCURRENCE.STEP.INDEX.
	WantWaiting []string
}

// action is one change of the job. Kind is Due, Place, End, Unplace, Crash, Survive, Cancel or Restore.
type action struct {
	Kind       string
	Occurrence int
	Step       int
	Index      int
	Run        int
	Reason     specifier.EndReason
	Caused     bool
	Excused    bool
	Outage     bool
	Alone      bool
	// Now is in seconds after the job's acceptance.
	Now float64
}

var acceptedAt = time.Unix(1_700_000_000, 0)

func (s script) spec() specifier.Job {
	job := specifier.Job{
		ID: "job", Queue: specifier.Queue{MaxAttempts: s.MaxAttempts}, AcceptedAt: acceptedAt, Occurrences: s.Occurrences,
		First: acceptedAt, Interval: time.Second,
	}
	for i := range max(s.Steps, 1) {
		step := specifier.Step{Count: s.Tasks, Gang: s.Gang, Estimate: time.Second}
		if i > 0 {
			step.After = []int{i - 1}
		}
		job.Steps = append(job.Steps, step)
	}
	return job
}

func apply(t *testing.T, job *lifecycler.Job, a action) *lifecycler.Job {
	now := acceptedAt.Add(time.Duration(a.Now * float64(time.Second)))
	id := specifier.StepID{Job: "job", Occurrence: a.Occurrence, Step: a.Step}
	switch a.Kind {
	case "Due":
		job.BeginDue(now)
	case "Place":
		step, ok := job.Step(id)
		require.True(t, ok)
		job.Place(step, a.Index, lifecycler.Placement{Run: a.Run, Server: specifier.Server{ID: "i-1", Incarnation: 1}})
	case "End":
		job.End(now, specifier.EndedTask{Number: 1, Task: id.Task(a.Index), Run: a.Run, Reason: a.Reason})
	case "Unplace":
		job.Unplace(id.Task(a.Index), a.Run)
	case "Crash":
		job.Unplace(id.Task(a.Index), a.Run)
		job.Crashed(now, id.Task(a.Index), lifecycler.Crash{Run: a.Run, Caused: a.Caused, Excused: a.Excused, Outage: a.Outage, Alone: a.Alone})
	case "Survive":
		job.Survived(id.Task(a.Index), a.Run)
	case "Cancel":
		job.Cancel(now)
	case "Restore":
		value, err := job.Record().Encode()
		require.NoError(t, err)
		record, err := lifecycler.DecodeRecord(value)
		require.NoError(t, err)
		restored, err := lifecycler.Restore(job.Spec, record)
		require.NoError(t, err)
		return restored
	default:
		t.Fatalf("action %q is unknown", a.Kind)
	}
	return job
}

// TestScripts guards against the failure that the Guards field of each case names.
func TestScripts(t *testing.T) {
	for _, s := range tester.ReadCases[script](t, "scripts.hujson") {
		t.Run(s.Name, func(t *testing.T) {
			job := lifecycler.New(s.spec())
			for _, a := range s.Actions {
				job = apply(t, job, a)
			}
			require.Equal(t, specifier.JobState(s.WantState), job.State(), s.Guards)
			var waiting []string
			for _, step := range job.ReadySteps() {
				for _, index := range step.WaitingTasks() {
					waiting = append(waiting, step.ID.Task(index).String()[len("job."):])
				}
			}
			require.Equal(t, s.WantWaiting, waiting, s.Guards)
		})
	}
}
