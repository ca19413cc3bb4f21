package fakebackend

import (
	"math/rand/v2"
	"strconv"
	"time"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/forwarder"
	"egretring.example/egretring/generator"
)

// randomStream selects a random stream of its own for backend servers, so that their random values are independent of
// those of other users of the same seed.
const randomStream = 0x6261636b

const (
	defaultSlots       = 8
	defaultConnections = 64
	defaultUsageLag    = 2 * time.Second
)

var defaultRunTime = generator.RunTime{Median: 20 * time.Millisecond, Spread: 0.3}

// Request holds the properties of a request that a backend server uses.
type Request struct {
	ID   string
	Key  string
	Kind describer.KindID
	// RunTime overrides the run time of the kind when it is above zero.
	RunTime time.Duration
}

// RunID identifies a run at one backend server; zero means no run.
type RunID int64

// Decision says how a backend server handles a request.
type Decision struct {
	// Run is zero when the request is not run.
	Run     RunID
	RunTime time.Duration
	// Mode is the mode that applies to this request.
	Mode Mode
	// ResponseDelay is the time from the end of the run until the response is sent.
	ResponseDelay time.Duration
	Leaving       bool
}

// State is the state of one backend server. It is not safe for concurrent use.
type State struct {
	id          describer.BackendServerID
	slots       int
	connections int
	capacity    describer.Resources
	runTimes    map[describer.KindID]generator.RunTime
	taskRunTime generator.RunTime
	lowestUse   float64
	highestUse  float64
	taskNeed    func(describer.TaskID) describer.Resources
	lag         time.Duration
	random      *rand.Rand
	ledger      *Ledger
	faults      Faults
	// leavingSince is when the mode last changed to Leaving.
	leavingSince time.Time
	counters     Counters
	// excesses holds the first maxExcesses excesses.
	excesses []Excess

	lastRun RunID
	runs    map[RunID]struct{}
	tasks   map[describer.TaskID]*task
	epoch   describer.Epoch
	// history holds the state after each change, as far as usage reports with a lag need it.
	history []forwarder.UsageReport
}

// NewState returns the state of an idle backend server.
func NewState(id describer.BackendServerID, options ...Option) *State {
	s := &State{
		id:          id,
		slots:       defaultSlots,
		connections: defaultConnections,
		runTimes:    make(map[describer.KindID]generator.RunTime),
		lowestUse:   1,
		highestUse:  1,
		lag:         defaultUsageLag,
		random:      rand.New(rand.NewPCG(1, randomStream)),
		ledger:      NewLedger(),
		runs:        make(map[RunID]struct{}),
		tasks:       make(map[describer.TaskID]*task),
	}
	for _, option := range options {
		option(s)
	}
	return s
}

// SetFaults replaces the simulated faults.
func (s *State) SetFaults(now time.Time, faults Faults) {
	if faults.Mode == Leaving && s.faults.Mode != Leaving {
		s.leavingSince = now
	}
	s.faults = faults
}

// Counters returns the counters.
func (s *State) Counters() Counters {
	return s.counters
}

// Begin decides how a request is handled, and occupies a slot if it is run.
func (s *State) Begin(now time.Time, request Request) Decision {
	s.advance(now)
	decision := Decision{Mode: s.drawMode(), Leaving: s.faults.Mode == Leaving}
	if !decision.Mode.runsRequest() {
		s.countNotRun(now, decision.Mode)
		return decision
	}
	s.lastRun++
	decision.Run = s.lastRun
	decision.RunTime = s.runTime(request, decision.Mode)
	if decision.Mode == RespondsLate {
		decision.ResponseDelay = s.faults.Delay
	}
	s.occupySlot(now, decision.Run, request)
	s.ledger.recordRun(s.id, request)
	return decision
}

// End frees the slot of a run.
func (s *State) End(now time.Time, run RunID) {
	s.advance(now)
	if _, ok := s.runs[run]; !ok {
		return
	}
	delete(s.runs, run)
	s.counters.BusySlots = len(s.runs)
	s.recordHistory(now, false)
}

// Connected counts a new connection.
func (s *State) Connected(now time.Time) {
	s.advance(now)
	s.counters.Connections++
	if s.counters.Connections > s.connections {
		s.counters.ConnectionsExceeded++
		s.recordExcess(Excess{
			Kind: ExcessConnection, At: now,
			Used: strconv.Itoa(s.counters.Connections), Capacity: strconv.Itoa(s.connections),
		})
	}
	s.counters.HighestConnections = max(s.counters.HighestConnections, s.counters.Connections)
	s.recordHistory(now, false)
}

// Disconnected counts the end of a connection.
func (s *State) Disconnected(now time.Time) {
	s.advance(now)
	s.counters.Connections--
	s.recordHistory(now, false)
}

func (s *State) occupySlot(now time.Time, run RunID, request Request) {
	if len(s.runs) >= s.slots {
		s.counters.SlotsExceeded++
		s.recordExcess(Excess{
			Kind: ExcessRequest, At: now, Subject: request.ID,
			Used: strconv.Itoa(len(s.runs) + 1), Capacity: strconv.Itoa(s.slots),
		})
	}
	s.runs[run] = struct{}{}
	s.counters.Runs++
	s.counters.BusySlots = len(s.runs)
	s.counters.HighestBusySlots = max(s.counters.HighestBusySlots, len(s.runs))
	s.recordHistory(now, false)
}

// drawMode returns the mode of the next request: the mode of the faults, or Healthy if Faults.Share leaves it out.
func (s *State) drawMode() Mode {
	drawn := s.random.Float64()
	if s.faults.Mode == Leaving || s.faults.Share == 0 || drawn < s.faults.Share {
		return s.faults.Mode
	}
	return Healthy
}

func (s *State) countNotRun(now time.Time, mode Mode) {
	if mode == Leaving || mode == Refuses {
		s.counters.Refused++
	}
	if mode == Leaving {
		s.counters.LatestWhileLeaving = max(s.counters.LatestWhileLeaving, now.Sub(s.leavingSince))
	}
}

func (s *State) runTime(request Request, mode Mode) time.Duration {
	distribution, ok := s.runTimes[request.Kind]
	if !ok {
		distribution = defaultRunTime
	}
	runTime := distribution.Draw(s.random)
	if request.RunTime > 0 {
		runTime = request.RunTime
	}
	switch mode {
	case FailsFast:
		return 0
	case Slow:
		return time.Duration(float64(runTime) * s.faults.Factor)
	default:
		return runTime
	}
}
