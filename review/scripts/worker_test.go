//go:build review

package scripts

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	heartbeat = 1500 * time.Millisecond
	// maxEnds, holdMax and stopTime are limits of PROTOCOL.md and of the bounds of a small deployment.
	maxEnds  = 500
	holdMax  = 10 * time.Second
	stopTime = 100 * time.Millisecond
)

// Run is a run of a task on a worker, as the worker saw it.
type Run struct {
	Task     string
	Number   int
	Spec     string
	Worker   string
	Started  time.Time
	Ended    time.Time
	How      string
	Seen     time.Time
	Excused  bool
	number   int64
	finished bool
}

// Capacity is what a worker has.
type Capacity struct {
	CPU    int64 `json:"cpu"`
	Memory int64 `json:"mem_mb"`
	GPU    int64 `json:"gpu"`
}

// Worker is a stand-in for one machine of the platform that runs tasks.
type Worker struct {
	ID       string
	Zone     string
	Labels   []string
	Capacity Capacity
	Cell     *Cell

	address string

	mu       sync.Mutex
	listener net.Listener
	server   *http.Server
	up       bool
	cut      bool
	life     int
	born     time.Time
	fence    int64
	leaseEnd int64
	lapsedAt time.Time
	runs     map[string]*Run
	highest  map[string]int
	ended    []*Run
	lastEnd  int64
	sequence int
	changed  chan struct{}
}

// Start begins a life of the worker at its address, and registers it.
func (w *Worker) Start() error {
	address := w.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.address, w.listener = listener.Addr().String(), listener
	w.up, w.born = true, time.Now()
	w.life++
	w.fence, w.leaseEnd, w.lastEnd, w.sequence = 0, 0, 0, 0
	w.lapsedAt = time.Time{}
	w.runs, w.highest, w.ended = make(map[string]*Run), make(map[string]int), nil
	w.changed = make(chan struct{})
	w.server = &http.Server{Handler: w}
	life, server := w.life, w.server
	w.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	go w.live(life)
	return nil
}

// Crash ends the life of the worker: its connections are reset and everything on it is gone.
func (w *Worker) Crash() {
	w.mu.Lock()
	w.up = false
	for _, r := range w.runs {
		r.finished, r.Ended, r.How = true, time.Now(), "crash"
	}
	w.runs = make(map[string]*Run)
	server := w.server
	w.mu.Unlock()
	_ = server.Close()
	w.Cell.Record("worker %s crashes", w.ID)
}

// SetCut begins or ends a cut: the worker runs on, but no call reaches it, none of its answers arrives, and it can't write to the
// store.
func (w *Worker) SetCut(cut bool) {
	w.mu.Lock()
	w.cut = cut
	w.mu.Unlock()
	if cut {
		w.Cell.Record("worker %s is cut off", w.ID)
	} else {
		w.Cell.Record("worker %s can be reached again", w.ID)
	}
}

func (w *Worker) isCut() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cut
}

