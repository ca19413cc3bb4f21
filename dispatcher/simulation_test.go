package dispatcher_test

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/dispatcher"
)

const (
	// longRun is the run time from which a load of a scenario counts as long.
	longRun = 500 * time.Millisecond
	// warmUp is enough time to learn the run times and to end the long work that was started before they were learned.
	warmUp = 8 * time.Second
)

// load describes the requests of one kind in a simulation.
type load struct {
	kind    describer.KindID
	class   describer.Class
	run     time.Duration
	rate    float64
	timeout time.Duration
}

// scenario describes a simulation in virtual time on servers with four owned slots each.
type scenario struct {
	servers int
	length  time.Duration
	loads   []load
	// stragglers is the share of runs that take 20 to 100 times as long.
	stragglers float64
	// factor returns the multiplier of the arrival rates at a time since the start.
	factor func(time.Duration) float64
	// fails is the server that fails every attempt within a millisecond.
	fails describer.BackendServerID
	// hangs is the server that responds to no attempt before its deadline.
	hangs describer.BackendServerID
}

// simulatedEvent is a future event of a simulation.
type simulatedEvent struct {
	at    time.Time
	event dispatcher.Event
	load  int
}

type eventQueue []simulatedEvent

func (f eventQueue) Len() int           { return len(f) }
func (f eventQueue) Less(i, j int) bool { return f[i].at.Before(f[j].at) }
func (f eventQueue) Swap(i, j int)      { f[i], f[j] = f[j], f[i] }
func (f *eventQueue) Push(x any)        { *f = append(*f, x.(simulatedEvent)) }
func (f *eventQueue) Pop() any {
	last := (*f)[len(*f)-1]
	*f = (*f)[:len(*f)-1]
	return last
}

// result holds the outcomes of the requests of one load.
type result struct {
	waits    []time.Duration
	arrived  int
	answered int
	refused  int
	late     int
	other    int
}

func (r *result) wait(share float64) time.Duration {
	if len(r.waits) == 0 {
		return 0
	}
	slices.Sort(r.waits)
	return r.waits[int(share*float64(len(r.waits)-1))]
}

// answeredShare is the share of the arrived requests that were answered.
func (r *result) answeredShare() float64 {
	return float64(r.answered) / float64(r.arrived)
}

type simulation struct {
	scenario   scenario
	random     *rand.Rand
	d          *dispatcher.Dispatcher
	now        time.Time
	eventQueue eventQueue
	nextID     describer.RequestID
	arrived    map[describer.RequestID]time.Time
	loadOf     map[describer.RequestID]int
	results    []result
	// long counts the running attempts of long loads, and mostLong is the largest count after warmUp.
	long     int
	mostLong int
	starts   map[describer.BackendServerID]int
}

// simulate runs a scenario with seed 1 and returns the results by load.
func simulate(s scenario, opts ...dispatcher.Option) *simulation {
	sim := &simulation{
		scenario: s, random: rand.New(rand.NewPCG(1, 0)), d: dispatcher.New(opts...), now: epoch,
		arrived: make(map[describer.RequestID]time.Time), loadOf: make(map[describer.RequestID]int),
		results: make([]result, len(s.loads)), starts: make(map[describer.BackendServerID]int),
	}
	sim.prepare()
	for i := range s.loads {
		sim.scheduleArrival(i)
	}
	for len(sim.eventQueue) > 0 {
		sim.step()
	}
	return sim
}

func (s *simulation) prepare() {
	kinds := make(map[describer.KindID]describer.Kind)
	for _, l := range s.scenario.loads {
		// The declared run time is the same for all kinds and wrong for most of them.
		kinds[l.kind] = describer.Kind{Class: l.class, ExpectedMilliseconds: 50}
	}
	var servers []describer.BackendServer
	var shares []dispatcher.Share
	for i := range s.scenario.servers {
		servers = append(servers, describer.BackendServer{ID: serverID(i), State: describer.Live})
		shares = append(shares, dispatcher.Share{BackendServer: serverID(i), Slots: 4, Connections: 32})
	}
	s.d.Handle(s.now, dispatcher.ServicesChanged{Services: []describer.Service{{ID: "tally", QueueLimit: 2000, Kinds: kinds}}})
	s.d.Handle(s.now, dispatcher.BackendServersChanged{Servers: servers})
	s.d.Handle(s.now, dispatcher.SharesChanged{Shares: shares})
}

