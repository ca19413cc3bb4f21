//go:build review

package harness3

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"egretring.example/egretring/keeper"
)

const (
	// stopTime is how long a stop takes.
	stopTime = 150 * time.Millisecond
	// connectionCap is how many connections a worker has at the same time. It resets those above.
	connectionCap = 64
	workerCores   = 64
	// answerTime is how long an order and its answer are on the way between two zones.
	answerTime = 2 * time.Millisecond
)

// worker is a stand-in for a worker of the platform. It carries out orders as PROTOCOL.md says.
type worker struct {
	cell    *cell
	id      string
	zone    string
	address string
	link    *link
	server  *http.Server
	// reset is how many connections were reset because the worker had connectionCap others.
	reset atomic.Int64
	open  atomic.Int64
	// onStart is called with each start, without the lock.
	onStart func(w *worker, r *taskRun)
	// onNoted is called with each end that last_seen reaches, and keepsStart tells which starts get no answer.
	onNoted    func(task, how string)
	keepsStart func(w *worker, o order) bool

	mu       sync.Mutex
	dead     bool
	bornAt   time.Time
	fence    int64
	leaseEnd time.Duration
	runs     map[string]*taskRun
	highest  map[string]int
	ends     []endRow
	lastEnd  int64
	changed  chan struct{}
}

// taskRun is a run of a task.
type taskRun struct {
	task      string
	number    int
	startedAt time.Time
	ended     bool
}

type endRow struct {
	number    int64
	task, how string
	row       []any
}

type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	Fence    int64  `json:"fence"`
	LeaseEnd int64  `json:"deadline_ms"`
	Seen     int64  `json:"last_seen"`
	Wait     int64  `json:"wait_ms"`
}

type report struct {
	Clock   int64   `json:"clock_ms"`
	Born    int64   `json:"born"`
	Reason  string  `json:"reason,omitempty"`
	Running [][]any `json:"running,omitempty"`
	Ended   [][]any `json:"ended,omitempty"`
}

// addWorker starts a worker and keeps its entry in the store. Instances reach it through a link.
func (c *cell) addWorker(id, zone string) (*worker, error) {
	l, err := c.link("")
	if err != nil {
		return nil, err
	}
	return c.addWorkerBehind(id, zone, l)
}

// addWorkerBehind starts a worker at the address of a link.
func (c *cell) addWorkerBehind(id, zone string, l *link) (*worker, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l.setTarget(listener.Addr().String())
	w := &worker{
		cell: c, id: id, zone: zone, address: l.address(), link: l, bornAt: time.Now(),
		runs: make(map[string]*taskRun), highest: make(map[string]int), changed: make(chan struct{}),
	}
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(&cappedListener{Listener: listener, worker: w}) }()
	c.workers = append(c.workers, w)
	go w.register()
	return w, nil
}

// cappedListener resets the connections above connectionCap.
type cappedListener struct {
	net.Listener
	worker *worker
}

// Accept implements net.Listener.
func (l *cappedListener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.worker.open.Load() < connectionCap {
			l.worker.open.Add(1)
			return &cappedConn{Conn: accepted, worker: l.worker}, nil
		}
		l.worker.reset.Add(1)
		if tcp, ok := accepted.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = accepted.Close()
	}
}

// cappedConn is a connection that counts until it is closed.
type cappedConn struct {
	net.Conn
	worker *worker
	once   sync.Once
}

// Close implements net.Conn.
func (c *cappedConn) Close() error {
	c.once.Do(func() { c.worker.open.Add(-1) })
	return c.Conn.Close()
}

// crash ends the worker with all that runs on it. Its connections are reset, and its entry lapses.
func (w *worker) crash() {
	w.mu.Lock()
	w.dead = true
	for _, r := range w.runs {
		r.ended = true
		w.cell.record.line("worker %s: %s run %d is lost with the worker", w.id, r.task, r.number)
	}
	w.runs = make(map[string]*taskRun)
	w.mu.Unlock()
	_ = w.server.Close()
	w.cell.record.line("worker %s crashed", w.id)
}

// register keeps the entry of the worker in the store, which lapses after three intervals of silence.
func (w *worker) register() {
	var lease keeper.LeaseID
	for sequence := 1; w.cell.ctx.Err() == nil; sequence++ {
		w.mu.Lock()
		dead := w.dead
		w.mu.Unlock()
		if dead {
			return
		}
		if lease == 0 {
			lease, _ = w.cell.store.Grant(w.cell.ctx, keeper.LeaseOptions{TimeToLive: 3 * heartbeat})
		} else if w.cell.store.Renew(w.cell.ctx, lease) != nil {
			lease = 0
			continue
		}
		value, err := json.Marshal(map[string]any{
			"service": serviceName, "address": w.address, "zone": w.zone, "version": "1", "slots": 8, "state": "ready",
			"cold_remaining_ms": 0, "sequence": sequence, "born": w.bornAt.UnixMilli(), "labels": []string{"kind-a", "rack-" + w.zone},
			"capacity": map[string]any{"cpu": workerCores * 1000, "mem_mb": 131072, "gpu": 0},
		})
		if err == nil {
			_, _ = w.cell.store.Commit(w.cell.ctx, keeper.Transaction{
				Writes: []keeper.Write{{Key: "servers/" + w.id, Value: value, Lease: lease}},
			})
		}
		time.Sleep(heartbeat)
	}
}