// live registers the worker and ends its runs when its lease lapses, for one life.
func (w *Worker) live(life int) {
	var written time.Time
	for {
		w.mu.Lock()
		if !w.up || w.life != life {
			w.mu.Unlock()
			return
		}
		if w.leaseEnd > 0 && w.clock() >= w.leaseEnd {
			w.lapsedAt = time.Now()
			for _, r := range w.runs {
				w.end(r, "lapsed")
			}
		}
		var entry map[string]any
		if time.Since(written) >= heartbeat && !w.cut {
			w.sequence++
			entry = map[string]any{
				"service": w.Cell.Service, "address": w.address, "zone": w.Zone, "version": "v1", "slots": 8,
				"state": "ready", "cold_remaining_ms": 0, "capacity": w.Capacity, "labels": w.Labels,
				"clock_ms": w.clock(), "born": w.born.UnixMilli(), "sequence": w.sequence,
			}
		}
		w.mu.Unlock()
		if entry != nil && !w.Cell.Store.isDown() {
			w.Cell.Store.Put("servers/"+w.ID, entry, 3*heartbeat)
			written = time.Now()
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (w *Worker) clock() int64 {
	return time.Since(w.born).Milliseconds() + 1
}

// end ends a run. The caller holds the lock.
func (w *Worker) end(r *Run, how string) {
	if r.finished {
		return
	}
	w.lastEnd++
	r.finished, r.Ended, r.How, r.number = true, time.Now(), how, w.lastEnd
	delete(w.runs, r.Task)
	w.ended = append(w.ended, r)
	close(w.changed)
	w.changed = make(chan struct{})
	w.Cell.Record("end   %s run %d on %s: %s", r.Task, r.Number, w.ID, how)
}

type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	Fence    int64  `json:"fence"`
	LeaseEnd int64  `json:"deadline_ms"`
	LastSeen int64  `json:"last_seen"`
	Wait     int64  `json:"wait_ms"`
}

// ServeHTTP implements http.Handler.
func (w *Worker) ServeHTTP(out http.ResponseWriter, in *http.Request) {
	if w.isCut() {
		<-in.Context().Done()
		return
	}
	if in.URL.Path == "/health" {
		out.Header().Set("X-Instance-Id", w.ID)
		return
	}
	if in.Header.Get("X-Expect-Instance") != w.ID {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var o order
	if json.NewDecoder(in.Body).Decode(&o) != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	life := w.life
	if !w.up {
		w.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if o.Fence < w.fence {
		body := map[string]any{"clock_ms": w.clock(), "born": w.born.UnixMilli(), "reason": "fence"}
		w.mu.Unlock()
		reply(out, http.StatusConflict, body)
		return
	}
	w.fence = o.Fence
	reason := ""
	switch in.URL.Path {
	case "/run-start":
		reason = w.start(o)
	case "/run-stop":
		w.stop(o)
	case "/hold":
		w.mu.Unlock()
		w.hold(out, in, o, life)
		return
	}
	body := map[string]any{"clock_ms": w.clock(), "born": w.born.UnixMilli()}
	w.mu.Unlock()
	if reason != "" {
		body["reason"] = reason
		reply(out, http.StatusConflict, body)
		return
	}
	reply(out, http.StatusOK, body)
}

func (w *Worker) renew(end int64) {
	end = min(end, w.clock()+holdMax.Milliseconds())
	w.leaseEnd = max(w.leaseEnd, end)
}

func (w *Worker) start(o order) string {
	if o.LeaseEnd <= w.clock() {
		return "late"
	}
	w.renew(o.LeaseEnd)
	if r := w.runs[o.Task]; r != nil && r.Number == o.Run {
		return ""
	}
	if o.Run <= w.highest[o.Task] {
		return "old"
	}
	w.highest[o.Task] = o.Run
	r := &Run{Task: o.Task, Number: o.Run, Spec: o.Spec, Worker: w.ID, Started: time.Now()}
	w.runs[o.Task] = r
	w.Cell.Record("start %s run %d on %s", r.Task, r.Number, w.ID)
	w.Cell.started(w, r)
	if lasts, how := w.Cell.Work(r); lasts > 0 {
		life := w.life
		time.AfterFunc(lasts, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.life == life && w.up {
				w.end(r, how)
			}
		})
	}
	return ""
}

func (w *Worker) stop(o order) {
	w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	r := w.runs[o.Task]
	if r == nil || r.Number > o.Run {
		return
	}
	time.AfterFunc(stopTime, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.runs[o.Task] == r {
			w.end(r, "stopped")
		}
	})
}

func (w *Worker) hold(out http.ResponseWriter, in *http.Request, o order, life int) {
	w.mu.Lock()
	if o.LeaseEnd > 0 {
		w.renew(o.LeaseEnd)
	}
	for len(w.ended) > 0 && w.ended[0].number <= o.LastSeen {
		r := w.ended[0]
		r.Seen, r.Excused = time.Now(), w.lapsedAt.After(r.Ended)
		w.ended = w.ended[1:]
	}
	changed, waits := w.changed, o.Wait > 0 && len(w.ended) == 0
	w.mu.Unlock()
	if waits {
		timer := time.NewTimer(time.Duration(min(o.Wait, 2000)) * time.Millisecond)
		defer timer.Stop()
		select {
		case <-changed:
		case <-timer.C:
		case <-in.Context().Done():
		}
	}
	w.mu.Lock()
	if !w.up || w.life != life {
		w.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if w.cut {
		w.mu.Unlock()
		<-in.Context().Done()
		return
	}
	running, ended := [][]any{}, [][]any{}
	for _, r := range w.runs {
		running = append(running, []any{r.Task, r.Number, "", 100, 0})
	}
	for _, r := range w.ended[:min(len(w.ended), maxEnds)] {
		ended = append(ended, []any{r.number, r.Task, r.Number, r.How, ""})
	}
	body := map[string]any{"clock_ms": w.clock(), "born": w.born.UnixMilli(), "running": running, "ended": ended}
	w.mu.Unlock()
	reply(out, http.StatusOK, body)
}

// String names the worker.
func (w *Worker) String() string { return fmt.Sprintf("worker %s", w.ID) }
