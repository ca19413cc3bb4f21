package conductor_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"egretring.example/egretring/conductor"
	"egretring.example/egretring/lifecycler"
	"egretring.example/egretring/specifier"
)

const (
	linkDelay    = 500 * time.Microsecond
	commitDelay  = 5 * time.Millisecond
	orderTimeout = 600 * time.Millisecond
	tick         = 25 * time.Millisecond
	takeoverTime = 1500 * time.Millisecond
	// askTime is how long a successor takes to find that the earlier owner has stopped.
	askTime = 50 * time.Millisecond
)

// world plays an owner, its store and backend servers in virtual time, and checks the rules that hold at every moment.
type world struct {
	t       *testing.T
	now     time.Time
	start   time.Time
	events  eventHeap
	order   int
	random  *rand.Rand
	servers map[specifier.ServerID]*fakeServer

	submitted []specifier.Job
	cancelled map[specifier.JobID]bool
	records   map[specifier.JobID]lifecycler.Record
	epoch     int64
	core      *conductor.Conductor
	storeDown time.Time
	// muteAdvisors make no calls before these times.
	muteAdvisors map[string]time.Time
	advisors     []string
	// grantOneIn is the number of servers of which advice admits one; zero admits all.
	grantOneIn int
	planned    bool
	decisions  []string

	// runs are all runs that were begun, to check that no task runs twice or after its end.
	runs []*fakeRun
	// finished tasks have ended as done; done ones have had that end acknowledged.
	finished map[specifier.TaskID]bool
	done     map[specifier.TaskID]bool
	failures map[specifier.TaskID]int
	broken   []string
	starts   int
	// resignations counts the owners that gave up.
	resignations int
}

type scheduled struct {
	at    time.Time
	order int
	run   func()
}

type eventHeap []scheduled

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].order < h[j].order
	}
	return h[i].at.Before(h[j].at)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(scheduled)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

func newWorld(t *testing.T, seed uint64, servers int) *world {
	w := &world{
		t: t, now: time.Unix(1_700_000_000, 0), random: rand.New(rand.NewPCG(seed, 7)),
		servers: make(map[specifier.ServerID]*fakeServer), cancelled: make(map[specifier.JobID]bool),
		records: make(map[specifier.JobID]lifecycler.Record), done: make(map[specifier.TaskID]bool),
		finished: make(map[specifier.TaskID]bool),
		failures: make(map[specifier.TaskID]int), epoch: 9, muteAdvisors: make(map[string]time.Time),
		advisors: []string{"a", "b", "c"},
	}
	w.start = w.now
	for i := range servers {
		w.addServer(specifier.ServerID(fmt.Sprintf("i-%02d", i)))
	}
	w.elect()
	w.every(tick, func() { w.plan() })
	w.every(300*time.Millisecond, func() { w.list() })
	return w
}

func (w *world) at(at time.Time, run func()) {
	w.order++
	heap.Push(&w.events, scheduled{at: at, order: w.order, run: run})
}

func (w *world) after(delay time.Duration, run func()) {
	w.at(w.now.Add(delay), run)
}

func (w *world) every(interval time.Duration, run func()) {
	w.after(interval, func() {
		run()
		w.every(interval, run)
	})
}

func (w *world) runUntil(offset time.Duration) {
	end := w.start.Add(offset)
	for len(w.events) > 0 && !w.events[0].at.After(end) {
		next := heap.Pop(&w.events).(scheduled)
		w.now = next.at
		next.run()
	}
	w.now = end
}

func (w *world) breakRule(format string, args ...any) {
	w.broken = append(w.broken, fmt.Sprintf("%7.3f s: ", w.now.Sub(w.start).Seconds())+fmt.Sprintf(format, args...))
}

// elect makes a new owner that reads everything from the store.
func (w *world) elect() {
	w.epoch++
	w.core = conductor.New(w.now, w.epoch, conductor.WithMaximumLease(10*time.Second))
	w.core.Handle(w.now, conductor.AdvisorsChanged{Advisors: w.advisors})
	w.list()
	for _, job := range w.submitted {
		restored, err := lifecycler.Restore(job, w.records[job.ID])
		if err != nil {
			w.t.Fatalf("restore job %s: %v", job.ID, err)
		}
		w.core.Restore(w.now, restored)
	}
	for id := range w.cancelled {
		w.core.Handle(w.now, conductor.JobCancelled{Job: id})
	}
	w.plan()
}

// loseOwner ends the owner; another one follows.
func (w *world) loseOwner() {
	w.core = nil
	w.epoch++
	w.after(takeoverTime, w.elect)
}

// crashOwner ends the owner; the one that follows learns that it has stopped.
func (w *world) crashOwner() {
	w.loseOwner()
	epoch := w.epoch + 1
	w.after(takeoverTime+askTime, func() { w.tell(epoch, conductor.PredecessorsStopped{}) })
}

