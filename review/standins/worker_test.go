//go:build review

package standins

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// maximumLease and stopTime are hold_max_ms and stop_ms of the site.
	maximumLease = 10 * time.Second
	stopTime     = 150 * time.Millisecond
	// maxListedEnds is how many ends a worker lists at a time.
	maxListedEnds = 500
	backAfter     = 3 * time.Second
)

// kind is what a worker says of itself: its labels and its capacity.
type kind struct {
	labels   []string
	cpu, mem int64
}

// worker is a stand-in for a worker of the platform. It does not guard its capacity.
type worker struct {
	cell    *cell
	service string

	mu       sync.Mutex
	id       string
	kind     kind
	address  string
	server   *http.Server
	up       bool
	bootedAt time.Time
	// clockBase is the value of the worker's clock at its start.
	clockBase int64
	fence     int64
	// leaseEnd is a time on the worker's clock.
	leaseEnd int64
	runs     map[string]*run
	highest  map[string]int
	ended    []endRow
	lastEnd  int64
	changed  chan struct{}
}

// run is one run of a task on a worker.
type run struct {
	worker  *worker
	task    string
	number  int
	spec    taskSpec
	cpu     int64
	started time.Time
	over    bool
}

type endRow struct {
	number int64
	row    []any
}

// order is the body of a call of the system.
type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	Fence    int64  `json:"fence"`
	Deadline int64  `json:"deadline_ms"`
	LastSeen int64  `json:"last_seen"`
	Wait     int64  `json:"wait_ms"`
}

type report struct {
	Clock   int64   `json:"clock_ms"`
	Born    int64   `json:"born"`
	Reason  string  `json:"reason,omitempty"`
	Running [][]any `json:"running"`
	Ended   [][]any `json:"ended"`
}

