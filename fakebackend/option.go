package fakebackend

import (
	"math/rand/v2"
	"time"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/generator"
)

// Option configures a State.
type Option func(*State)

// WithSeed sets the seed of the run times and of the requests that faults apply to.
func WithSeed(seed uint64) Option {
	return func(s *State) { s.random = rand.New(rand.NewPCG(seed, streamOfServer)) }
}

// WithSlots sets the number of requests that the server can run at a time.
func WithSlots(slots int) Option {
	return func(s *State) { s.slots = slots }
}

// WithConnections sets the number of connections that the server can hold.
func WithConnections(connections int) Option {
	return func(s *State) { s.connections = connections }
}

// WithCapacity sets what the server has for tasks.
func WithCapacity(capacity describer.Resources) Option {
	return func(s *State) { s.capacity = capacity }
}

// WithRunTime sets the run times of a kind of request.
func WithRunTime(kind describer.KindID, runTime generator.RunTime) Option {
	return func(s *State) { s.runTimes[kind] = runTime }
}

// WithTaskRunTime sets how long tasks run; without it they run until they are stopped.
func WithTaskRunTime(runTime generator.RunTime) Option {
	return func(s *State) { s.taskRunTime = runTime }
}

// WithTaskUse sets the lowest and the highest share of its declared resources that a task uses.
func WithTaskUse(lowest, highest float64) Option {
	return func(s *State) { s.lowestUse, s.highestUse = lowest, highest }
}

// WithUsageLag sets how old a usage report is.
func WithUsageLag(lag time.Duration) Option {
	return func(s *State) { s.lag = lag }
}

// WithLedger makes the server record what it runs in a ledger that other servers share.
func WithLedger(ledger *Ledger) Option {
	return func(s *State) { s.ledger = ledger }
}

// WithTaskNeed sets the amount of which a task uses a share, for each task; without it that is what its start named. A
// scheduler that learns from the use and names what it has learned would otherwise change the use with each start.
func WithTaskNeed(need func(describer.TaskID) describer.Resources) Option {
	return func(s *State) { s.taskNeed = need }
}
