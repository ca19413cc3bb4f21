package fakebackend_test

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/fakebackend"
	"egretring.example/egretring/forwarder"
	"egretring.example/egretring/generator"
)

var (
	taskA    = describer.TaskID{Job: "a", Index: 1}
	capacity = describer.Resources{MilliCores: 1000, MemoryBytes: 100, Accelerators: 1}
)

func startCall(attempt int, epoch describer.Epoch) forwarder.StartCall {
	return forwarder.StartCall{Task: taskA, Attempt: attempt, Epoch: epoch, Resources: capacity, LeaseSeconds: 3600}
}

func taskCall(attempt int, epoch describer.Epoch) forwarder.TaskCall {
	return forwarder.TaskCall{Task: taskA, Attempt: attempt, Epoch: epoch}
}

// taskStep is one call and the error that it must return.
type taskStep struct {
	name string
	call func(context.Context, forwarder.TaskServer) error
	err  error
}

func starts(attempt int, epoch describer.Epoch, err error) taskStep {
	return taskStep{"start", func(ctx context.Context, server forwarder.TaskServer) error {
		return server.Start(ctx, startCall(attempt, epoch))
	}, err}
}

func stops(attempt int, epoch describer.Epoch, err error) taskStep {
	return taskStep{"stop", func(ctx context.Context, server forwarder.TaskServer) error {
		return server.Stop(ctx, taskCall(attempt, epoch))
	}, err}
}

func throttles(attempt int, epoch describer.Epoch, err error) taskStep {
	return taskStep{"throttle", func(ctx context.Context, server forwarder.TaskServer) error {
		return server.Throttle(ctx, taskCall(attempt, epoch))
	}, err}
}

func checkpoints(attempt int, epoch describer.Epoch, err error) taskStep {
	return taskStep{"checkpoint", func(ctx context.Context, server forwarder.TaskServer) error {
		return server.Checkpoint(ctx, taskCall(attempt, epoch))
	}, err}
}

// contractCase is a sequence of calls and the state of the task after the last one.
type contractCase struct {
	name   string
	faults fakebackend.Faults
	steps  []taskStep
	state  forwarder.TaskState
}

var contractCases = []contractCase{
	{name: "start", steps: []taskStep{starts(1, 1, nil)}, state: forwarder.TaskRunning},
	{name: "start again", steps: []taskStep{starts(1, 1, nil), starts(1, 2, nil)}, state: forwarder.TaskRunning},
	{name: "start of an earlier attempt", steps: []taskStep{
		starts(2, 1, nil), starts(1, 1, forwarder.ErrUnknownTask),
	}, state: forwarder.TaskRunning},
	{name: "stale start", steps: []taskStep{
		starts(1, 2, nil), starts(2, 1, forwarder.ErrStaleEpoch),
	}, state: forwarder.TaskRunning},
	{name: "stale stop", steps: []taskStep{
		starts(1, 2, nil), stops(1, 1, forwarder.ErrStaleEpoch),
	}, state: forwarder.TaskRunning},
	{name: "stop", steps: []taskStep{
		starts(1, 1, nil), stops(1, 1, nil), stops(1, 1, forwarder.ErrUnknownTask),
	}, state: forwarder.TaskStopped},
	{name: "stop of another attempt", steps: []taskStep{
		starts(1, 1, nil), stops(2, 1, forwarder.ErrUnknownTask),
	}, state: forwarder.TaskRunning},
	{name: "stopped attempt does not start again", steps: []taskStep{
		starts(1, 1, nil), stops(1, 1, nil), starts(1, 1, nil),
	}, state: forwarder.TaskStopped},
	{name: "throttle", steps: []taskStep{
		starts(1, 1, nil), throttles(1, 1, nil), throttles(1, 1, nil),
	}, state: forwarder.TaskThrottled},
	{name: "checkpoint", steps: []taskStep{
		starts(1, 1, nil), checkpoints(1, 1, nil), checkpoints(2, 1, forwarder.ErrUnknownTask),
	}, state: forwarder.TaskRunning},
	{name: "fails fast", faults: fakebackend.Faults{Mode: fakebackend.FailsFast}, steps: []taskStep{
		starts(1, 1, nil), stops(1, 1, forwarder.ErrUnknownTask),
	}, state: forwarder.TaskFailed},
	{name: "leaving", faults: fakebackend.Faults{Mode: fakebackend.Leaving}, steps: []taskStep{
		starts(1, 1, forwarder.ErrNotStarted),
	}},
}