// boot starts a life of the worker under an id and at an address; an empty address takes a free port.
func (w *worker) boot(id, address string, k kind) error {
	var listener net.Listener
	var err error
	if address == "" {
		if address, err = freeAddress(); err != nil {
			return err
		}
	}
	for range 40 {
		if listener, err = net.Listen("tcp", address); err == nil {
			break
		}
		time.Sleep(25 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.id, w.kind, w.address, w.up, w.bootedAt = id, k, listener.Addr().String(), true, time.Now()
	w.clockBase, w.fence, w.leaseEnd, w.lastEnd, w.ended = 1000, 0, 0, 0, nil
	w.runs, w.highest, w.changed = make(map[string]*run), make(map[string]int), make(chan struct{})
	w.server = &http.Server{Handler: w}
	server := w.server
	w.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	w.cell.note("worker %s up at %s, labels %v, cpu %d", id, w.address, k.labels, k.cpu)
	return nil
}

// crash ends the life of the worker: its connections are reset and all that it ran is gone.
func (w *worker) crash() {
	w.mu.Lock()
	if !w.up {
		w.mu.Unlock()
		return
	}
	w.up = false
	server, id := w.server, w.id
	var lost []string
	for _, r := range w.runs {
		r.over = true
		lost = append(lost, r.task+"/"+strconv.Itoa(r.number))
		w.cell.runOver(r, "crash")
	}
	w.runs = make(map[string]*run)
	w.mu.Unlock()
	_ = server.Close()
	w.cell.note("worker %s crashes; runs lost: %s", id, strings.Join(lost, " "))
}

func (w *worker) clock() int64 {
	return w.clockBase + time.Since(w.bootedAt).Milliseconds()
}

// entry is what the worker writes to the store about itself.
func (w *worker) entry(sequence int) (id string, life time.Time, value []byte, up bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	value, err := json.Marshal(map[string]any{
		"service": w.service, "address": w.address, "zone": "hala-a", "version": "1", "slots": 8, "state": "ready",
		"cold_remaining_ms": 0, "sequence": sequence, "born": w.bootedAt.UnixMilli(), "labels": w.kind.labels,
		"capacity": map[string]int64{"cpu": w.kind.cpu, "mem_mb": w.kind.mem, "gpu": 0},
	})
	if err != nil {
		panic(err)
	}
	return w.id, w.bootedAt, value, w.up
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	if !w.up {
		w.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != w.id {
		w.mu.Unlock()
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if o.Fence < w.fence {
		answer := w.answer("fence")
		w.mu.Unlock()
		send(rw, answer)
		return
	}
	w.fence = o.Fence
	switch r.URL.Path {
	case "/run-start":
		answer := w.answer(w.start(o))
		w.mu.Unlock()
		send(rw, answer)
	case "/run-stop":
		w.stop(o)
		answer := w.answer("")
		w.mu.Unlock()
		send(rw, answer)
	case "/hold":
		w.hold(rw, r, o)
	default:
		w.mu.Unlock()
		rw.WriteHeader(http.StatusNotFound)
	}
}

func (w *worker) answer(reason string) report {
	return report{Clock: w.clock(), Born: w.bootedAt.UnixMilli(), Reason: reason, Running: [][]any{}, Ended: [][]any{}}
}

func send(rw http.ResponseWriter, answer report) {
	rw.Header().Set("Content-Type", "application/json")
	if answer.Reason != "" {
		rw.WriteHeader(http.StatusConflict)
	}
	_ = json.NewEncoder(rw).Encode(answer)
}

// start starts a run, and returns the reason for which it does not. The caller holds the lock.
func (w *worker) start(o order) string {
	if o.Deadline <= w.clock() {
		return "late"
	}
	w.extend(o.Deadline)
	if known := w.runs[o.Task]; known != nil && known.number == o.Run {
		return ""
	}
	if o.Run <= w.highest[o.Task] {
		return "old"
	}
	r := &run{worker: w, task: o.Task, number: o.Run, started: time.Now()}
	r.spec, r.cpu = w.cell.taskOf(o)
	w.highest[o.Task] = o.Run
	w.runs[o.Task] = r
	w.cell.runStarted(r)
	life := w.bootedAt
	switch {
	case r.spec.CrashAfter > 0:
		time.AfterFunc(r.spec.CrashAfter, func() { w.crashUnder(r, life) })
	case r.spec.fails(r.task, r.number) > 0:
		time.AfterFunc(r.spec.fails(r.task, r.number), func() { w.end(r, life, "failed") })
	case r.spec.Work > 0:
		time.AfterFunc(r.spec.Work, func() { w.end(r, life, "done") })
	}
	return ""
}

// crashUnder crashes the worker under a run, and brings it back after some seconds as a new worker at its address.
func (w *worker) crashUnder(r *run, life time.Time) {
	w.mu.Lock()
	over, address, k := r.over || !w.up || w.bootedAt != life, w.address, w.kind
	w.mu.Unlock()
	if over {
		return
	}
	w.crash()
	time.Sleep(backAfter)
	if w.cell.ctx.Err() == nil {
		_ = w.boot(w.cell.newWorkerID(), address, k)
	}
}

func (w *worker) stop(o order) {
	w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	r := w.runs[o.Task]
	if r == nil || r.number > o.Run {
		return
	}
	life := w.bootedAt
	time.AfterFunc(stopTime, func() { w.end(r, life, "stopped") })
}

// end ends a run of a life of the worker and lists its end.
func (w *worker) end(r *run, life time.Time, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r.over || !w.up || w.bootedAt != life {
		return
	}
	w.finish(r, how)
}

func (w *worker) finish(r *run, how string) {
	r.over = true
	if w.runs[r.task] == r {
		delete(w.runs, r.task)
	}
	w.lastEnd++
	w.ended = append(w.ended, endRow{number: w.lastEnd, row: []any{w.lastEnd, r.task, r.number, how, ""}})
	close(w.changed)
	w.changed = make(chan struct{})
	w.cell.runOver(r, how)
}

// extend extends the lease of all that runs on the worker. The caller holds the lock.
func (w *worker) extend(deadline int64) {
	deadline = min(deadline, w.clock()+maximumLease.Milliseconds())
	if deadline <= w.leaseEnd {
		return
	}
	w.leaseEnd = deadline
	life := w.bootedAt
	time.AfterFunc(time.Duration(deadline-w.clock()+1)*time.Millisecond, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if !w.up || w.bootedAt != life || w.clock() < w.leaseEnd {
			return
		}
		for _, r := range w.runs {
			w.finish(r, "lapsed")
		}
	})
}

// hold extends the lease, forgets the ends that were seen, and lists what runs and what has ended. It unlocks the worker.
func (w *worker) hold(rw http.ResponseWriter, r *http.Request, o order) {
	if o.Deadline > 0 {
		w.extend(o.Deadline)
	}
	for len(w.ended) > 0 && w.ended[0].number <= o.LastSeen {
		w.ended = w.ended[1:]
	}
	changed, waits, life := w.changed, o.Wait > 0 && len(w.ended) == 0, w.bootedAt
	w.mu.Unlock()
	if waits {
		timer := time.NewTimer(time.Duration(min(o.Wait, 2000)) * time.Millisecond)
		defer timer.Stop()
		select {
		case <-changed:
		case <-timer.C:
		case <-r.Context().Done():
		}
	}
	w.mu.Lock()
	if !w.up || w.bootedAt != life {
		w.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	answer := w.answer("")
	for _, running := range w.runs {
		answer.Running = append(answer.Running, []any{running.task, running.number, "", 100, running.cpu})
	}
	for _, end := range w.ended[:min(len(w.ended), maxListedEnds)] {
		answer.Ended = append(answer.Ended, end.row)
	}
	w.mu.Unlock()
	send(rw, answer)
}
