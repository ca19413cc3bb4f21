package measurer

import (
	"math"
	"time"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/generator"
)

const (
	requestDuration = 40 * time.Second
	// requestWarmUp is the first part of a run, which is left out of the figures. In it the dispatchers learn run time
	// estimates and the share of slots that hold long requests becomes steady.
	requestWarmUp = 10 * time.Second
	// faultFrom is the start of a fault or load swing, and faultUntil the end of a fault that is repaired.
	faultFrom  = 15 * time.Second
	faultUntil = 30 * time.Second

	normalUtilization = 0.9
	// swingBaseUtilization is the utilization before the load rises by swingFactor.
	swingBaseUtilization = 0.5
	swingFactor          = 4
	overloadUtilization  = 3.0
	// mildStragglerFactor and severeStragglerFactor are the factors of the run time of stragglers.
	mildStragglerFactor   = 20
	severeStragglerFactor = 100
	noStragglers          = 1
	// hungFactor is the factor of the run time on a hung backend server, where each run outlasts its deadline.
	hungFactor = 1e6
)

// requestFault is the fault that is injected during a run.
type requestFault int

const (
	_ requestFault = iota
	// slowStore fails one entry instance while the store is too slow to reassign its shares.
	slowStore
	// zoneLost fails all entry instances of one zone.
	zoneLost
	// serversFail makes one backend server fail all requests and lets another one hang.
	serversFail
)

// requestLoad is a load with its fault.
type requestLoad struct {
	name string
	// utilization is the offered load as a share of what all slots can run.
	utilization float64
	swings      []generator.LoadSwing
	// stragglers is the factor of the run time of stragglers.
	stragglers float64
	fault      requestFault
	// only selects the part of the work that is sent.
	only restriction
}

// restriction is a part of the work of a load.
type restriction int

const (
	allWork restriction = iota
	// urgentAlone is the Urgent work.
	urgentAlone
	// shortAlone is the Urgent work without stragglers; all Urgent kinds have short run times.
	shortAlone
)

func requestLoads() []requestLoad {
	swing := generator.LoadSwing{
		From: faultFrom, Rise: 2 * time.Second, Hold: 8 * time.Second, Fall: 3 * time.Second, Factor: swingFactor,
	}
	return []requestLoad{
		{name: "steady 0.9", utilization: normalUtilization, stragglers: noStragglers},
		{name: "swing 4x in 2 s", utilization: swingBaseUtilization, stragglers: mildStragglerFactor, swings: []generator.LoadSwing{swing}},
		{name: "stragglers 20x", utilization: normalUtilization, stragglers: mildStragglerFactor},
		{name: "stragglers 100x", utilization: normalUtilization, stragglers: severeStragglerFactor},
		{name: "overload 3x", utilization: overloadUtilization, stragglers: mildStragglerFactor},
		{name: "slow store", utilization: normalUtilization, stragglers: mildStragglerFactor, fault: slowStore},
		{name: "zone lost", utilization: normalUtilization, stragglers: mildStragglerFactor, fault: zoneLost},
		{name: "failing servers", utilization: normalUtilization, stragglers: mildStragglerFactor, fault: serversFail},
	}
}

// restricted returns the load with only a part of the work. The arrival rate of that part stays the same.
func (l requestLoad) restricted(only restriction) requestLoad {
	l.only = only
	return l
}

// generate returns the load with the request kinds of a deployment, at the rate that gives the utilization.
func (l requestLoad) generate(topology requestTopology) generator.Load {
	load := topology.load().WithDuration(requestDuration).WithLoadSwings(l.swings...)
	load.Kinds = withStragglers(load.Kinds, l.stragglers)
	load.PerSecond = l.utilization * requestServers * slotsPerServer / meanHoldTime(load).Seconds()
	if l.only == allWork {
		return load
	}
	return l.restrict(load)
}

func (l requestLoad) restrict(load generator.Load) generator.Load {
	total, kept := 0.0, 0.0
	var kinds []generator.Kind
	for _, kind := range load.Kinds {
		total += kind.Weight
		if kind.Class == describer.Urgent {
			kept += kind.Weight
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

// meanHoldTime returns the mean time for which a request holds a slot. A request is aborted at its deadline. Without
// that bound, the run time of stragglers beyond their deadline would be counted as load although it never uses a slot.
func meanHoldTime(load generator.Load) time.Duration {
	total, shares := 0.0, 0.0
	for _, kind := range load.Kinds {
		run := kind.RunTime
		straggler := run
		straggler.Median = time.Duration(float64(run.Median) * run.StragglerFactor)
		hold := (1-run.StragglerShare)*meanBounded(run, kind.Timeout) + run.StragglerShare*meanBounded(straggler, kind.Timeout)
		total += kind.Weight * hold
		shares += kind.Weight
	}
	return time.Duration(total / shares * float64(time.Second))
}

// meanBounded returns the mean in seconds of a log-normal run time, without stragglers, that is cut off at a bound.
func meanBounded(run generator.RunTime, bound time.Duration) float64 {
	median, spread := run.Median.Seconds(), run.Spread
	zScore := math.Log(bound.Seconds()/median) / spread
	below := median * math.Exp(spread*spread/2) * normalCDF(zScore-spread)
	return below + bound.Seconds()*(1-normalCDF(zScore))
}

// normalCDF is the cumulative distribution function of the standard normal distribution.
func normalCDF(x float64) float64 {
	return math.Erfc(-x/math.Sqrt2) / 2
}

// withStragglers returns the kinds with another factor of the run time of stragglers.
func withStragglers(kinds []generator.Kind, factor float64) []generator.Kind {
	changed := make([]generator.Kind, len(kinds))
	for i, kind := range kinds {
		kind.RunTime.StragglerFactor = factor
		changed[i] = kind
	}
	return changed
}
