//go:build review

// Package standins has the stand-ins of the review's scripts: workers, clients, and what starts the project's store and
// programs. They are built by review/build-2.sh.
package standins

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"egretring.example/egretring/fakekeeper"
	"egretring.example/egretring/keeper"
	"egretring.example/egretring/platform/fakestore"
)

const (
	host      = "nony24.example"
	prefix    = "/lohu930/"
	service   = "pletac"
	beat      = 1500 * time.Millisecond
	restartIn = 300 * time.Millisecond
	// attempts is how often clients try to hand a job in, and timeLimit how long they wait for each answer.
	attempts  = 5
	timeLimit = 3 * time.Second
)

// errCannotRun is wrapped by the errors of a case that could not run.
type errCannotRun struct{ error }

// taskSpec is what the stand-ins read from the spec of a job: how its tasks behave.
type taskSpec struct {
	// Work is how long a task takes; zero lasts until it is stopped.
	Work time.Duration `json:"work,omitempty"`
	// FailAfter are the times after which the runs of a task fail, by their number from 1; the last one holds for all later
	// runs, and zero is a run that does not fail.
	FailAfter []time.Duration `json:"fail_after,omitempty"`
	// Stagger is how much later the run of each further task of a step fails.
	Stagger time.Duration `json:"stagger,omitempty"`
	// CrashAfter is the time after its start after which a run crashes its worker, or zero.
	CrashAfter time.Duration `json:"crash_after,omitempty"`
}

// fails returns the time after which a run of a task fails, or zero.
func (s taskSpec) fails(task string, number int) time.Duration {
	if len(s.FailAfter) == 0 {
		return 0
	}
	after := s.FailAfter[min(number, len(s.FailAfter))-1]
	index, err := strconv.Atoi(task[strings.LastIndexByte(task, '.')+1:])
	if err != nil || after == 0 {
		return 0
	}
	return after + time.Duration(index)*s.Stagger
}

// step is a step of a job on the wire.
type step struct {
	Count        int    `json:"count"`
	CPU          int64  `json:"cpu"`
	Memory       int64  `json:"mem_mb"`
	Estimated    int64  `json:"estimated_ms"`
	Requirements string `json:"requirements,omitempty"`
	LongRunning  bool   `json:"long_running,omitempty"`
	AntiAffinity int    `json:"anti_affinity,omitempty"`
	Gang         bool   `json:"gang,omitempty"`
	After        []int  `json:"after,omitempty"`
}

type job struct {
	id    string
	spec  taskSpec
	steps []step
	// accepted is set once the client got a 2xx.
	accepted bool
}

// cell is a small deployment: the platform's store, workers and the project's processes, all on loopback addresses.
type cell struct {
	directory string
	record    *os.File
	begunAt   time.Time
	store     *fakekeeper.Transactional
	workers   []*worker
	instances []*instance
	ctx       context.Context
	cancel    context.CancelFunc

	mu   sync.Mutex
	jobs map[string]*job
	runs []*seenRun
	// ids is how many workers got an id.
	ids int
}

// seenRun is a run as the workers have seen it.
type seenRun struct {
	task     string
	number   int
	worker   string
	labels   []string
	begunAt  time.Time
	endedAt  time.Time
	how      string
	overload int64
}

func newCell(record string) (*cell, error) {
	directory, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &cell{
		directory: directory, record: file, begunAt: time.Now(), store: fakekeeper.NewTransactional(), ctx: ctx, cancel: cancel,
		jobs: make(map[string]*job),
	}, nil
}

// note writes a line to the record.
func (c *cell) note(format string, values ...any) {
	fmt.Fprintf(c.record, "%8.3f  %s\n", time.Since(c.begunAt).Seconds(), fmt.Sprintf(format, values...))
}

// writeConfiguration writes the configuration, as the operator does.
func (c *cell) writeConfiguration(maxAttempts int) error {
	value, err := json.Marshal(map[string]any{
		"version": 3,
		"routes": []any{map[string]any{
			"name": "lohu930", "host": host, "prefix": prefix, "service": service, "priority": 1, "max_attempts": maxAttempts,
			"stretch": 2.0, "target_latency_ms": 1000,
		}},
		"services": []any{map[string]any{"name": service, "enforces_capacity": false}},
		"limits":   map[string]any{"max_body_bytes": 262144},
	})
	if err != nil {
		return err
	}
	_, err = c.store.Commit(c.ctx, keeper.Transaction{Writes: []keeper.Write{{Key: "op/config", Value: value}}})
	return err
}

