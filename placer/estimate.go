package placer

import (
	"math"
	"time"

	"egretring.example/egretring/describer"
)

const (
	// needQuantile is the share of samples below a learned need in equilibrium. A backend server holds many tasks, so
	// the uses above it and below it balance; 0.95 left more room idle and avoided few evictions.
	needQuantile = 0.8
	// runTimeQuantile is the share of run times below the learned one. It is high because a task that runs longer than
	// expected delays the reservation that it was let in front of.
	runTimeQuantile = 0.95
	// A sample moves an estimate by its gain, which falls from firstGain to lastGain: a wrong declaration is corrected
	// within some hundred samples, and later the estimate moves by at most 2% at a time.
	firstGain   = 0.2
	lastGain    = 0.02
	gainSamples = 50
	// minSamples is how many samples a job needs before its learned need may fall below the declared size,
	// because the first samples of a task are taken while it starts up.
	minSamples = 20
	// minRunTimes is how many completed tasks a job needs before their run time replaces the declared one.
	minRunTimes = 5
	// headroom is added to the learned need.
	headroom = 0.05
	// minEstimate keeps a quantity that is zero in a sample from becoming unable to grow again.
	minEstimate = 1
)

// estimate learns a quantile of a quantity by multiplicative steps.
type estimate float64

// observe takes a sample into account; samples is how many there were before.
func (e *estimate) observe(sample, quantile float64, samples int) {
	gain := max(lastGain, firstGain/(1+float64(samples)/gainSamples))
	if sample > float64(*e) {
		*e *= estimate(1 + gain*quantile)
	} else {
		*e *= estimate(1 - gain*(1-quantile))
	}
	*e = max(*e, minEstimate)
}

// needEstimate is the learned need of the tasks of one job.
type needEstimate struct {
	milliCores  estimate
	memoryBytes estimate
	samples     int
}

func newNeedEstimate(declared describer.Resources) needEstimate {
	return needEstimate{
		milliCores:  estimate(max(declared.MilliCores, minEstimate)),
		memoryBytes: estimate(max(declared.MemoryBytes, minEstimate)),
	}
}

func (n *needEstimate) observe(used describer.Resources) {
	n.milliCores.observe(float64(used.MilliCores), needQuantile, n.samples)
	n.memoryBytes.observe(float64(used.MemoryBytes), needQuantile, n.samples)
	n.samples++
}

// need returns the room to keep for a task. Accelerators are assigned whole, so their declared number holds.
func (n *needEstimate) need(declared describer.Resources) describer.Resources {
	learned := describer.Resources{
		MilliCores:   int64(float64(n.milliCores) * (1 + headroom)),
		MemoryBytes:  int64(float64(n.memoryBytes) * (1 + headroom)),
		Accelerators: declared.Accelerators,
	}
	if n.samples == 0 {
		return declared
	}
	if n.samples < minSamples {
		return larger(declared, learned)
	}
	return learned
}

// runTimeEstimate is the learned run time of the tasks of one job.
type runTimeEstimate struct {
	seconds   estimate
	completed int
}

func (r *runTimeEstimate) observe(runTime time.Duration) {
	seconds := math.Max(runTime.Seconds(), minEstimate)
	if r.completed == 0 {
		r.seconds = estimate(seconds)
	}
	r.seconds.observe(seconds, runTimeQuantile, r.completed)
	r.completed++
}

// expected returns the expected run time and whether one is known.
func (r *runTimeEstimate) expected(job describer.Job) (time.Duration, bool) {
	if job.Policy == describer.ServiceJob {
		return 0, false
	}
	if r.completed >= minRunTimes {
		return time.Duration(float64(r.seconds) * float64(time.Second)), true
	}
	return time.Duration(job.ExpectedSeconds) * time.Second, job.ExpectedSeconds > 0
}

func larger(a, b describer.Resources) describer.Resources {
	return describer.Resources{
		MilliCores:   max(a.MilliCores, b.MilliCores),
		MemoryBytes:  max(a.MemoryBytes, b.MemoryBytes),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}

func smaller(a, b describer.Resources) describer.Resources {
	return describer.Resources{
		MilliCores:   min(a.MilliCores, b.MilliCores),
		MemoryBytes:  min(a.MemoryBytes, b.MemoryBytes),
		Accelerators: min(a.Accelerators, b.Accelerators),
	}
}