func (w *world) list() {
	var listed []specifier.Server
	for _, s := range w.servers {
		if s.listed(w) {
			listed = append(listed, s.server)
		}
	}
	w.tell(w.epoch, conductor.ServersListed{Servers: listed})
}

// tell hands an event to the owner of an epoch, if it is still the owner.
func (w *world) tell(epoch int64, event conductor.Event) {
	if w.core == nil || epoch != w.epoch {
		return
	}
	w.core.Handle(w.now, event)
	w.plan()
}

func (w *world) plan() {
	if w.core == nil {
		return
	}
	epoch := w.epoch
	for _, command := range w.core.Plan(w.now) {
		w.execute(epoch, command)
	}
	if w.core == nil {
		return
	}
	if next, due := w.core.NextPlan(); due && !w.planned {
		w.planned = true
		if earliest := w.now.Add(time.Millisecond); next.Before(earliest) {
			next = earliest
		}
		w.at(next, func() {
			w.planned = false
			w.plan()
		})
	}
}

func (w *world) execute(epoch int64, command conductor.Command) {
	switch c := command.(type) {
	case conductor.Commit:
		w.commit(epoch, c)
	case conductor.Start:
		w.servers[c.Server.ID].order(w, epoch, func(s *fakeServer) specifier.OrderResult { return s.startRun(w, c) },
			func(result specifier.OrderResult) {
				w.tell(epoch, conductor.OrderEnded{
					Server: c.Server.ID, Born: c.Server.Born, Task: c.Order.Task, Run: c.Order.Run, Fence: c.Order.Fence,
					Result: result,
				})
			})
	case conductor.Stop:
		w.servers[c.Server.ID].order(w, epoch, func(s *fakeServer) specifier.OrderResult { return s.stopRun(w, c) },
			func(result specifier.OrderResult) {
				w.tell(epoch, conductor.OrderEnded{
					Server: c.Server.ID, Born: c.Server.Born, Task: c.Task, Run: c.Run, Fence: c.Fence, Stop: true, Result: result,
				})
			})
	case conductor.Hold:
		w.servers[c.Server.ID].hold(w, epoch, c)
	case conductor.Advise:
		if w.now.Before(w.muteAdvisors[c.Advisor]) {
			w.after(c.Timeout, func() {
				w.tell(epoch, conductor.Advised{Step: c.Step, Advisor: c.Advisor, Servers: c.Servers, Failed: true})
			})
			return
		}
		w.after(c.ExpectedTime, func() {
			var grants []specifier.Grant
			for _, id := range c.Servers {
				if w.refuses(id) {
					continue
				}
				grants = append(grants, specifier.Grant{Server: id, Ticket: "t"})
			}
			w.tell(epoch, conductor.Advised{
				Step: c.Step, Advisor: c.Advisor, Servers: c.Servers, Grants: grants, ValidUntil: w.now.Add(2 * time.Second),
			})
		})
	case conductor.Decision:
		w.trace(c)
	case conductor.Resign:
		w.resignations++
		w.loseOwner()
	}
}

// refuses reports whether advice keeps a server from running any step.
func (w *world) refuses(id specifier.ServerID) bool {
	var number int
	if _, err := fmt.Sscanf(string(id), "i-%d", &number); err != nil {
		w.t.Fatalf("server %s has no number: %v", id, err)
	}
	return w.grantOneIn > 0 && number%w.grantOneIn != 0
}

// commit applies records once the store is up, unless another owner was elected before.
func (w *world) commit(epoch int64, c conductor.Commit) {
	w.after(commitDelay, func() {
		if epoch != w.epoch {
			return
		}
		if w.now.Before(w.storeDown) {
			w.at(w.storeDown, func() { w.commit(epoch, c) })
			return
		}
		for _, change := range c.Changes {
			record, err := lifecycler.DecodeRecord(change.Value)
			if err != nil {
				w.t.Fatalf("decode record: %v", err)
			}
			w.records[change.Job] = record
		}
		w.tell(epoch, conductor.CommitEnded{Lane: c.Lane})
	})
}

func (w *world) submit(job specifier.Job) {
	job.AcceptedAt = w.now
	w.submitted = append(w.submitted, job)
	w.tell(w.epoch, conductor.JobArrived{Job: job})
}

func (w *world) cancelJob(id specifier.JobID) {
	w.cancelled[id] = true
	w.tell(w.epoch, conductor.JobCancelled{Job: id})
}

func (w *world) state(id specifier.JobID) specifier.JobState {
	if w.core == nil {
		return w.records[id].State
	}
	state, _ := w.core.State(id)
	return state
}

// trace prints the decisions about a job when the test fails.
func (w *world) trace(c conductor.Decision) {
	w.decisions = append(w.decisions, fmt.Sprintf("%7.3f s: epoch %d %s %s run %d on %s %s", w.now.Sub(w.start).Seconds(),
		w.epoch, c.Name, c.Task, c.Run, c.Server, c.Detail))
}