// addWorkers starts workers of one kind.
func (c *cell) addWorkers(count int, k kind) error {
	for range count {
		w := &worker{cell: c, service: service}
		if err := w.boot(c.newWorkerID(), "", k); err != nil {
			return err
		}
		c.workers = append(c.workers, w)
		go c.register(w)
	}
	return nil
}

func (c *cell) newWorkerID() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ids++
	return fmt.Sprintf("i-%06x", 0x7f39ff+c.ids)
}

// register keeps the entry of a worker in the store while it is up. An entry is removed after three missed reports.
func (c *cell) register(w *worker) {
	var lease keeper.LeaseID
	var written time.Time
	for sequence := 1; c.ctx.Err() == nil; sequence++ {
		id, life, value, up := w.entry(sequence)
		if up && c.report(id, value, &lease, !life.Equal(written)) {
			written = life
		}
		for range 60 {
			time.Sleep(beat / 60)
			// A worker that has started again reports itself at once.
			if _, now, _, nowUp := w.entry(sequence); nowUp && !now.Equal(life) {
				break
			}
		}
	}
}

func (c *cell) report(id string, value []byte, lease *keeper.LeaseID, anew bool) bool {
	if anew || c.store.Renew(c.ctx, *lease) != nil {
		granted, err := c.store.Grant(c.ctx, keeper.LeaseOptions{TimeToLive: 3 * beat})
		if err != nil {
			return false
		}
		*lease = granted
	}
	_, err := c.store.Commit(c.ctx, keeper.Transaction{Writes: []keeper.Write{{Key: "servers/" + id, Value: value, Lease: *lease}}})
	return err == nil
}

// instance is a machine of the system, whose process the platform starts again after it has ended.
type instance struct {
	cell     *cell
	name     string
	front    string
	ready    string
	settings string
	log      *os.File

	mu      sync.Mutex
	process *os.Process
	stopped bool
	done    chan struct{}
	// ends is how often the process has ended by itself.
	ends int
}

// freeAddress returns a loopback address with a free port below those that the system gives to outgoing connections.
func freeAddress() (string, error) {
	var err error
	for range 100 {
		var listener net.Listener
		if listener, err = net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", 12000+rand.IntN(18000))); err == nil {
			return listener.Addr().String(), listener.Close()
		}
	}
	return "", err
}

func freeAddresses(count int) ([]string, error) {
	var addresses []string
	for len(addresses) < count {
		address, err := freeAddress()
		if err != nil {
			return nil, err
		}
		if !slices.Contains(addresses, address) {
			addresses = append(addresses, address)
		}
	}
	return addresses, nil
}

// addInstances starts processes of the program with the command of the deploy file.
func (c *cell) addInstances(count int) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	handler := fakestore.NewHandler(c.store)
	server := &http.Server{ErrorLog: log.New(io.Discard, "", 0), Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(4 * time.Millisecond)
		handler.ServeHTTP(w, r)
	})}
	go func() { _ = server.Serve(listener) }()
	for n := range count {
		addresses, err := freeAddresses(4)
		if err != nil {
			return err
		}
		i := &instance{
			cell: c, name: fmt.Sprintf("front-hala-a-%d", n+1), front: addresses[0], ready: addresses[1],
			settings: filepath.Join(c.directory, fmt.Sprintf("settings-%d.hujson", n+1)), done: make(chan struct{}),
		}
		text, err := json.Marshal(map[string]any{
			"Instance": i.name, "AvailabilityZone": "hala-a", "CallerAddress": addresses[0], "ReadinessAddress": addresses[1],
			"PeerAddress": addresses[2], "MetricsAddress": addresses[3], "StoreAddress": listener.Addr().String(), "AdviceAddress": "",
			"MaximumLeaseMilliseconds": maximumLease.Milliseconds(), "StateKeptSeconds": 120, "GraceSeconds": 6,
			"Processors": 1, "ProcessorShare": 0.4, "MemoryMegabytes": 284, "LogLevel": "Info",
		})
		if err != nil {
			return err
		}
		if err := os.WriteFile(i.settings, text, 0o600); err != nil {
			return err
		}
		if i.log, err = os.Create(filepath.Join(c.directory, i.name+".log")); err != nil {
			return err
		}
		c.instances = append(c.instances, i)
		go i.supervise()
	}
	return c.awaitReady(25 * time.Second)
}

