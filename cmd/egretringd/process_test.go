package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/demonstrator"
	"egretring.example/egretring/describer"
	"egretring.example/egretring/fakebackend"
	"egretring.example/egretring/forwarder"
	"egretring.example/egretring/loader"
)

// daemonVariable makes the test binary run as the daemon.
const daemonVariable = "EGRETRINGD_TEST_PROCESS"

const (
	zone     = "zone-a"
	shortRun = 5 * time.Millisecond
	// longRun is long enough that the load keeps all slots busy, so that one more request exceeds the capacity.
	longRun = 200 * time.Millisecond
)

func TestMain(m *testing.M) {
	if os.Getenv(daemonVariable) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// process is an entry instance that runs as a separate process.
type process struct {
	command   *exec.Cmd
	name      string
	listeners loader.Listeners
	exited    chan error
}

const settingsText = `{
  "Instance": %q, "AvailabilityZone": %q, "Zones": [%q],
  "Listeners": {"Callers": "127.0.0.1:0", "Operators": "127.0.0.1:0", "Peers": "127.0.0.1:0", "Relay": "127.0.0.1:0"},
  "Store": %q, "InstanceList": %q, "DefaultTimeout": "20s", "ListInterval": "200ms",
}`

func startProcess(t *testing.T, cell *demonstrator.Cell, name string) *process {
	t.Helper()
	store, list := cell.Platform()
	file := filepath.Join(t.TempDir(), "egretringd.hujson")
	text := fmt.Sprintf(settingsText, name, zone, zone, store, list)
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	command := exec.Command(os.Args[0], "-settings", file)
	command.Env = append(os.Environ(), daemonVariable+"=1")
	output, err := command.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, command.Start())
	p := &process{command: command, name: name, exited: make(chan error, 1)}
	lines := bufio.NewScanner(output)
	p.readListeners(t, lines)
	go func() {
		for lines.Scan() {
			continue
		}
		p.exited <- command.Wait()
	}()
	t.Cleanup(func() {
		_ = command.Process.Signal(syscall.SIGCONT)
		_ = command.Process.Kill()
	})
	cell.AddProcess(describer.Instance{
		ID: describer.InstanceID(name), AvailabilityZone: zone,
		PeerAddress: p.listeners.Peers, OperatorAddress: p.listeners.Operators, RelayAddress: p.listeners.Relay,
	})
	return p
}

// readListeners reads the addresses from the log line that the daemon writes when it has started.
func (p *process) readListeners(t *testing.T, lines *bufio.Scanner) {
	t.Helper()
	for lines.Scan() {
		var line struct {
			Message   string `json:"msg"`
			Listeners loader.Listeners
		}
		require.NoError(t, json.Unmarshal(lines.Bytes(), &line))
		if line.Listeners.Callers != "" {
			p.listeners = line.Listeners
			return
		}
	}
	t.Fatal("the daemon exited before it logged its listeners")
}

func (p *process) isHealthy() bool {
	response, err := http.Get("http://" + p.listeners.Operators + "/healthz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (p *process) signal(t *testing.T, signal syscall.Signal) {
	t.Helper()
	require.NoError(t, p.command.Process.Signal(signal))
}

// send sends a request with a run time and returns the status of the response, or zero without a complete response.
func (p *process) send(id string, runTime time.Duration) int {
	request, err := http.NewRequest(http.MethodGet, "http://"+p.listeners.Callers+"/tally/count", nil)
	if err != nil {
		return 0
	}
	request.Header.Set(forwarder.HeaderRequest, id)
	request.Header.Set(fakebackend.HeaderRunTime, runTime.String())
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil || len(body) == 0 {
		return 0
	}
	return response.StatusCode
}

// poll waits until a condition holds. It has no timeout of its own; only the timeout of the whole test run ends it.
func poll(t *testing.T, condition func() bool) {
	t.Helper()
	for !condition() {
		require.NoError(t, t.Context().Err())
		time.Sleep(20 * time.Millisecond)
	}
}

const ticketText = `{
  "ID": "first", "Base": 0, "Comment": "first",
  "Services": {"tally": {"SlotsPerBackendServer": 4, "ConnectionsPerBackendServer": 32, "QueueLimit": 1000,
    "Kinds": {"count": {"Class": "Urgent", "ExpectedMilliseconds": 5}}}},
}`

// newProcessCell starts the stand-ins in this process and each entry instance as a separate process, and waits until
// all instances serve requests.
func newProcessCell(t *testing.T, names ...string) (*demonstrator.Cell, []*process) {
	t.Helper()
	cell, err := demonstrator.NewCell(demonstrator.CellOptions{
		Seed: 1, WithoutEntries: true,
		Topology: demonstrator.Topology{Service: "tally", Slots: 4, Connections: 32, Zones: []demonstrator.ZoneTopology{
			{ID: zone, BackendServers: 4, ServersPerRack: 2},
		}},
	})
	require.NoError(t, err)
	t.Cleanup(cell.Close)
	var processes []*process
	for _, name := range names {
		processes = append(processes, startProcess(t, cell, name))
	}
	poll(t, func() bool {
		response, err := http.Post("http://"+processes[0].listeners.Operators+"/v1/tickets", "application/json",
			bytes.NewReader([]byte(ticketText)))
		if err != nil {
			return false
		}
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.NotEqual(t, http.StatusUnprocessableEntity, response.StatusCode, "%s", body)
		return response.StatusCode == http.StatusOK
	})
	for _, p := range processes {
		poll(t, p.isHealthy)
	}
	return cell, processes
}

// load sends requests to instances until it is stopped, and counts the responses by status. Status zero counts the
// requests without a complete response.
type load struct {
	stop    chan struct{}
	running sync.WaitGroup

	mu       sync.Mutex
	statuses map[int]int
}

func startLoad(name string, senders int, runTime time.Duration, targets ...*process) *load {
	l := &load{stop: make(chan struct{}), statuses: make(map[int]int)}
	for sender := range senders {
		l.running.Go(func() {
			for number := 0; ; number++ {
				select {
				case <-l.stop:
					return
				default:
				}
				id := fmt.Sprintf("%s-%d-%d", name, sender, number)
				status := targets[(sender+number)%len(targets)].send(id, runTime)
				l.mu.Lock()
				l.statuses[status]++
				l.mu.Unlock()
			}
		})
	}
	return l
}

func (l *load) answered() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.statuses[http.StatusOK]
}

