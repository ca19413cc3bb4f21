package placer

import (
	"math"
	"time"

	"egretring.example/egretring/describer"
)

const (
	// needQuantile is the share of samples below a learned need in equilibrium. A backend server runs many tasks, so
	// uses above and below the learned need balance; 0.95 left more capacity idle and avoided few evictions.
	needQuantile = 0.8
	// runTimeQuantile is the share of run times below the learned one. It is high because a backfilled task that runs
	// longer than expected delays the reservation in whose capacity it was started.
	runTimeQuantile = 0.95
	// The gain is the largest fraction by which one sample may change an estimate. It falls from firstGain to lastGain:
	// a wrong declaration is corrected within some hundred samples, and later the estimate changes by at most 2% at a
	// time.
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
	// minEstimate keeps an estimate above zero, because the multiplicative steps could not raise it from there.
	minEstimate = 1
)

// estimate is the running estimate of a quantile of a quantity. It is adjusted by multiplicative steps.
type estimate float64

// observe adjusts the estimate to a sample; samples is the number of earlier ones.
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

// need returns the resources to allocate to a task. Accelerators are assigned whole, so their declared number is used.
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
