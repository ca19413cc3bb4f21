package picker

import "time"

// Rule selects how a server is chosen among those with a free owned slot.
type Rule int

// The rules.
const (
	// LeastLoaded chooses a random server among those at the lowest load level.
	LeastLoaded Rule = iota
	// TwoChoices chooses the less loaded of two random servers.
	TwoChoices
	// Random chooses a random server.
	Random
	// RoundRobin chooses the servers in turn.
	RoundRobin
)

const (
	// ejectAfter is the number of failures in a row that ejects a server.
	ejectAfter = 5
	// ejectShare is the share of failures among the recent attempts that ejects a server that also succeeds at times.
	ejectShare = 0.6
	// failureMemory is the number of attempts over which the share of failures is averaged.
	failureMemory = 16
	// ejectedDivisor limits the servers that may be ejected at the same time to the number of eligible servers divided
	// by it. If more servers fail, single servers are not the cause, and the remaining servers would be overloaded.
	ejectedDivisor = 3

	firstEjection = time.Second
	maxEjection   = 30 * time.Second
	// readmitAfter is the number of successful probes in a row after which a server is fully used again.
	readmitAfter = 3
	// resetEjectionsAfter is the number of successes in a row after which the next ejection is as short as the first.
	resetEjectionsAfter = 100
	// leavingTimeout is how long a server that announced that it is leaving gets no new work although the instance list
	// shows it as live, because the list lags.
	leavingTimeout = time.Minute
)

// Option changes how a Picker is built.
type Option func(*Picker)

// WithRule sets the rule by which servers are chosen.
func WithRule(rule Rule) Option {
	return func(p *Picker) { p.rule = rule }
}

// WithoutEjection keeps failing servers in use.
func WithoutEjection() Option {
	return func(p *Picker) { p.ejecting = false }
}

// WithSeed sets the seed of the random source.
func WithSeed(seed uint64) Option {
	return func(p *Picker) { p.seed = seed }
}