// TestTaskCallsAgreeInMemoryAndOverHTTP guards against task calls that behave differently in memory and over HTTP, so
// that a test of the task lifecycle in memory would not hold for the daemon.
func TestTaskCallsAgreeInMemoryAndOverHTTP(t *testing.T) {
	for _, c := range contractCases {
		for _, transport := range []string{"memory", "HTTP"} {
			t.Run(c.name+" "+transport, func(t *testing.T) {
				running := listen(t, fakebackend.WithCapacity(capacity), fakebackend.WithUsageLag(0))
				running.SetFaults(c.faults)
				var server forwarder.TaskServer = running.Server
				if transport == "HTTP" {
					server = forwarder.NewTaskClient(running.Address(), http.DefaultClient)
				}
				ctx := context.Background()
				for i, step := range c.steps {
					err := step.call(ctx, server)
					require.ErrorIs(t, err, step.err, "step %d, %s", i, step.name)
				}
				report, err := server.Usage(ctx)
				require.NoError(t, err)
				require.Equal(t, c.faults.Mode == fakebackend.Leaving, report.Leaving)
				requireTask(t, report, c.state)
			})
		}
	}
}

func requireTask(t *testing.T, report forwarder.UsageReport, state forwarder.TaskState) {
	t.Helper()
	if state == "" {
		require.Empty(t, report.Tasks)
		return
	}
	require.Len(t, report.Tasks, 1)
	require.Equal(t, taskA, report.Tasks[0].Task)
	require.Equal(t, state, report.Tasks[0].State)
	require.Equal(t, report.Tasks[0].Used, report.Used)
	if !state.IsActive() {
		require.Zero(t, report.Used)
	}
}

// TestTaskEndsWithItsLease guards against a task that outlives its lease, and against a task that is counted as running
// twice although its lease at the first server had expired.
func TestTaskEndsWithItsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ledger := fakebackend.NewLedger()
		first := fakebackend.New("s1", fakebackend.WithLedger(ledger), fakebackend.WithUsageLag(0))
		second := fakebackend.New("s2", fakebackend.WithLedger(ledger))
		ctx := context.Background()
		call := startCall(1, 1)
		call.LeaseSeconds = 10
		require.NoError(t, first.Start(ctx, call))
		time.Sleep(9 * time.Second)
		reply, err := first.Renew(ctx, forwarder.RenewCall{
			Epoch: 1, LeaseSeconds: 10, Tasks: []forwarder.TaskAttempt{{Task: taskA, Attempt: 1}, {Task: taskA, Attempt: 2}},
		})
		require.NoError(t, err)
		require.Equal(t, []forwarder.TaskAttempt{{Task: taskA, Attempt: 2}}, reply.Unknown)
		time.Sleep(10 * time.Second)
		report, err := first.Usage(ctx)
		require.NoError(t, err)
		requireTask(t, report, forwarder.TaskExpired)
		require.NoError(t, second.Start(ctx, call))
		require.Zero(t, ledger.Violations().DoubledTasks)
		call.Attempt = 2
		require.NoError(t, first.Start(ctx, call))
		require.EqualValues(t, 1, ledger.Violations().DoubledTasks)
	})
}

// TestExceededCapacityIsCounted guards against tasks that exceed the capacity of a server without being counted, and
// against a finished task that still occupies capacity.
func TestExceededCapacityIsCounted(t *testing.T) {
	now := time.Unix(1000, 0)
	state := fakebackend.NewState("s1", fakebackend.WithCapacity(capacity),
		fakebackend.WithTaskRunTime(generator.RunTime{Median: 5 * time.Second}))
	for i := range 3 {
		call := startCall(1, 1)
		call.Task.Index = i
		at := now.Add(time.Duration(i) * 4 * time.Second)
		require.NoError(t, state.StartTask(at, call))
	}
	counters := state.Counters()
	require.EqualValues(t, 2, counters.CapacityExceeded)
	require.EqualValues(t, 1, counters.TasksEnded)
	require.Equal(t, 2, counters.HighestTasks)
}