func (s *simulation) scheduleArrival(i int) {
	l := s.scenario.loads[i]
	factor := s.scenario.factor(s.now.Sub(epoch))
	gap := time.Duration(s.random.ExpFloat64() / (l.rate * factor) * float64(time.Second))
	at := s.now.Add(gap)
	if at.Sub(epoch) > s.scenario.length {
		return
	}
	s.nextID++
	request := describer.Request{
		ID: s.nextID, Service: "tally", Kind: l.kind, Class: l.class, Deadline: at.Add(l.timeout), Repeatable: true,
	}
	heap.Push(&s.eventQueue, simulatedEvent{at: at, event: dispatcher.RequestArrived{Request: request}, load: i})
}

func (s *simulation) step() {
	next := s.eventQueue[0].at
	if at, found := s.d.NextDeadline(); found && at.Before(next) {
		s.now = at
		s.handle(dispatcher.Ticked{})
		return
	}
	h := heap.Pop(&s.eventQueue).(simulatedEvent)
	s.now = h.at
	if arrival, ok := h.event.(dispatcher.RequestArrived); ok {
		s.arrived[arrival.Request.ID] = s.now
		s.loadOf[arrival.Request.ID] = h.load
		s.results[h.load].arrived++
		s.handle(h.event)
		s.scheduleArrival(h.load)
		return
	}
	ended := h.event.(dispatcher.AttemptEnded)
	if s.isLong(ended.ID) {
		s.long--
	}
	if ended.Evidence == describer.Answered {
		s.results[s.loadOf[ended.ID]].answered++
	}
	s.handle(h.event)
}

func (s *simulation) handle(event dispatcher.Event) {
	for _, command := range s.d.Handle(s.now, event) {
		switch c := command.(type) {
		case dispatcher.StartAttempt:
			s.start(c)
		case dispatcher.FailRequest:
			s.count(c)
		}
	}
}

func (s *simulation) start(c dispatcher.StartAttempt) {
	s.starts[c.BackendServer]++
	i := s.loadOf[c.ID]
	if s.isLong(c.ID) {
		s.long++
	}
	if s.now.Sub(epoch) > warmUp {
		s.mostLong = max(s.mostLong, s.long)
	}
	if c.Attempt == 1 && s.scenario.factor(s.now.Sub(epoch)) > 1 {
		s.results[i].waits = append(s.results[i].waits, s.now.Sub(s.arrived[c.ID]))
	}
	ended := dispatcher.AttemptEnded{ID: c.ID, Attempt: c.Attempt, Evidence: describer.Answered}
	at := s.now.Add(s.run(i))
	if c.BackendServer == s.scenario.hangs {
		at = c.Deadline.Add(1)
	}
	if c.BackendServer == s.scenario.fails {
		ended.Evidence = describer.Failed
		at = s.now.Add(time.Millisecond)
	} else if at.After(c.Deadline) {
		ended.Evidence = describer.Aborted
		at = c.Deadline
	}
	heap.Push(&s.eventQueue, simulatedEvent{at: at, event: ended})
}

func (s *simulation) isLong(id describer.RequestID) bool {
	return s.scenario.loads[s.loadOf[id]].run >= longRun
}

func (s *simulation) run(i int) time.Duration {
	run := float64(s.scenario.loads[i].run) * math.Exp(0.3*s.random.NormFloat64())
	if s.random.Float64() < s.scenario.stragglers {
		run *= 20 + 80*s.random.Float64()
	}
	return time.Duration(run)
}

func (s *simulation) count(c dispatcher.FailRequest) {
	r := &s.results[s.loadOf[c.ID]]
	switch c.Kind.String() {
	case "Overloaded", "QueueFull", "LimitReached":
		r.refused++
	case "DeadlineExceeded", "OutcomeUnknown":
		r.late++
	default:
		r.other++
	}
}
