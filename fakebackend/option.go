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
	return func(s *State) { s.random = rand.New(rand.NewPCG(seed, randomStream)) }
}

// WithSlots sets the number of requests that the server can run at a time.
func WithSlots(slots int) Option {
	return func(s *State) { s.slots = slots }
}

// WithConnections sets the number of connections that the server can hold.
func WithConnections(connections int) Option {
	return func(s *State) { s.connections = connections }
}

// WithCapacity sets the resources that the server has for tasks.
func WithCapacity(capacity describer.Resources) Option {
	return func(s *State) { s.capacity = capacity }
}

// WithRunTime sets the distribution of the run times of a kind of request.
func WithRunTime(kind describer.KindID, runTime generator.RunTime) Option {
	return func(s *State) { s.runTimes[kind] = runTime }
}

// WithTaskRunTime sets the distribution of the run times of tasks. Without it tasks run until they are stopped or their
// lease expires.
func WithTaskRunTime(runTime generator.RunTime) Option {
	return func(s *State) { s.taskRunTime = runTime }
}

// WithTaskUse sets the lowest and the highest share of its resources that a task uses. The resources are those declared
// at the start of the task, or those of WithTaskNeed.
func WithTaskUse(lowest, highest float64) Option {
	return func(s *State) { s.lowestUse, s.highestUse = lowest, highest }
}

// WithUsageLag sets the age of the state that a usage report shows.
func WithUsageLag(lag time.Duration) Option {
	return func(s *State) { s.lag = lag }
}

// WithLedger makes the server record what it runs in a ledger that other servers share.
func WithLedger(ledger *Ledger) Option {
	return func(s *State) { s.ledger = ledger }
}

// WithTaskNeed sets a function that returns the resources of which a task uses a share. Without it these are the
// resources declared at the start of the task. It is for schedulers that declare an estimate learned from the reported
// use: otherwise each start with a new estimate would change the use itself.
func WithTaskNeed(need func(describer.TaskID) describer.Resources) Option {
	return func(s *State) { s.taskNeed = need }
}
