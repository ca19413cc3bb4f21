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

var startTime = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// rightSeconds is how long a placing member may start tasks without a renewal of its right.
const rightSeconds = 8

// member is a placing member with its starter and the records that it has not made durable.
type member struct {
	starter *starter.Starter
	epoch   describer.Epoch
	paused  bool
	pending []committer.Record
	// unresolved are durable records whose confirmation by the store was lost.
	unresolved []committer.Record
	// retired is true when the right is no longer renewed.
	retired bool
	// sealed is true after a newer member has taken over.
	sealed bool
}

// simulation drives starters against fake backend servers and a fake store in virtual time.
type simulation struct {
	t                 *rapid.T
	now               time.Time
	backends          []*backend
	members           []*member
	durable           []committer.Record
	jobs              []describer.Job
	finished          map[describer.TaskID]committer.Outcome
	storeDown         bool
	lostCallResponses int
	// lostStoreResponses is how many of the next groups become durable without a confirmation.
	lostStoreResponses int
}

func newSimulation(t *rapid.T, servers int, jobs []describer.Job) *simulation {
	sim := &simulation{
		t: t, now: startTime, jobs: jobs,
		finished: make(map[describer.TaskID]committer.Outcome),
	}
	for i := range servers {
		sim.backends = append(sim.backends, &backend{
			BackendServer: describer.BackendServer{
				ID: describer.BackendServerID(fmt.Sprintf("server-%d", i)), State: describer.Live,
				Rack:     describer.RackID(fmt.Sprintf("rack-%d", i/2)),
				Capacity: describer.Resources{MilliCores: 4000, MemoryBytes: 4 << 30},
			},
			tasks: make(map[starter.Attempt]*runningTask), stopped: make(map[starter.Attempt]bool),
		})
	}
	sim.takeOver()
	return sim
}

func (sim *simulation) leader() *member { return sim.members[len(sim.members)-1] }

// takeOver starts a new placing member from the durable records after the right of the previous one has expired. Writes
// of the previous member are refused from then on.
func (sim *simulation) takeOver() {
	if len(sim.members) > 0 {
		old := sim.leader()
		old.retired = true
		for range 2 * rightSeconds {
			sim.step()
		}
		old.sealed = true
		old.pending, old.unresolved = nil, nil
	}
	m := &member{starter: starter.New(starter.WithLease(30 * time.Second)), epoch: describer.Epoch(len(sim.members) + 1)}
	sim.members = append(sim.members, m)
	sim.renewRight(m)
	sim.send(m, starter.ServersChanged{Servers: sim.list()})
	for _, j := range sim.jobs {
		sim.send(m, starter.TasksAssigned{Job: j, Count: j.Tasks})
	}
	last := make(map[describer.TaskID]committer.Record)
	for _, record := range sim.durable {
		last[record.Task] = record
	}
	var event starter.RecordsRecovered
	for _, record := range sim.durable {
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
	sim.send(m, event)
}

func (sim *simulation) renewRight(m *member) {
	if m.retired {
		return
	}
	until := sim.now.Add(rightSeconds * time.Second)
	sim.send(m, starter.PlacementRightChanged{Epoch: m.epoch, StartUntil: until, RenewUntil: until})
}

func (sim *simulation) list() []describer.BackendServer {
	var list []describer.BackendServer
	for _, b := range sim.backends {
		if b.State != describer.Gone {
			list = append(list, b.BackendServer)
		}
	}
	return list
}

func (sim *simulation) send(m *member, event starter.Event) {
	if m.paused {
		return
	}
	for _, command := range m.starter.Handle(sim.now, event) {
		sim.execute(m, command)
	}
}

// flush makes the pending records durable and confirms them. A lost confirmation is sent at a later flush.
func (sim *simulation) flush() {
	m := sim.leader()
	if sim.storeDown || m.paused {
		return
	}
	if len(m.unresolved) > 0 {
		records := m.unresolved
		m.unresolved = nil
		sim.send(m, starter.RecordsCommitted{Records: records})
		return
	}
	records := m.pending
	m.pending = nil
	sim.durable = append(sim.durable, records...)
	if sim.lostStoreResponses > 0 {
		sim.lostStoreResponses--
		m.unresolved = records
		return
	}
	if len(records) > 0 {
		sim.send(m, starter.RecordsCommitted{Records: records})
	}
}

// step advances the time by half a second, and lets the fake backend servers, the fake store and the members act.
func (sim *simulation) step() {
	sim.now = sim.now.Add(500 * time.Millisecond)
	for _, b := range sim.backends {
		for attempt, task := range b.tasks {
			if task.outcome == "" && !sim.now.Before(task.endsAt) {
				task.outcome = committer.Succeeded
			}
			if !sim.now.Before(task.leaseUntil) {
				delete(b.tasks, attempt)
				b.stopped[attempt] = true
			}
		}
	}
	sim.flush()
	for _, m := range sim.members {
		sim.renewRight(m)
		if at, ok := m.starter.NextDeadline(); ok && !sim.now.Before(at) {
			sim.send(m, starter.Ticked{})
		}
	}
	if sim.now.Sub(startTime)%(2*time.Second) == 0 {
		sim.report()
	}
	sim.check()
}

// useOf returns the actual use of a task, which is four fifths of its declared need.
func (sim *simulation) useOf(id describer.TaskID) describer.Resources {
	for _, j := range sim.jobs {
		if j.ID == id.Job {
			return describer.Resources{MilliCores: j.PerTask.MilliCores * 4 / 5, MemoryBytes: j.PerTask.MemoryBytes * 4 / 5}
		}
	}
	return describer.Resources{}
}

func (sim *simulation) report() {
	for _, b := range sim.backends {
		if b.partitioned || b.State == describer.Gone {
			continue
		}
		event := starter.ServerReported{Server: b.ID, SampledAt: sim.now}
		for attempt, task := range b.tasks {
			event.Tasks = append(event.Tasks, starter.TaskReport{
				Task: attempt.Task, Attempt: attempt.Number, Outcome: task.outcome, Used: sim.useOf(attempt.Task),
			})
		}
		slices.SortFunc(event.Tasks, func(a, b starter.TaskReport) int {
			return slices.Compare([]byte(a.Task.String()), []byte(b.Task.String()))
		})
		sim.respond(sim.leader(), event)
	}
}

// check asserts that no capacity is exceeded, no task runs twice, and no finished task runs.
func (sim *simulation) check() {
	places := make(map[describer.TaskID]describer.BackendServerID)
	for _, b := range sim.backends {
		sum := describer.Resources{}
		for attempt, task := range b.tasks {
			if task.outcome != "" {
				continue
			}
			sum = sum.Plus(sim.useOf(attempt.Task))
			if other, twice := places[attempt.Task]; twice {
				sim.t.Fatalf("%v: %v runs on %s and %s", sim.now.Sub(startTime), attempt.Task, other, b.ID)
			}
			places[attempt.Task] = b.ID
			if sim.finished[attempt.Task] != "" {
				sim.t.Fatalf("%v: finished %v runs on %s", sim.now.Sub(startTime), attempt.Task, b.ID)
			}
		}
		if !sum.Fits(b.Capacity) {
			sim.t.Fatalf("%v: %s runs %v of %v", sim.now.Sub(startTime), b.ID, sum, b.Capacity)
		}
	}
}

// runningOf counts the running tasks of a job.
func (sim *simulation) runningOf(id describer.JobID) int {
	count := 0
	for _, b := range sim.backends {
		for attempt, task := range b.tasks {
			if attempt.Task.Job == id && task.outcome == "" {
				count++
			}
		}
	}
	return count
}