func (l *load) end() map[int]int {
	close(l.stop)
	l.running.Wait()
	return l.statuses
}

// TestTerminationCutsOffNoRequest guards against a graceful stop that cuts off requests in flight or exits with an
// error, and against a takeover of its slots that puts more work on them than their capacity.
func TestTerminationCutsOffNoRequest(t *testing.T) {
	cell, processes := newProcessCell(t, "entry-1", "entry-2")
	const inFlight = 6
	results := make(chan int, inFlight)
	for i := range inFlight {
		go func() { results <- processes[0].send(fmt.Sprintf("long-%d", i), time.Second) }()
	}
	poll(t, func() bool {
		runs := 0
		for i := range inFlight {
			runs += cell.Ledger().Runs(fmt.Sprintf("long-%d", i))
		}
		return runs == inFlight
	})
	processes[0].signal(t, syscall.SIGTERM)
	for range inFlight {
		require.Equal(t, http.StatusOK, <-results)
	}
	require.NoError(t, <-processes[0].exited)
	others := startLoad("after", 8, shortRun, processes[1])
	poll(t, func() bool { return others.answered() > 200 })
	others.end()
	require.Zero(t, cell.OverCapacity())
}

// TestKilledInstanceIsReplaced guards against slots of a killed process that two instances use at the same time, or
// that no instance uses again.
func TestKilledInstanceIsReplaced(t *testing.T) {
	cell, processes := newProcessCell(t, "entry-1", "entry-2")
	running := startLoad("killed", 48, shortRun, processes...)
	poll(t, func() bool { return running.answered() > 200 })
	processes[0].signal(t, syscall.SIGKILL)
	<-processes[0].exited
	replacement := startProcess(t, cell, "entry-1")
	poll(t, replacement.isHealthy)
	running.end()
	after := startLoad("replaced", 48, shortRun, processes[1], replacement)
	poll(t, func() bool { return after.answered() > 500 })
	after.end()
	require.Zero(t, cell.OverCapacity())
	require.Zero(t, cell.Ledger().Violations().RunAfterNotRun)
}

// TestPausedInstanceStartsNothing guards against an owner that resumes after its lease has expired and uses slots that
// another instance has taken over.
func TestPausedInstanceStartsNothing(t *testing.T) {
	cell, processes := newProcessCell(t, "entry-1", "entry-2")
	running := startLoad("paused", 48, longRun, processes[1])
	poll(t, func() bool { return running.answered() > 200 })
	processes[0].signal(t, syscall.SIGSTOP)
	poll(t, func() bool { return ownedSlots(processes[1]) == 16 })
	waiting := make(chan int, 48)
	for i := range 48 {
		go func() { waiting <- processes[0].send(fmt.Sprintf("woken-%d", i), longRun) }()
	}
	processes[0].signal(t, syscall.SIGCONT)
	for range 48 {
		<-waiting
	}
	poll(t, processes[0].isHealthy)
	running.end()
	require.Zero(t, cell.OverCapacity())
}

// ownedSlots returns the number of slots that an instance owns according to its metrics.
func ownedSlots(p *process) int {
	response, err := http.Get("http://" + p.listeners.Operators + "/metrics")
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	var page map[string]map[string]float64
	if json.NewDecoder(response.Body).Decode(&page) != nil {
		return 0
	}
	return int(page["Slots.Owned"]["value"])
}
