package conductor_test

import (
	"container/heap"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"egretring.example/egretring/conductor"
	"egretring.example/egretring/keeper"
	"egretring.example/egretring/lifecycler"
	"egretring.example/egretring/specifier"
)

const (
	linkDelay    = 500 * time.Microsecond
	commitDelay  = 5 * time.Millisecond
	orderTimeout = 600 * time.Millisecond
	tick         = 25 * time.Millisecond
	ticketLife   = 2 * time.Second
	takeoverTime = 1500 * time.Millisecond
	// predecessorCheckTime is how long a successor takes to find that the earlier owner has stopped.
	predecessorCheckTime = 50 * time.Millisecond
)

// simulation runs the owners of a cell's shards, their store and backend servers in virtual time, and checks the rules that hold at
// every moment. There is one shard unless a test adds more.
type simulation struct {
	t        *testing.T
	now      time.Time
	start    time.Time
	events   eventHeap
	sequence int
	random   *rand.Rand
	servers  map[specifier.ServerID]*fakeServer

	submitted []specifier.Job
	// jobs has the submitted jobs by their IDs.
	jobs      map[specifier.JobID]specifier.Job
	cancelled map[specifier.JobID]bool
	records   map[specifier.JobID]lifecycler.Record
	// encoded are the records of a simulation with quiet set, which decodes a record only when it is read.
	encoded map[specifier.JobID][]byte
	// revision counts the changes of the store.
	revision int64
	owners   []*simulatedOwner
	// shardOf returns the shard of a job, if there are several.
	shardOf        func(specifier.JobID) int
	transfers      map[specifier.ServerID]conductor.Transfer
	storeDownUntil time.Time
	// slowCommits is how much longer commits take, if it is set.
	slowCommits time.Duration
	// muteAdvisors are the advisors whose calls all fail before these times.
	muteAdvisors map[string]time.Time
	advisors     []string
	// grantOneIn is the number of servers of which the advice service admits one; zero admits all.
	grantOneIn int
	// grantPercent is the percentage of servers that the advice service admits to the steps of each priority, if it is set.
	grantPercent map[int]uint32
	// refusedUntilRestart makes the advice service refuse the servers that have not restarted.
	refusedUntilRestart bool
	// renamesServers makes servers come back under a new ID after a crash.
	renamesServers bool
	// entryLife is how long the entry of a server that has crashed stays in the list; on the platform it is three heartbeats.
	entryLife time.Duration
	// delaysCallsOverRestarts makes servers that restart carry out the calls that were sent to them while they were down.
	delaysCallsOverRestarts bool
	// carryOverSpread is by how much the times differ at which these calls are carried out.
	carryOverSpread time.Duration
	// breaksConnections makes callers notice at once that a server is down, instead of waiting for a response.
	breaksConnections bool
	// staleList makes the list show the last entry that a server wrote before it was cut off, for staleEntryTime.
	staleList bool
	// interceptStart takes a start order whose response is lost, if it is set and reports true, and interceptRenewal a renewal.
	// intercepted is for their use.
	interceptStart   func(s *fakeServer, o specifier.StartOrder, apply func()) bool
	interceptRenewal func(s *fakeServer, c conductor.Renew) bool
	intercepted      bool
	// listsCutServers keeps servers that are cut off in the list.
	listsCutServers bool
	// cutUntil is when tasks with one of the cutDelays stop being cut off.
	cutUntil time.Time
	// endsPerReport is how many ends of runs a server lists in a report.
	endsPerReport int
	// grantsDiffer makes the admitted servers of each step differ.
	grantsDiffer bool
	decisions    []string
	// quiet is set to record no decisions.
	quiet bool

	// runs are all runs that were started, to check that no task runs twice or after its end.
	runs   []*fakeRun
	runsOf map[specifier.TaskID][]*fakeRun
	// finished has the tasks that have ended as done, and acknowledged those of which the owner has acknowledged that
	// end.
	finished     map[specifier.TaskID]bool
	acknowledged map[specifier.TaskID]bool
	failures     map[specifier.TaskID]int
	// crashes counts the crashes that each task has caused, and startsAfterCrashes the starts since maxCrashes of them.
	crashes            map[specifier.TaskID]int
	startsAfterCrashes map[specifier.TaskID]int
	violations         []string
	starts, stops      int
	// voidTickets counts the starts that were refused because of a ticket for another incarnation.
	voidTickets int
	// lengthOf returns how long a run takes whose step has an estimate, if it is set.
	lengthOf func(specifier.TaskID, time.Duration) time.Duration
	// checkpointInterval is the time between two checkpoints of a run whose step saves any, if it is set, and restoreTime that of a restore.
	checkpointInterval, restoreTime time.Duration
	// movesStragglers makes the owners move tasks that are far behind.
	movesStragglers bool
	// stopTime is how long a run lasts that is being stopped.
	stopTime time.Duration
	// equalServers makes the owners treat all servers as equally fast.
	equalServers bool
	// forgetsSpeeds is set for a store that keeps no speeds.
	forgetsSpeeds bool
	// onAdvise is called with each advice call, if it is set.
	onAdvise func(conductor.Advise)
	// onDecision is called with each decision, if it is set.
	onDecision func(conductor.Decision)
	// onCommit is called with each commit, if it is set.
	onCommit func(conductor.Commit)
	// onRefuse is called with each command that states refusals, if it is set.
	onRefuse func(conductor.Refuse)
	// resignations counts the owners that resigned.
	resignations int
	// quota checks the limits of teams, if it is set.
	quota *quotaRule
}

