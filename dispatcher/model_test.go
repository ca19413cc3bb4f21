package dispatcher_test

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"

	"egretring.example/egretring/classifier"
	"egretring.example/egretring/describer"
	"egretring.example/egretring/dispatcher"
)

// tracked is the state of a request in the model.
type tracked struct {
	request         describer.Request
	attempts        int
	relays          int
	attemptRuns     bool
	relayRuns       bool
	server          describer.BackendServerID
	runs            int
	responseStarted bool
}

func (r *tracked) inFlight() bool { return r.attemptRuns || r.relayRuns }

// model tracks the state of a dispatcher from its events and commands, and checks the commands against the guarantees.
type model struct {
	t         *rapid.T
	d         *dispatcher.Dispatcher
	now       time.Time
	lastID    describer.RequestID
	requests  map[describer.RequestID]*tracked
	ids       []describer.RequestID
	used      map[describer.BackendServerID]int
	held      map[describer.BackendServerID]int
	shares    map[describer.BackendServerID]int
	takesWork map[describer.BackendServerID]bool
	// workConserving is true when the policy must not let requests wait while a slot is free.
	workConserving bool
}

func newModel(t *rapid.T, workConserving bool, opts ...dispatcher.Option) *model {
	m := &model{
		t: t, d: dispatcher.New(opts...), now: epoch, workConserving: workConserving,
		requests: make(map[describer.RequestID]*tracked),
		used:     make(map[describer.BackendServerID]int),
		held:     make(map[describer.BackendServerID]int),
	}
	m.handle(dispatcher.ServicesChanged{Services: []describer.Service{{
		ID: "tally", QueueLimit: 20, TeamLimits: map[describer.TeamID]int{"small": 3},
		Kinds: map[describer.KindID]describer.Kind{"count": {ExpectedMilliseconds: 10}, "merge": {ExpectedMilliseconds: 1}},
	}}})
	m.changeServers([]describer.ServerState{describer.Live, describer.Live, describer.Live, describer.Live})
	m.changeShares([]int{2, 2, 2, 2})
	return m
}

func serverID(i int) describer.BackendServerID {
	return describer.BackendServerID(fmt.Sprintf("b%d", i))
}

func (m *model) handle(event dispatcher.Event) {
	for _, command := range m.d.Handle(m.now, event) {
		m.check(command)
	}
	m.checkState()
}

func (m *model) check(command dispatcher.Command) {
	switch c := command.(type) {
	case dispatcher.StartAttempt:
		r := m.known(c.ID)
		m.require(!r.inFlight(), "request %d is started twice at once", c.ID)
		m.require(m.takesWork[c.BackendServer], "start on %s, which takes no new work", c.BackendServer)
		m.require(m.used[c.BackendServer] < m.shares[c.BackendServer], "share of %s is exceeded", c.BackendServer)
		m.require(c.Attempt == r.attempts+1, "attempt %d follows %d", c.Attempt, r.attempts)
		m.require(r.request.Repeatable || r.runs == 0, "non-repeatable request %d may run twice", c.ID)
		m.require(!r.responseStarted, "request %d is started after its answer began", c.ID)
		m.require(m.now.Before(r.request.Deadline), "request %d is started after its deadline", c.ID)
		r.attempts, r.attemptRuns, r.server = c.Attempt, true, c.BackendServer
		m.used[c.BackendServer]++
	case dispatcher.RelayToPeer:
		r := m.known(c.ID)
		m.require(!r.inFlight() && r.relays == 0 && r.runs == 0, "request %d is relayed again", c.ID)
		m.require(!r.request.Relayed, "a relayed request is relayed")
		m.require(r.request.Repeatable || r.request.IdempotencyKey == "", "keyed request leaves its home")
		r.relays, r.relayRuns = 1, true
	case dispatcher.FailRequest:
		r := m.known(c.ID)
		m.require(!r.inFlight(), "request %d is answered in flight", c.ID)
		notRun := classifier.ErrorResponseOf(c.Kind).Outcome == classifier.NotRun
		m.require(!notRun || r.runs == 0, "request %d may have run but is answered %s", c.ID, c.Kind)
		m.end(c.ID)
	case dispatcher.AbortAttempt:
		r := m.known(c.ID)
		m.require(c.Relay && r.relayRuns || r.attemptRuns && c.Attempt == r.attempts, "abort without attempt")
	}
}