// TestUsageReportIsAsOldAsItsLag guards against a usage report that shows a later state than that of its sample time.
// Such a report would end the quarantine of a slot that is still busy.
func TestUsageReportIsAsOldAsItsLag(t *testing.T) {
	now := time.Unix(1000, 0)
	state := fakebackend.NewState("s1", fakebackend.WithUsageLag(2*time.Second))
	decision := state.Begin(now, fakebackend.Request{ID: "r1"})
	at := func(offset time.Duration) (time.Duration, int) {
		report := state.UsageReport(now.Add(offset))
		return report.SampledAt.Sub(now), report.BusySlots
	}
	sampled, busy := at(time.Second)
	require.Equal(t, -time.Second, sampled)
	require.Zero(t, busy)
	sampled, busy = at(3 * time.Second)
	require.Equal(t, time.Second, sampled)
	require.Equal(t, 1, busy)
	state.End(now.Add(4*time.Second), decision.Run)
	_, busy = at(5 * time.Second)
	require.Equal(t, 1, busy, "the slot was busy 2 s before")
	sampled, busy = at(7 * time.Second)
	require.Equal(t, 5*time.Second, sampled)
	require.Zero(t, busy)
}

// TestExceededSlotsAndConnectionsAreCounted guards against counters that miss requests beyond the slots or connections
// beyond their limit.
func TestExceededSlotsAndConnectionsAreCounted(t *testing.T) {
	now := time.Unix(1000, 0)
	state := fakebackend.NewState("s1", fakebackend.WithSlots(1), fakebackend.WithConnections(1))
	first := state.Begin(now, fakebackend.Request{ID: "r1"})
	state.Begin(now, fakebackend.Request{ID: "r2"})
	state.End(now, first.Run)
	state.End(now, first.Run)
	state.Connected(now)
	state.Connected(now)
	counters := state.Counters()
	require.EqualValues(t, 1, counters.SlotsExceeded)
	require.Equal(t, 2, counters.HighestBusySlots)
	require.Equal(t, 1, counters.BusySlots)
	require.EqualValues(t, 1, counters.ConnectionsExceeded)
}

// TestExcessesNameServerKindAndMoment guards against an exceeded capacity that cannot be traced.
func TestExcessesNameServerKindAndMoment(t *testing.T) {
	now := time.Unix(1000, 0)
	state := fakebackend.NewState("s1", fakebackend.WithSlots(1), fakebackend.WithConnections(1),
		fakebackend.WithCapacity(describer.Resources{MilliCores: 1000}))
	start := forwarder.StartCall{
		Task: describer.TaskID{Job: "j", Index: 3}, Attempt: 2, Epoch: 1, LeaseSeconds: 30,
		Resources: describer.Resources{MilliCores: 1001},
	}
	state.Begin(now, fakebackend.Request{ID: "r1"})
	state.Connected(now)
	require.Empty(t, state.Excesses())
	state.Begin(now.Add(time.Second), fakebackend.Request{ID: "r2"})
	state.Connected(now.Add(2 * time.Second))
	require.NoError(t, state.StartTask(now.Add(3*time.Second), start))
	var excesses []string
	for _, excess := range state.Excesses() {
		excesses = append(excesses, excess.String())
	}
	require.Equal(t, []string{
		`00:16:41.000 s1 request "r2": used 2, capacity 1`,
		`00:16:42.000 s1 connection "": used 2, capacity 1`,
		`00:16:43.000 s1 task "j/3 attempt 2": used {1001 0 0}, capacity {1000 0 0}`,
	}, excesses)
}

// TestViolationsCountBrokenGuarantees guards against a ledger that misses a broken guarantee.
func TestViolationsCountBrokenGuarantees(t *testing.T) {
	now := time.Unix(1000, 0)
	ledger := fakebackend.NewLedger()
	state := fakebackend.NewState("s1", fakebackend.WithLedger(ledger))
	state.Begin(now, fakebackend.Request{ID: "r1", Key: "k1"})
	state.Begin(now, fakebackend.Request{ID: "r2", Key: "k1"})
	ledger.RecordOutcome("r1", fakebackend.OutcomeNotRun)
	ledger.RecordOutcome("r2", fakebackend.OutcomeAnswered)
	ledger.RecordOutcome("r3", fakebackend.OutcomeAnswered)
	ledger.RecordOutcome("r4", fakebackend.OutcomeNotRun)
	require.Equal(t, fakebackend.Violations{Lost: 1, DoubledKeys: 1, RunAfterNotRun: 1}, ledger.Violations())
}
