package estimator

import (
	"math"
	"time"
)

const (
	// binCount is the number of bins. With the ratio binRatio from shortestRun upwards they reach beyond one day.
	binCount    = 96
	binRatio    = 1.25
	shortestRun = 100 * time.Microsecond
	// maxWeight bounds the weight of a sample, so that the sums keep their precision.
	maxWeight = 1e9
)

var logBinRatio = math.Log(binRatio)

// histogram counts durations in logarithmic bins. Each sample has a larger weight than the one before it, so that the
// relative weight of old samples decays without a clock.
type histogram struct {
	weights      [binCount]float64
	total        float64
	sum          float64
	weightGrowth float64
	nextWeight   float64
	samples      int
}

// newHistogram returns an empty histogram whose content is determined by about the last window samples.
func newHistogram(window int) histogram {
	return histogram{weightGrowth: 1 + 1/float64(window), nextWeight: 1}
}

func (h *histogram) add(value time.Duration) {
	h.weights[binOf(value)] += h.nextWeight
	h.total += h.nextWeight
	h.sum += h.nextWeight * value.Seconds()
	h.nextWeight *= h.weightGrowth
	h.samples++
	if h.nextWeight > maxWeight {
		h.rescale()
	}
}

func (h *histogram) rescale() {
	for i := range h.weights {
		h.weights[i] /= h.nextWeight
	}
	h.total /= h.nextWeight
	h.sum /= h.nextWeight
	h.nextWeight = 1
}

// quantile returns the duration below which the given share of the samples lies, with the precision of one bin.
func (h *histogram) quantile(share float64) time.Duration {
	target := share * h.total
	sum := 0.0
	for i, weight := range h.weights {
		sum += weight
		if weight > 0 && sum >= target {
			return valueOf(i)
		}
	}
	return valueOf(binCount - 1)
}

func (h *histogram) mean() time.Duration {
	if h.total == 0 {
		return 0
	}
	return time.Duration(h.sum / h.total * float64(time.Second))
}

// shareAbove returns the share of samples in bins above the value.
func (h *histogram) shareAbove(value time.Duration) float64 {
	if h.total == 0 {
		return 0
	}
	sum := 0.0
	for _, weight := range h.weights[binOf(value)+1:] {
		sum += weight
	}
	return sum / h.total
}

func binOf(value time.Duration) int {
	if value <= shortestRun {
		return 0
	}
	bin := int(math.Log(float64(value)/float64(shortestRun)) / logBinRatio)
	return min(bin, binCount-1)
}

// valueOf returns the geometric mean of the bounds of a bin.
func valueOf(bin int) time.Duration {
	return time.Duration(float64(shortestRun) * math.Pow(binRatio, float64(bin)+0.5))
}
