package generator

import (
	"fmt"
	"iter"
	"math"
	"math/rand/v2"
	"time"
)

// Streams of random values. Each property of the load draws from a stream of its own, so that a change of one property
// leaves the values of the others unchanged.
const (
	streamOfTimes uint64 = iota + 1
	streamOfKinds
	streamOfRunTimes
	streamOfKeys
	streamOfCallers
	streamOfCancellations
)

const (
	smallestBodyBytes   = 64
	medianBodyBytes     = 512
	medianResponseBytes = 2048
	// spreadOfBytes is the standard deviation of the logarithm of the body lengths of requests and responses.
	spreadOfBytes = 1.0
	// highestBytes bounds the body lengths of requests and responses; it is below the default MaxRequestBytes of 1 MiB.
	highestBytes = 512 << 10
)

// Generator yields the arrivals of a load in the order of their offsets. It is not safe for concurrent use.
type Generator struct {
	load   Load
	seed   uint64
	start  time.Time
	offset time.Duration
	count  int

	times, kinds, runTimes, keys, callers, cancellations *rand.Rand
}

// Option configures a Generator.
type Option func(*Generator)

// WithStart sets the time at which the load starts, from which the issue times in the idempotency keys are computed.
// Without it no key carries an issue time or a home zone.
func WithStart(start time.Time) Option {
	return func(g *Generator) { g.start = start }
}

// New returns a generator of a load. The same seed gives the same arrivals.
func New(load Load, seed uint64, options ...Option) (*Generator, error) {
	if err := load.validate(); err != nil {
		return nil, err
	}
	stream := func(number uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, number)) }
	g := &Generator{
		load: load, seed: seed,
		times: stream(streamOfTimes), kinds: stream(streamOfKinds), runTimes: stream(streamOfRunTimes),
		keys: stream(streamOfKeys), callers: stream(streamOfCallers), cancellations: stream(streamOfCancellations),
	}
	for _, option := range options {
		option(g)
	}
	return g, nil
}

// All yields the remaining arrivals.
func (g *Generator) All() iter.Seq[Arrival] {
	return func(yield func(Arrival) bool) {
		for {
			arrival, ok := g.Next()
			if !ok || !yield(arrival) {
				return
			}
		}
	}
}

// Next returns the next arrival, or false when the load has ended.
func (g *Generator) Next() (Arrival, bool) {
	if !g.advance() {
		return Arrival{}, false
	}
	kind := g.load.Kinds[pick(g.kinds, g.load.Kinds, func(k Kind) float64 { return k.Weight })]
	team := g.load.Teams[pick(g.callers, g.load.Teams, func(t Team) float64 { return t.Weight })]
	zone := g.load.AvailabilityZones[g.callers.IntN(len(g.load.AvailabilityZones))]
	g.count++
	arrival := Arrival{
		Offset:           g.offset,
		ID:               fmt.Sprintf("g%d-%d", g.seed, g.count),
		Service:          g.load.Service,
		Kind:             kind.ID,
		Class:            kind.Class,
		Team:             team.ID,
		AvailabilityZone: zone,
		Repeatable:       kind.Repeatable,
		Timeout:          kind.Timeout,
		RunTime:          kind.RunTime.Draw(g.runTimes),
		BodyBytes:        g.bytes(medianBodyBytes),
		ResponseBytes:    g.bytes(medianResponseBytes),
	}
	if !kind.Repeatable {
		arrival.Key = g.key(zone)
	}
	arrival.CancelAfter = g.cancelAfter(arrival)
	return arrival, true
}

// advance moves to the next arrival of a Poisson process whose rate follows the load swings. It draws candidates at the
// highest rate and keeps each with the probability of the rate at its time divided by the highest rate (thinning).
func (g *Generator) advance() bool {
	highest := g.load.highestFactor()
	for {
		seconds := g.times.ExpFloat64() / (g.load.PerSecond * highest)
		kept := g.times.Float64()*highest < g.load.factorAt(g.offset+asDuration(seconds))
		g.offset += asDuration(seconds)
		if g.offset >= g.load.Duration {
			return false
		}
		if kept {
			return true
		}
	}
}

// cancelAfter returns the time from the arrival until the caller cancels the request, or zero if it does not.
func (g *Generator) cancelAfter(arrival Arrival) time.Duration {
	cancels := g.cancellations.Float64() < g.load.CancelShare
	after := time.Duration(g.cancellations.Float64() * float64(arrival.Timeout))
	if !cancels {
		after = 0
	}
	for _, burst := range g.load.CancellationBursts {
		drawn := g.cancellations.Float64()
		untilBurst := burst.At - arrival.Offset
		if untilBurst > 0 && untilBurst <= burst.Window && untilBurst < arrival.Timeout && drawn < burst.Share {
			after = untilBurst
		}
	}
	return after
}

func (g *Generator) bytes(median float64) int {
	length := median * math.Exp(g.callers.NormFloat64()*spreadOfBytes)
	return int(min(max(length, smallestBodyBytes), highestBytes))
}

// pick draws the index of an item with a probability in proportion to the item's weight.
func pick[T any](random *rand.Rand, items []T, weight func(T) float64) int {
	total := 0.0
	for _, item := range items {
		total += weight(item)
	}
	drawn := random.Float64() * total
	for i, item := range items {
		drawn -= weight(item)
		if drawn < 0 {
			return i
		}
	}
	return len(items) - 1
}

func asDuration(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}
