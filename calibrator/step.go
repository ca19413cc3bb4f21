package calibrator

import (
	"math"

	"egretring.example/egretring/specifier"
)

const (
	// taskSpread is the standard deviation of the logarithmic run times of the tasks of a step at one speed. The users state 0.15
	// to 0.3.
	taskSpread = 0.25
	// estimateSpread is that of the work of a step relative to its estimate, after the correction for its queue. The users state
	// 0.5 to 0.9.
	estimateSpread = 0.7
	// biasRate is the part by which a bias follows its newest estimate in each sweep, so that it takes about a minute to follow. Without
	// it, the speeds of fast and slow servers drift apart by a factor of two in two minutes when urgent steps run only on fast servers
	// and others only on slow ones, because no step then compares these.
	biasRate = 0.005
)

// queue has by how much the estimates of its steps are off.
type queue struct {
	// bias is the mean logarithm of the work of a step relative to its estimate.
	bias float64
	// estimates is the number of sweeps that have changed the bias.
	estimates           int
	biasSum, biasWeight float64
}

// estimateBias follows the mean of the steps of this sweep. It is the mean over all sweeps at first, and follows slowly later.
func (q *queue) estimateBias() {
	if q.biasWeight <= 0 {
		return
	}
	rate := max(biasRate, 1/float64(q.estimates+1))
	q.bias += rate * (q.biasSum/q.biasWeight - q.bias)
	q.estimates++
	q.biasSum, q.biasWeight = 0, 0
}

// step has what is known about the work of a step from its ends on all servers.
type step struct {
	id    specifier.StepID
	queue *queue
	// estimate is the logarithm of the estimate in seconds.
	estimate float64
	// ends is the number of ends that count.
	ends int
	// sweep is the number of the last sweep in which the step got ends.
	sweep int
	// weight is the sum of the weights of the ends, and sum that of their logarithmic work, each with its weight.
	weight, sum float64
}

// workWithout returns the expected logarithmic work of a run of the step and its variance, from all ends but those with the given weight
// and sum.
func (s *step) workWithout(weight, sum float64) (work, variance float64) {
	const taskPrecision, estimatePrecision = 1 / (taskSpread * taskSpread), 1 / (estimateSpread * estimateSpread)
	precision := estimatePrecision + math.Max(0, s.weight-weight)*taskPrecision
	work = (s.sum-sum)*taskPrecision + (s.estimate+s.queue.bias)*estimatePrecision
	return work / precision, 1 / precision
}

// addToQueue adds the difference between the work and the estimate to the sums of the queue.
func (s *step) addToQueue() {
	if s.weight <= 0 {
		return
	}
	weight := 1 / (estimateSpread*estimateSpread + taskSpread*taskSpread/s.weight)
	s.queue.biasSum += weight * (s.sum/s.weight - s.estimate)
	s.queue.biasWeight += weight
}