// supervise runs the process, and starts it again a short time after it has ended.
func (i *instance) supervise() {
	// The process is killed when the thread that started it ends, so that it never outlives the script.
	runtime.LockOSThread()
	defer close(i.done)
	for {
		command := exec.Command(os.Getenv("REVIEW_PROGRAM"))
		command.Env = append(os.Environ(), "EGRETRING_SETTINGS="+i.settings)
		command.Stdout, command.Stderr = i.log, i.log
		command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		i.mu.Lock()
		if i.stopped {
			i.mu.Unlock()
			return
		}
		err := command.Start()
		if err != nil {
			i.mu.Unlock()
			i.cell.note("process of %s cannot be started: %v", i.name, err)
			return
		}
		i.process = command.Process
		i.mu.Unlock()
		err = command.Wait()
		i.mu.Lock()
		stopped := i.stopped
		if !stopped {
			i.ends++
		}
		i.mu.Unlock()
		if stopped {
			return
		}
		i.cell.note("process of %s ended by itself: %v", i.name, err)
		time.Sleep(restartIn)
	}
}

func (i *instance) endsByItself() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.ends
}

func (i *instance) kill() {
	i.mu.Lock()
	i.stopped = true
	if i.process != nil {
		_ = i.process.Kill()
	}
	i.mu.Unlock()
	<-i.done
}

func (c *cell) awaitReady(limit time.Duration) error {
	client := http.Client{Timeout: time.Second}
	for begun := time.Now(); time.Since(begun) < limit; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, i := range c.instances {
			if response, err := client.Get("http://" + i.ready + "/readiness"); err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(c.instances) {
			c.note("all %d instances are ready", ready)
			return nil
		}
	}
	return errCannotRun{fmt.Errorf("instances are not ready after %s", limit)}
}

// close ends all that the cell started.
func (c *cell) close() {
	c.cancel()
	for _, i := range c.instances {
		i.kill()
	}
	for _, w := range c.workers {
		w.crash()
	}
	if os.Getenv("REVIEW_KEEP") == "" {
		_ = os.RemoveAll(c.directory)
	}
	_ = c.record.Close()
}

// call sends a request to an instance, and returns the status, or zero without an answer.
func (c *cell) call(i *instance, method, path string, body []byte) (int, []byte) {
	request, err := http.NewRequest(method, "http://"+i.front+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Host = host
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(timeLimit.Milliseconds()))
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	// Each try opens a connection of its own, which the platform forwards to one of the nodes.
	client := http.Client{Timeout: timeLimit, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, text
}

// submit hands a job in, with retries at other instances, and reports whether it was accepted.
func (c *cell) submit(j *job) bool {
	spec, err := json.Marshal(j.spec)
	if err != nil {
		return false
	}
	body, err := json.Marshal(map[string]any{"spec": string(spec), "steps": j.steps})
	if err != nil {
		return false
	}
	c.mu.Lock()
	c.jobs[j.id] = j
	c.mu.Unlock()
	for attempt := range attempts {
		i := c.instances[(int(j.id[len(j.id)-1])+attempt)%len(c.instances)]
		status, _ := c.call(i, http.MethodPost, prefix+j.id, body)
		c.note("POST %s%s to %s: %d", prefix, j.id, i.name, status)
		switch {
		case status >= 200 && status < 300:
			c.mu.Lock()
			j.accepted = true
			c.mu.Unlock()
			return true
		case status == http.StatusNotFound || status == http.StatusBadRequest:
			return false
		}
		time.Sleep(time.Second)
	}
	return false
}

// mustSubmit hands jobs in. A case in which one of them isn't accepted shows nothing.
func (c *cell) mustSubmit(jobs ...*job) error {
	for _, j := range jobs {
		if !c.submit(j) {
			return errCannotRun{fmt.Errorf("job %s was not accepted", j.id)}
		}
	}
	return nil
}

// awaitRunning waits until a number of tasks of a job run.
func (c *cell) awaitRunning(j *job, tasks int) error {
	for begun := time.Now(); time.Since(begun) < 10*time.Second; time.Sleep(samplePause) {
		running := 0
		for _, state := range c.taskStates(j) {
			if state.running {
				running++
			}
		}
		if running >= tasks {
			return nil
		}
	}
	return errCannotRun{fmt.Errorf("%d tasks of job %s don't run", tasks, j.id)}
}

// checkAnyRun returns an error if no worker has started anything.
func (c *cell) checkAnyRun() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.runs) == 0 {
		return errCannotRun{errors.New("no task has started")}
	}
	return nil
}