type scheduledEvent struct {
	at       time.Time
	sequence int
	run      func()
}

type eventHeap []scheduledEvent

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].sequence < h[j].sequence
	}
	return h[i].at.Before(h[j].at)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(scheduledEvent)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

func newSimulation(t *testing.T, seed uint64, servers int) *simulation {
	w := &simulation{
		t: t, now: time.Unix(1_700_000_000, 0), random: rand.New(rand.NewPCG(seed, 7)),
		servers: make(map[specifier.ServerID]*fakeServer), cancelled: make(map[specifier.JobID]bool),
		records: make(map[specifier.JobID]lifecycler.Record), encoded: make(map[specifier.JobID][]byte), acknowledged: make(map[specifier.TaskID]bool),
		finished: make(map[specifier.TaskID]bool), runsOf: make(map[specifier.TaskID][]*fakeRun),
		failures: make(map[specifier.TaskID]int), crashes: make(map[specifier.TaskID]int),
		startsAfterCrashes: make(map[specifier.TaskID]int), revision: 9, muteAdvisors: make(map[string]time.Time),
		stopTime: defaultStopTime, advisors: []string{"a", "b", "c"}, endsPerReport: 500, owners: []*simulatedOwner{{}},
		jobs: make(map[specifier.JobID]specifier.Job), transfers: make(map[specifier.ServerID]conductor.Transfer),
	}
	w.start = w.now
	for i := range servers {
		w.addServer(specifier.ServerID(fmt.Sprintf("i-%02d", i)))
	}
	w.elect()
	w.every(tick, func() {
		for _, o := range w.owners {
			w.plan(o)
		}
	})
	w.every(300*time.Millisecond, func() {
		for _, o := range w.owners {
			w.list(o)
		}
	})
	return w
}

func (w *simulation) at(at time.Time, run func()) {
	w.sequence++
	heap.Push(&w.events, scheduledEvent{at: at, sequence: w.sequence, run: run})
}

func (w *simulation) after(delay time.Duration, run func()) {
	w.at(w.now.Add(delay), run)
}

func (w *simulation) every(interval time.Duration, run func()) {
	w.after(interval, func() {
		run()
		w.every(interval, run)
	})
}

