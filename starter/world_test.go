package starter_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"egretring.example/egretring/committer"
	"egretring.example/egretring/describer"
	"egretring.example/egretring/starter"
	"egretring.example/egretring/tester"
)

func TestMain(m *testing.M) { tester.Main(m) }

var began = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// rightSeconds is how long a placing member may start tasks without a renewal of its right.
const rightSeconds = 8

// member is a placing member with its starter and the records that it has not made durable.
type member struct {
	core    *starter.Starter
	epoch   describer.Epoch
	paused  bool
	pending []committer.Record
	// unresolved are durable records whose answer was lost.
	unresolved []committer.Record
	// retired is true when the right is no longer renewed.
	retired bool
	// sealed is true after a newer member has taken over.
	sealed bool
}

// world drives starters against fake backend servers and a fake store in virtual time.
type world struct {
	t        *rapid.T
	now      time.Time
	backends []*backend
	members  []*member
	durable  []committer.Record
	jobs     []describer.Job
	finished map[describer.TaskID]committer.Outcome
	storeOff bool
	loseCall int
	// loseStore is how many of the next groups become durable without an answer.
	loseStore int
}

func newWorld(t *rapid.T, servers int, jobs []describer.Job) *world {
	w := &world{
		t: t, now: began, jobs: jobs,
		finished: make(map[describer.TaskID]committer.Outcome),
	}
	for i := range servers {
		w.backends = append(w.backends, &backend{
			BackendServer: describer.BackendServer{
				ID: describer.BackendServerID(fmt.Sprintf("server-%d", i)), State: describer.Live,
				Rack:     describer.RackID(fmt.Sprintf("rack-%d", i/2)),
				Capacity: describer.Resources{MilliCores: 4000, MemoryBytes: 4 << 30},
			},
			tasks: make(map[starter.Attempt]*runningTask), stopped: make(map[starter.Attempt]bool),
		})
	}
	w.takeOver()
	return w
}

func (w *world) leader() *member { return w.members[len(w.members)-1] }

// takeOver starts a new placing member from the durable records after the right of the one before has expired. The
// writes of the member before are refused from then on.
func (w *world) takeOver() {
	if len(w.members) > 0 {
		old := w.leader()
		old.retired = true
		for range 2 * rightSeconds {
			w.step()
		}
		old.sealed = true
		old.pending, old.unresolved = nil, nil
	}
	m := &member{core: starter.New(starter.WithLease(30 * time.Second)), epoch: describer.Epoch(len(w.members) + 1)}
	w.members = append(w.members, m)
	w.grant(m)
	w.send(m, starter.ServersChanged{Servers: w.list()})
	for _, j := range w.jobs {
		w.send(m, starter.TasksAssigned{Job: j, Count: j.Tasks})
	}
	last := make(map[describer.TaskID]committer.Record)
	for _, record := range w.durable {
		last[record.Task] = record
	}
	var event starter.RecordsRecovered
	for _, record := range w.durable {
		if last[record.Task] != record {
			continue
		}
		if record.Kind == committer.Ended && record.Outcome.IsFinal() {
			event.Finished = append(event.Finished, committer.Finished{
				Job: record.Task.Job, First: record.Task.Index, Count: 1, Outcome: record.Outcome,
			})
			continue
		}
		event.Records = append(event.Records, record)
	}
	w.send(m, event)
}

func (w *world) grant(m *member) {
	if m.retired {
		return
	}
	until := w.now.Add(rightSeconds * time.Second)
	w.send(m, starter.RightChanged{Epoch: m.epoch, StartUntil: until, RenewUntil: until})
}

func (w *world) list() []describer.BackendServer {
	var list []describer.BackendServer
	for _, b := range w.backends {
		if b.State != describer.Gone {
			list = append(list, b.BackendServer)
		}
	}
	return list
}

