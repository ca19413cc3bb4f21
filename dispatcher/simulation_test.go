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
	// longRun is the run time from which the long loads of the scenarios begin.
	longRun = 500 * time.Millisecond
	// learnTime is enough to learn the run times and to end the long work that was started before.
	learnTime = 8 * time.Second
)

// load is a kind of request in a simulation.
type load struct {
	kind     describer.KindID
	class    describer.Class
	run      time.Duration
	rate     float64
	patience time.Duration
}

// scenario is a load in virtual time on servers of four owned slots.
type scenario struct {
	servers int
	length  time.Duration
	loads   []load
	// stragglers is the share of runs that take 20 to 100 times as long.
	stragglers float64
	// factor multiplies the rates at a time.
	factor func(time.Duration) float64
	// fails says which server fails all that it starts within a millisecond.
	fails describer.BackendServerID
	// hangs says which server answers nothing before the deadline.
	hangs describer.BackendServerID
}

// happening is a future event of a simulation.
type happening struct {
	at    time.Time
	event dispatcher.Event
	load  int
}

type future []happening

func (f future) Len() int           { return len(f) }
func (f future) Less(i, j int) bool { return f[i].at.Before(f[j].at) }
func (f future) Swap(i, j int)      { f[i], f[j] = f[j], f[i] }
func (f *future) Push(x any)        { *f = append(*f, x.(happening)) }
func (f *future) Pop() any {
	last := (*f)[len(*f)-1]
	*f = (*f)[:len(*f)-1]
	return last
}

// result is what a simulation saw of one kind.
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
	scenario scenario
	random   *rand.Rand
	d        *dispatcher.Dispatcher
	now      time.Time
	future   future
	nextID   describer.RequestID
	arrived  map[describer.RequestID]time.Time
	loadOf   map[describer.RequestID]int
	results  []result
	// long counts the running attempts of long loads, and mostLong is the largest count after learnTime.
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
	for len(sim.future) > 0 {
		sim.step()
	}
	return sim
}

func (s *simulation) prepare() {
	kinds := make(map[describer.KindID]describer.Kind)
	for _, l := range s.scenario.loads {
		// The declared run time is the same for all kinds and mostly far off.
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
		ID: s.nextID, Service: "tally", Kind: l.kind, Class: l.class, Deadline: at.Add(l.patience), Repeatable: true,
	}
	heap.Push(&s.future, happening{at: at, event: dispatcher.RequestArrived{Request: request}, load: i})
}

func (s *simulation) step() {
	next := s.future[0].at
	if at, found := s.d.NextDeadline(); found && at.Before(next) {
		s.now = at
		s.handle(dispatcher.Ticked{})
		return
	}
	h := heap.Pop(&s.future).(happening)
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
		case dispatcher.AnswerRequest:
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
	if s.now.Sub(epoch) > learnTime {
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
	heap.Push(&s.future, happening{at: at, event: ended})
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

func (s *simulation) count(c dispatcher.AnswerRequest) {
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
