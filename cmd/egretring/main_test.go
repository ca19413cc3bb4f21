package main

import (
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/stretchr/testify/require"

	"egretring.example/egretring/classifier"
	"egretring.example/egretring/describer"
	"egretring.example/egretring/distributor"
	"egretring.example/egretring/fakekeeper"
	"egretring.example/egretring/handler"
	"egretring.example/egretring/reporter"
)

var sampled = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

// cell supplies fixed views; only the applied ticket comes from the distributor.
type cell struct {
	*distributor.Distributor
}

func (c cell) Instances(context.Context) ([]reporter.InstanceView, error) {
	return []reporter.InstanceView{
		{
			Instance: "hala-a-1", AvailabilityZone: "hala-a", Incarnation: 3, Live: true, LastHeard: sampled,
			AppliedTicket: c.Status().Applied, StoreReachable: true, FreeSlots: 17, Queued: [3]int{1, 2, 3},
		},
		{Instance: "hala-b-1", AvailabilityZone: "hala-b", Incarnation: 1764829800123456789, LastHeard: sampled},
	}, nil
}

func (c cell) Zones(context.Context) ([]reporter.ZoneView, error) {
	return []reporter.ZoneView{
		{AvailabilityZone: "hala-a", Reporting: true, Epoch: 4, Members: 1, Servers: 2, Slots: 16, BusySlots: 5},
		{AvailabilityZone: "hala-b", Reporting: true, HoldAgreement: true},
	}, nil
}

func (c cell) Servers(context.Context) ([]reporter.ServerView, error) {
	return []reporter.ServerView{
		{
			BackendServer: "w-1", AvailabilityZone: "hala-a", Rack: "r1", State: describer.Live, Slots: 8, BusySlots: 5,
			Capacity: describer.Resources{MilliCores: 64000, MemoryBytes: 128 << 30}, SampledAt: sampled,
		},
		{BackendServer: "w-2", AvailabilityZone: "hala-b", Rack: "r2", State: describer.Leaving, Slots: 8},
	}, nil
}

func (c cell) Tasks(context.Context, reporter.TaskQuery) ([]reporter.TaskView, error) {
	return []reporter.TaskView{
		{Task: describer.TaskID{Job: "tension-report", Index: 3}, BackendServer: "w-1", State: "Running", Attempt: 2},
		{Task: describer.TaskID{Job: "label-printer", Index: 0}, BackendServer: "w-2", State: "Waiting"},
	}, nil
}

func (c cell) Reasons(_ context.Context, what string) ([]reporter.Reason, error) {
	if what != "tension-report/3" {
		return nil, nil
	}
	return []reporter.Reason{{About: "Task " + what, At: sampled, Text: "started again after worker w-9 was lost"}}, nil
}

// startInstance serves the operators' API of one entry instance on loopback. An instance that is not started is not
// ready.
func startInstance(env *testscript.Env, store *fakekeeper.Store, start bool) string {
	c := cell{distributor.New(store, distributor.WithInstance("hala-a-1"), distributor.WithSeed(20261204))}
	if start {
		c.Start()
		<-c.Subscribe().States()
		env.Defer(func() { _ = c.Stop() })
	}
	service := reporter.New(c, reporter.WithInstance("hala-a-1"), reporter.WithInstances(c), reporter.WithZones(c),
		reporter.WithServers(c), reporter.WithTasks(c), reporter.WithReasons(c))
	server := httptest.NewServer(handler.NewOperatorHandler(service))
	env.Defer(server.Close)
	return server.URL
}

func setup(env *testscript.Env) error {
	store := fakekeeper.New()
	env.Setenv("READY", startInstance(env, store, true))
	env.Setenv("NOT_READY", startInstance(env, store, false))
	env.Setenv(instancesVariable, env.Getenv("READY"))
	examples, err := os.Getwd()
	env.Setenv("EXAMPLES", strings.TrimSuffix(examples, "/cmd/egretring")+"/examples")
	return err
}

// client runs the client in this process. The first argument is the expected exit code.
func client(ts *testscript.TestScript, neg bool, args []string) {
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	args = args[1:]
	for i, arg := range args {
		if _, err := os.Stat(ts.MkAbs(arg)); err == nil {
			args[i] = ts.MkAbs(arg)
		}
	}
	code := run(context.Background(), &console{
		stdin: strings.NewReader(ts.Getenv("STDIN")), stdout: ts.Stdout(), stderr: ts.Stderr(), http: http.DefaultClient,
		instances: ts.Getenv(instancesVariable),
	}, args)
	if neg || code != want {
		ts.Fatalf("exit code %d, want %d", code, want)
	}
}

// TestScripts guards against a client whose output, exit codes or tickets differ from what the scripts show.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   "testdata",
		Setup: setup,
		Cmds:  map[string]func(*testscript.TestScript, bool, []string){"egretring": client},
	})
}

// TestEveryCommandHasAnExample guards against a command whose help has no example.
func TestEveryCommandHasAnExample(t *testing.T) {
	root := rootCommand(&console{stderr: os.Stderr})
	commands := root.Subcommands
	for len(commands) > 0 {
		command := commands[0]
		commands = append(commands[1:], command.Subcommands...)
		require.Contains(t, command.LongHelp, "Example:\n  egretring ", command.Name)
		require.NotEmpty(t, command.ShortHelp, command.Name)
	}
}

// TestExitCodes guards against an error whose exit code is not that of its kind, so that programs could not tell the
// failure from one of another kind or from success.
func TestExitCodes(t *testing.T) {
	require.Zero(t, exitCode(os.Stderr, nil))
	for _, kind := range classifier.Kinds() {
		var stderr strings.Builder
		require.Equal(t, classifier.ErrorResponseOf(kind).ExitCode, exitCode(&stderr, classifier.New(kind, "failed")))
		require.Equal(t, "egretring: failed\n", stderr.String())
	}
}
