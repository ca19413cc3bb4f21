package measurer

import (
	"math"
	"time"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/generator"
)

const (
	requestDuration = 40 * time.Second
	// requestWarmUp is left out of the figures: the estimates are learned and long work reaches its usual share.
	requestWarmUp = 10 * time.Second
	// faultFrom and faultUntil bound the faults that end.
	faultFrom  = 15 * time.Second
	faultUntil = 30 * time.Second

	usualUse     = 0.9
	swingBase    = 0.5
	swingFactor  = 4
	overloadUse  = 3.0
	fewTimes     = 20
	manyTimes    = 100
	noStragglers = 1
	// hungFactor makes a run last longer than any deadline.
	hungFactor = 1e6
)

// requestFault is what breaks during a run.
type requestFault int

const (
	_ requestFault = iota
	// slowStore loses one entry instance while the store is slow, so that the shares stay as they are.
	slowStore
	zoneLost
	serversFail
)

// requestLoad is a load with its fault.
type requestLoad struct {
	name   string
	use    float64
	swings []generator.Swing
	// stragglers is the factor of the run time of stragglers.
	stragglers float64
	fault      requestFault
	// only restricts the load.
	only restriction
}

type restriction int

const (
	allWork restriction = iota
	urgentAlone
	// shortAlone is the short work without long kinds and stragglers.
	shortAlone
)

func requestLoads() []requestLoad {
	swing := generator.Swing{
		From: faultFrom, Rise: 2 * time.Second, Hold: 8 * time.Second, Fall: 3 * time.Second, Factor: swingFactor,
	}
	return []requestLoad{
		{name: "steady 0.9", use: usualUse, stragglers: noStragglers},
		{name: "swing 4x in 2 s", use: swingBase, stragglers: fewTimes, swings: []generator.Swing{swing}},
		{name: "stragglers 20x", use: usualUse, stragglers: fewTimes},
		{name: "stragglers 100x", use: usualUse, stragglers: manyTimes},
		{name: "overload 3x", use: overloadUse, stragglers: fewTimes},
		{name: "slow store", use: usualUse, stragglers: fewTimes, fault: slowStore},
		{name: "zone lost", use: usualUse, stragglers: fewTimes, fault: zoneLost},
		{name: "failing servers", use: usualUse, stragglers: fewTimes, fault: serversFail},
	}
}

// restricted returns the load with only a part of the work. The arrivals of that part keep their rate.
func (l requestLoad) restricted(only restriction) requestLoad {
	l.only = only
	return l
}

// generate returns the load of a deployment.
func (l requestLoad) generate(shape requestShape) generator.Load {
	load := shape.load().WithDuration(requestDuration).WithSwings(l.swings...)
	load.Kinds = withStragglers(load.Kinds, l.stragglers)
	load.PerSecond = l.use * requestServers * slotsPerServer / meanHold(load).Seconds()
	if l.only == allWork {
		return load
	}
	return l.restrict(load)
}

func (l requestLoad) restrict(load generator.Load) generator.Load {
	total, kept := 0.0, 0.0
	var kinds []generator.Kind
	for _, kind := range load.Kinds {
		total += kind.Share
		if kind.Class == describer.Urgent {
			kept += kind.Share
			kinds = append(kinds, kind)
		}
	}
	if l.only == shortAlone {
		kinds = withStragglers(kinds, noStragglers)
	}
	load.Kinds = kinds
	load.PerSecond *= kept / total
	return load
}

// meanHold returns the mean time for which a request holds a slot when it is aborted at its deadline. Without that
// bound, the stragglers that never end before their deadline would count as load that is not there.
func meanHold(load generator.Load) time.Duration {
	total, shares := 0.0, 0.0
	for _, kind := range load.Kinds {
		run := kind.RunTime
		straggler := run
		straggler.Median = time.Duration(float64(run.Median) * run.StragglerFactor)
		hold := (1-run.StragglerShare)*meanBounded(run, kind.Timeout) + run.StragglerShare*meanBounded(straggler, kind.Timeout)
		total += kind.Share * hold
		shares += kind.Share
	}
	return time.Duration(total / shares * float64(time.Second))
}

// meanBounded returns the mean in seconds of a log-normal run time, without stragglers, that ends at a bound.
func meanBounded(run generator.RunTime, bound time.Duration) float64 {
	median, spread := run.Median.Seconds(), run.Spread
	steps := math.Log(bound.Seconds()/median) / spread
	below := median * math.Exp(spread*spread/2) * normal(steps-spread)
	return below + bound.Seconds()*(1-normal(steps))
}

// normal is the distribution function of the standard normal distribution.
func normal(x float64) float64 {
	return math.Erfc(-x/math.Sqrt2) / 2
}

func withStragglers(kinds []generator.Kind, factor float64) []generator.Kind {
	changed := make([]generator.Kind, len(kinds))
	for i, kind := range kinds {
		kind.RunTime.StragglerFactor = factor
		changed[i] = kind
	}
	return changed
}