func (w *simulation) runUntil(offset time.Duration) {
	end := w.start.Add(offset)
	for len(w.events) > 0 && !w.events[0].at.After(end) {
		next := heap.Pop(&w.events).(scheduledEvent)
		w.now = next.at
		next.run()
	}
	w.now = end
}

func (w *simulation) violate(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("%7.3f s: ", w.now.Sub(w.start).Seconds())+fmt.Sprintf(format, args...))
}

func (w *simulation) execute(epoch int64, command conductor.Command) {
	switch c := command.(type) {
	case conductor.Commit:
		if w.onCommit != nil {
			w.onCommit(c)
		}
		w.commit(epoch, c)
	case conductor.Start:
		w.quota.sent(w, c.Order)
		if s := w.servers[c.Server.ID]; w.interceptStart != nil && w.interceptStart(s, c.Order, func() { s.startRun(w, c) }) {
			w.after(orderTimeout, func() {
				w.deliver(epoch, conductor.OrderEnded{
					Server: c.Server.ID, Incarnation: c.Server.Incarnation, Task: c.Order.Task, Run: c.Order.Run,
					Fence: c.Order.Fence, Result: specifier.OrderUnknown,
				})
			})
			return
		}
		w.servers[c.Server.ID].sendOrder(w, epoch, func(s *fakeServer) specifier.OrderResult { return s.startRun(w, c) },
			func(reply specifier.OrderReply) {
				w.deliver(epoch, conductor.OrderEnded{
					Server: c.Server.ID, Incarnation: c.Server.Incarnation, Task: c.Order.Task, Run: c.Order.Run,
					Fence: c.Order.Fence, Result: reply.Result, Clock: reply.Clock, HasClock: reply.HasClock,
				})
			})
	case conductor.Stop:
		w.stops++
		w.servers[c.Server.ID].sendOrder(w, epoch, func(s *fakeServer) specifier.OrderResult { return s.stopRun(w, c) },
			func(reply specifier.OrderReply) {
				w.deliver(epoch, conductor.OrderEnded{
					Server: c.Server.ID, Incarnation: c.Server.Incarnation, Task: c.Task, Run: c.Run,
					Fence: c.Fence, Stop: true, Result: reply.Result,
				})
			})
	case conductor.Renew:
		if s := w.servers[c.Server.ID]; w.interceptRenewal != nil && w.interceptRenewal(s, c) {
			sentAt := w.now
			w.after(c.Wait+orderTimeout, func() {
				w.deliver(epoch, conductor.RenewEnded{
					Server: c.Server.ID, Incarnation: c.Server.Incarnation, Sequence: c.Sequence, Fence: c.Fence,
					Acknowledged: c.Acknowledged, SentAt: sentAt, Result: specifier.OrderUnknown,
				})
			})
			return
		}
		w.servers[c.Server.ID].respondToRenewal(w, epoch, c)
	case conductor.Advise:
		sentAt := w.now
		if w.onAdvise != nil {
			w.onAdvise(c)
		}
		if w.now.Before(w.muteAdvisors[c.Advisor]) {
			w.after(c.Timeout, func() {
				w.deliver(epoch, conductor.Advised{Step: c.Step, Advisor: c.Advisor, Servers: c.Servers, SentAt: sentAt, Failed: true})
			})
			return
		}
		var grants []specifier.Grant
		for _, id := range c.Servers {
			if !w.refuses(c.Step, id) {
				grants = append(grants, specifier.Grant{Server: id, Ticket: w.servers[id].ticket()})
			}
		}
		w.after(c.ExpectedTime, func() {
			w.deliver(epoch, conductor.Advised{
				Step: c.Step, Advisor: c.Advisor, Servers: c.Servers, Incarnations: c.Incarnations, SentAt: sentAt, Grants: grants,
				ValidUntil: w.now.Add(ticketLife),
			})
		})
	case conductor.Decision:
		if w.onDecision != nil {
			w.onDecision(c)
		}
		w.trace(epoch, c)
	case conductor.RecordSpeeds:
		if o := w.ownerIn(epoch); o != nil && !w.forgetsSpeeds {
			o.speeds = c.Speeds
		}
	case conductor.Refuse:
		if w.onRefuse != nil {
			w.onRefuse(c)
		}
	case conductor.Borrow:
		w.borrow(c)
	case conductor.Move:
		w.move(epoch, c)
	case conductor.Resign:
		w.resignations++
		w.loseOwnerOf(w.ownerIn(epoch))
	}
}

