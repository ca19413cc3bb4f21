package picker

import "time"

// Rule is the way a server is chosen among those with a free owned slot.
type Rule int

// The rules.
const (
	// LeastLoaded takes a random one of the servers with the smallest used part of their share.
	LeastLoaded Rule = iota
	// TwoChoices takes the less loaded of two random servers.
	TwoChoices
	// Random takes a random server.
	Random
	// RoundRobin takes the servers in turn.
	RoundRobin
)

const (
	// ejectAfter failures in a row eject a server.
	ejectAfter = 5
	// ejectShare of failures among the recent attempts ejects a server that also succeeds at times.
	ejectShare = 0.6
	// failureMemory is the number of attempts over which the share of failures is averaged.
	failureMemory = 16
	// ejectedPart is the largest part of the servers that may be ejected at once: one of so many. Beyond it failures
	// have another cause than single servers, and the remaining servers would be overloaded.
	ejectedPart = 3

	firstEjection = time.Second
	maxEjection   = 30 * time.Second
	// readmitAfter successful probes return a server to full use.
	readmitAfter = 3
	// forgetAfter successes in a row the next ejection is as short as the first.
	forgetAfter = 100
	// leavingHold is how long a server that announced its leaving stays without new work although the instance list
	// calls it live, because the list lags.
	leavingHold = time.Minute
)

// Option changes how a Picker is built.
type Option func(*Picker)

// WithRule sets the rule of choice.
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