func (m *model) checkState() {
	load := m.d.Load()
	queued := 0
	for _, count := range load.Queued {
		queued += count
	}
	next, found := m.d.NextDeadline()
	waiting := 0
	for _, id := range m.ids {
		r := m.requests[id]
		if r.inFlight() {
			continue
		}
		waiting++
		m.require(m.now.Before(r.request.Deadline), "request %d waits beyond its deadline", id)
		m.require(found && !next.After(r.request.Deadline), "no tick is wanted for the deadline of request %d", id)
	}
	m.require(queued <= waiting, "%d queued, but %d wait", queued, waiting)
	eligible := 0
	for id := range m.takesWork {
		eligible += min(1, m.shares[id])
	}
	m.require(load.Ejected*3 <= eligible, "%d of %d servers are ejected", load.Ejected, eligible)
	if !m.workConserving || queued == 0 {
		return
	}
	for id := range m.takesWork {
		m.require(m.used[id] >= m.shares[id], "%d wait while %s has a free slot", queued, id)
	}
}

func (m *model) require(ok bool, format string, args ...any) {
	if !ok {
		m.t.Fatalf(format, args...)
	}
}

func (m *model) known(id describer.RequestID) *tracked {
	r, ok := m.requests[id]
	m.require(ok, "command for request %d, which has ended or never arrived", id)
	return r
}

func (m *model) end(id describer.RequestID) {
	delete(m.requests, id)
	m.ids = slices.DeleteFunc(m.ids, func(other describer.RequestID) bool { return other == id })
}

func (m *model) arrive(request describer.Request) {
	m.lastID++
	request.ID = m.lastID
	m.requests[request.ID] = &tracked{request: request}
	m.ids = append(m.ids, request.ID)
	m.handle(dispatcher.RequestArrived{Request: request})
}

// attemptResult is the content of the event that ends an attempt or relay.
type attemptResult struct {
	evidence                                 describer.Evidence
	responseStarted, serverLeaving, slotHeld bool
}

// endInFlight ends the attempt or relay of a request.
func (m *model) endInFlight(id describer.RequestID, e attemptResult) {
	r := m.requests[id]
	attempt := r.attemptRuns
	r.attemptRuns, r.relayRuns, r.responseStarted = false, false, e.responseStarted
	if !e.evidence.ProvesNotRun() || e.responseStarted {
		r.runs++
	}
	if e.evidence == describer.Answered {
		m.end(id)
	}
	if !attempt {
		m.handle(dispatcher.RelayEnded{ID: id, Evidence: e.evidence, ResponseStarted: e.responseStarted})
		return
	}
	if e.slotHeld {
		m.held[r.server]++
	} else {
		m.used[r.server]--
	}
	if e.serverLeaving {
		delete(m.takesWork, r.server)
	}
	m.handle(dispatcher.AttemptEnded{
		ID: id, Attempt: r.attempts, Evidence: e.evidence, ResponseStarted: e.responseStarted,
		ServerLeaving: e.serverLeaving, SlotHeld: e.slotHeld,
	})
}

// freeHeld reports that a server no longer runs any of the attempts that ended with a held slot.
func (m *model) freeHeld(id describer.BackendServerID) {
	m.used[id] -= m.held[id]
	m.held[id] = 0
	m.handle(dispatcher.SlotsFreed{BackendServer: id})
}

func (m *model) changeShares(slots []int) {
	m.shares = make(map[describer.BackendServerID]int)
	var shares []dispatcher.Share
	for i, count := range slots {
		m.shares[serverID(i)] = count
		shares = append(shares, dispatcher.Share{BackendServer: serverID(i), Slots: count + i%2, Connections: count})
	}
	m.handle(dispatcher.SharesChanged{Shares: shares})
}

// changeServers first removes all servers, so that the dispatcher drops earlier announcements that a server is leaving.
func (m *model) changeServers(states []describer.ServerState) {
	m.takesWork = make(map[describer.BackendServerID]bool)
	m.handle(dispatcher.BackendServersChanged{})
	var servers []describer.BackendServer
	for i, state := range states {
		servers = append(servers, describer.BackendServer{ID: serverID(i), State: state})
		if state == describer.Live {
			m.takesWork[serverID(i)] = true
		}
	}
	m.handle(dispatcher.BackendServersChanged{Servers: servers})
}

// advance moves the time forward and sends Ticked at each deadline that is reached.
func (m *model) advance(by time.Duration) {
	until := m.now.Add(by)
	for {
		next, found := m.d.NextDeadline()
		if !found || next.After(until) {
			break
		}
		m.now = next
		m.handle(dispatcher.Ticked{})
	}
	m.now = until
	m.handle(dispatcher.Ticked{})
}