func (w *worker) clock() time.Duration {
	return time.Since(w.bornAt) + time.Minute
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(answer http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		answer.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(answerTime)
	if r.Header.Get("X-Expect-Instance") != w.id {
		answer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/hold" {
		w.hold(answer, r, o)
		return
	}
	if r.URL.Path == "/run-start" && w.keepsStart != nil && w.keepsStart(w, o) {
		w.cell.record.line("worker %s: start %s run %d gets no answer", w.id, o.Task, o.Run)
		<-r.Context().Done()
		return
	}
	w.mu.Lock()
	reason, started := w.execute(r.URL.Path, o)
	body := w.header(reason)
	w.mu.Unlock()
	if started != nil && w.onStart != nil {
		w.onStart(w, started)
	}
	write(answer, body)
}

func write(answer http.ResponseWriter, body report) {
	if body.Reason != "" {
		answer.WriteHeader(http.StatusConflict)
	}
	_ = json.NewEncoder(answer).Encode(body)
}

func (w *worker) header(reason string) report {
	return report{Clock: w.clock().Milliseconds(), Born: w.bornAt.UnixMilli(), Reason: reason}
}

func (w *worker) execute(path string, o order) (reason string, started *taskRun) {
	if o.Fence < w.fence {
		return "fence", nil
	}
	w.fence = o.Fence
	if path == "/run-stop" {
		w.cell.record.line("worker %s: stop %s run %d", w.id, o.Task, o.Run)
		w.highest[o.Task] = max(w.highest[o.Task], o.Run)
		if r := w.runs[o.Task]; r != nil && r.number <= o.Run {
			time.AfterFunc(stopTime, func() { w.end(r, "stopped") })
		}
		return "", nil
	}
	if milliseconds(o.LeaseEnd) <= w.clock() {
		return "late", nil
	}
	w.renew(milliseconds(o.LeaseEnd))
	if r := w.runs[o.Task]; r != nil && r.number == o.Run {
		return "", nil
	}
	if o.Run <= w.highest[o.Task] {
		return "old", nil
	}
	r := &taskRun{task: o.Task, number: o.Run, startedAt: time.Now()}
	w.runs[o.Task], w.highest[o.Task] = r, o.Run
	w.cell.record.line("worker %s: start %s run %d, %q", w.id, o.Task, o.Run, o.Spec)
	var duration int64
	if n, _ := fmt.Sscanf(o.Spec, "work %d", &duration); n == 1 {
		time.AfterFunc(milliseconds(duration), func() { w.end(r, "done") })
	}
	return "", r
}

// renew extends the lease of all runs. It never shortens it.
func (w *worker) renew(end time.Duration) {
	end = min(end, w.clock()+maximumLease)
	if end <= w.leaseEnd {
		return
	}
	w.leaseEnd = end
	time.AfterFunc(end-w.clock()+time.Millisecond, w.expire)
}

func (w *worker) expire() {
	w.mu.Lock()
	var lapsed []*taskRun
	if w.clock() >= w.leaseEnd {
		for _, r := range w.runs {
			lapsed = append(lapsed, r)
		}
	}
	w.mu.Unlock()
	for _, r := range lapsed {
		w.end(r, "lapsed")
	}
}

func (w *worker) end(r *taskRun, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r.ended {
		return
	}
	r.ended = true
	delete(w.runs, r.task)
	w.lastEnd++
	w.ends = append(w.ends, endRow{number: w.lastEnd, task: r.task, how: how, row: []any{w.lastEnd, r.task, r.number, how, ""}})
	close(w.changed)
	w.changed = make(chan struct{})
	w.cell.record.line("worker %s: end %s run %d %s", w.id, r.task, r.number, how)
}

func (w *worker) hold(answer http.ResponseWriter, r *http.Request, o order) {
	w.mu.Lock()
	if o.Fence < w.fence {
		body := w.header("fence")
		w.mu.Unlock()
		write(answer, body)
		return
	}
	w.fence = o.Fence
	if o.LeaseEnd > 0 {
		w.renew(milliseconds(o.LeaseEnd))
	}
	for len(w.ends) > 0 && w.ends[0].number <= o.Seen {
		if w.onNoted != nil {
			w.onNoted(w.ends[0].task, w.ends[0].how)
		}
		w.ends = w.ends[1:]
	}
	changed, waits := w.changed, o.Wait > 0 && len(w.ends) == 0
	w.mu.Unlock()
	if waits {
		timer := time.NewTimer(milliseconds(o.Wait))
		defer timer.Stop()
		select {
		case <-changed:
		case <-timer.C:
		case <-r.Context().Done():
		}
	}
	w.mu.Lock()
	body := w.header("")
	for _, run := range w.runs {
		body.Running = append(body.Running, []any{run.task, run.number, "", 100, 1000})
	}
	for _, end := range w.ends[:min(len(w.ends), 500)] {
		body.Ended = append(body.Ended, end.row)
	}
	w.mu.Unlock()
	write(answer, body)
}