// refuses reports whether the advice service refuses a server for a step.
func (w *simulation) refuses(step specifier.StepID, id specifier.ServerID) bool {
	if w.refusedUntilRestart {
		return w.servers[id].server.Incarnation == w.start.UnixMilli()
	}
	if w.grantsDiffer {
		h := fnv.New32a()
		_, _ = h.Write([]byte(step.String() + string(id)))
		if w.grantPercent != nil {
			return h.Sum32()%100 >= w.grantPercent[w.jobOf(step.Job).Queue.Priority]
		}
		return h.Sum32()%uint32(w.grantOneIn) != 0
	}
	var number int
	if _, err := fmt.Sscanf(string(id), "i-%d", &number); err != nil {
		w.t.Fatalf("server %s has no number: %v", id, err)
	}
	return w.grantOneIn > 0 && number%w.grantOneIn != 0
}

// commit applies records once the store is up, unless the ownership has changed by then.
func (w *simulation) commit(epoch int64, c conductor.Commit) {
	w.after(commitDelay+w.slowCommits, func() {
		if w.ownerIn(epoch) == nil {
			return
		}
		if w.now.Before(w.storeDownUntil) {
			w.at(w.storeDownUntil, func() { w.commit(epoch, c) })
			return
		}
		if slices.ContainsFunc(c.Changes, func(change conductor.Change) bool { return len(change.Value) > keeper.MaxValueBytes }) {
			w.violate("STORE: a record is larger than a value of the store, and the write is never confirmed")
			return
		}
		for _, change := range c.Changes {
			if w.quiet {
				w.encoded[change.Job] = change.Value
				continue
			}
			record, err := lifecycler.DecodeRecord(change.Value)
			if err != nil {
				w.t.Fatalf("decode record: %v", err)
			}
			w.records[change.Job] = record
		}
		w.deliver(epoch, conductor.CommitEnded{Lane: c.Lane})
	})
}

// record returns the record of a job in the store.
func (w *simulation) record(id specifier.JobID) lifecycler.Record {
	if value, ok := w.encoded[id]; ok {
		record, err := lifecycler.DecodeRecord(value)
		if err != nil {
			w.t.Fatalf("decode record: %v", err)
		}
		return record
	}
	return w.records[id]
}

func (w *simulation) submit(job specifier.Job) {
	job.AcceptedAt = w.now
	w.submitted = append(w.submitted, job)
	w.jobs[job.ID] = job
	w.deliver(w.ownerOf(job.ID).epoch, conductor.JobArrived{Job: job})
}

func (w *simulation) cancelJob(id specifier.JobID) {
	w.cancelled[id] = true
	w.deliver(w.ownerOf(id).epoch, conductor.JobCancelled{Job: id})
}

func (w *simulation) state(id specifier.JobID) specifier.JobState {
	stateMachine := w.ownerOf(id).stateMachine
	if stateMachine == nil {
		return w.record(id).State
	}
	state, _ := stateMachine.State(id)
	return state
}

// trace records a decision; TestRandomFaults logs the decisions when it fails.
func (w *simulation) trace(epoch int64, c conductor.Decision) {
	if w.quiet {
		return
	}
	w.decisions = append(w.decisions, fmt.Sprintf("%7.3f s: epoch %d %s %s run %d on %s %s", w.now.Sub(w.start).Seconds(),
		epoch, c.Name, c.Task, c.Run, c.Server, c.Detail))
}