func (w *world) send(m *member, event starter.Event) {
	if m.paused {
		return
	}
	for _, command := range m.core.Handle(w.now, event) {
		w.obey(m, command)
	}
}

// flush makes the pending records durable and answers. A lost answer is resolved at a later flush.
func (w *world) flush() {
	m := w.leader()
	if w.storeOff || m.paused {
		return
	}
	if len(m.unresolved) > 0 {
		records := m.unresolved
		m.unresolved = nil
		w.send(m, starter.RecordsCommitted{Records: records})
		return
	}
	records := m.pending
	m.pending = nil
	w.durable = append(w.durable, records...)
	if w.loseStore > 0 {
		w.loseStore--
		m.unresolved = records
		return
	}
	if len(records) > 0 {
		w.send(m, starter.RecordsCommitted{Records: records})
	}
}

// step moves the time on by half a second.
func (w *world) step() {
	w.now = w.now.Add(500 * time.Millisecond)
	for _, b := range w.backends {
		for attempt, task := range b.tasks {
			if task.outcome == "" && !w.now.Before(task.endsAt) {
				task.outcome = committer.Succeeded
			}
			if !w.now.Before(task.leaseUntil) {
				delete(b.tasks, attempt)
				b.stopped[attempt] = true
			}
		}
	}
	w.flush()
	for _, m := range w.members {
		w.grant(m)
		if at, ok := m.core.NextDeadline(); ok && !w.now.Before(at) {
			w.send(m, starter.Ticked{})
		}
	}
	if w.now.Sub(began)%(2*time.Second) == 0 {
		w.report()
	}
	w.check()
}

// useOf is the real use of a task, four fifths of its declared size.
func (w *world) useOf(id describer.TaskID) describer.Resources {
	for _, j := range w.jobs {
		if j.ID == id.Job {
			return describer.Resources{MilliCores: j.PerTask.MilliCores * 4 / 5, MemoryBytes: j.PerTask.MemoryBytes * 4 / 5}
		}
	}
	return describer.Resources{}
}

func (w *world) report() {
	for _, b := range w.backends {
		if b.partitioned || b.State == describer.Gone {
			continue
		}
		event := starter.ServerReported{Server: b.ID, SampledAt: w.now}
		for attempt, task := range b.tasks {
			event.Tasks = append(event.Tasks, starter.TaskReport{
				Task: attempt.Task, Attempt: attempt.Number, Outcome: task.outcome, Used: w.useOf(attempt.Task),
			})
		}
		slices.SortFunc(event.Tasks, func(a, b starter.TaskReport) int {
			return slices.Compare([]byte(a.Task.String()), []byte(b.Task.String()))
		})
		w.answer(w.leader(), event)
	}
}

// check asserts that no capacity is exceeded and no task runs twice.
func (w *world) check() {
	places := make(map[describer.TaskID]describer.BackendServerID)
	for _, b := range w.backends {
		sum := describer.Resources{}
		for attempt, task := range b.tasks {
			if task.outcome != "" {
				continue
			}
			sum = sum.Plus(w.useOf(attempt.Task))
			if other, twice := places[attempt.Task]; twice {
				w.t.Fatalf("%v: %v runs on %s and %s", w.now.Sub(began), attempt.Task, other, b.ID)
			}
			places[attempt.Task] = b.ID
			if w.finished[attempt.Task] != "" {
				w.t.Fatalf("%v: finished %v runs on %s", w.now.Sub(began), attempt.Task, b.ID)
			}
		}
		if !sum.Fits(b.Capacity) {
			w.t.Fatalf("%v: %s runs %v of %v", w.now.Sub(began), b.ID, sum, b.Capacity)
		}
	}
}

// runningOf counts the running tasks of a job.
func (w *world) runningOf(id describer.JobID) int {
	count := 0
	for _, b := range w.backends {
		for attempt, task := range b.tasks {
			if attempt.Task.Job == id && task.outcome == "" {
				count++
			}
		}
	}
	return count
}