// state asks for the state of a job. It returns the status, or zero without an answer, and the state.
func (c *cell) state(i *instance, id string) (int, string) {
	status, text := c.call(i, http.MethodGet, prefix+id, nil)
	var answer struct {
		State string `json:"state"`
	}
	if status == http.StatusOK && json.Unmarshal(text, &answer) != nil {
		return 0, ""
	}
	return status, answer.State
}

// stateAnywhere asks each instance in turn for the state of a job until one answers.
func (c *cell) stateAnywhere(id string) string {
	for _, i := range c.instances {
		if status, state := c.state(i, id); status == http.StatusOK {
			return state
		} else if status == http.StatusGone {
			return "gone"
		}
	}
	return "no answer"
}

// taskOf returns how the task of a start order behaves, and its cores.
func (c *cell) taskOf(o order) (taskSpec, int64) {
	var spec taskSpec
	if err := json.Unmarshal([]byte(o.Spec), &spec); err != nil {
		c.note("start of %s with a spec that nobody sent: %q", o.Task, o.Spec)
	}
	var number int
	parts := strings.Split(o.Task, ".")
	if _, err := fmt.Sscan(parts[2], &number); err != nil {
		return spec, 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if j := c.jobs[parts[0]]; j != nil && number < len(j.steps) {
		return spec, j.steps[number].CPU
	}
	return spec, 0
}

// runStarted records a start. The caller holds the lock of the worker.
func (c *cell) runStarted(r *run) {
	used := int64(0)
	for _, other := range r.worker.runs {
		used += other.cpu
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs = append(c.runs, &seenRun{
		task: r.task, number: r.number, worker: r.worker.id, labels: r.worker.kind.labels, begunAt: r.started,
		overload: max(0, used-r.worker.kind.cpu),
	})
	c.note("worker %s starts %s run %d (%d of %d cpu in use)", r.worker.id, r.task, r.number, used, r.worker.kind.cpu)
}

// runOver records the end of a run.
func (c *cell) runOver(r *run, how string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, seen := range c.runs {
		if seen.task == r.task && seen.number == r.number && seen.worker == r.worker.id && seen.endedAt.IsZero() {
			seen.endedAt, seen.how = time.Now(), how
		}
	}
	c.note("run %d of %s on %s ends: %s", r.number, r.task, r.worker.id, how)
}

// runsOf returns the runs of a job's tasks so far.
func (c *cell) runsOf(id string) []seenRun {
	c.mu.Lock()
	defer c.mu.Unlock()
	var found []seenRun
	for _, r := range c.runs {
		if strings.HasPrefix(r.task, id+".") {
			found = append(found, *r)
		}
	}
	return found
}

// TestMain runs the case that REVIEW_CASE names. It exits with 1 if a rule was broken, 0 if all held, and 2 if the case could
// not run.
func TestMain(*testing.M) {
	os.Exit(play())
}

func play() int {
	run, known := cases[os.Getenv("REVIEW_CASE")]
	if !known {
		fmt.Println("REVIEW_CASE names no case")
		return 2
	}
	c, err := newCell(os.Getenv("REVIEW_RECORD"))
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer c.close()
	trouble := os.Getenv("TROUBLE") != "0"
	c.note("case %s, trouble %t", os.Getenv("REVIEW_CASE"), trouble)
	broken, err := run(c, trouble)
	if err != nil {
		c.note("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return 2
	}
	for _, line := range broken {
		c.note("BROKEN %s", line)
		fmt.Println("BROKEN", line)
	}
	if len(broken) > 0 {
		return 1
	}
	c.note("all rules held")
	fmt.Println("all rules held")
	return 0
}
