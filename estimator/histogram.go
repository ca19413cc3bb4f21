package estimator

import (
	"math"
	"time"
)

const (
	// binCount bins of ratio binRatio from shortestRun upwards reach beyond one day.
	binCount    = 96
	binRatio    = 1.25
	shortestRun = 100 * time.Microsecond
	// rescaleAt bounds the weight of a sample, so that sums keep their precision.
	rescaleAt = 1e9
)

var logBinRatio = math.Log(binRatio)

// histogram counts durations in logarithmic bins. Each sample weighs more than the one before it, so that the weight
// of old samples decays without a clock.
type histogram struct {
	weights [binCount]float64
	total   float64
	sum     float64
	growth  float64
	next    float64
	samples int
}

// newHistogram returns an empty histogram that remembers about memory samples.
func newHistogram(memory int) histogram {
	return histogram{growth: 1 + 1/float64(memory), next: 1}
}

func (h *histogram) add(value time.Duration) {
	h.weights[binOf(value)] += h.next
	h.total += h.next
	h.sum += h.next * value.Seconds()
	h.next *= h.growth
	h.samples++
	if h.next > rescaleAt {
		h.rescale()
	}
}

func (h *histogram) rescale() {
	for i := range h.weights {
		h.weights[i] /= h.next
	}
	h.total /= h.next
	h.sum /= h.next
	h.next = 1
}

// quantile returns the duration below which the given share of the samples lies, within one bin.
func (h *histogram) quantile(share float64) time.Duration {
	wanted := share * h.total
	sum := 0.0
	for i, weight := range h.weights {
		sum += weight
		if weight > 0 && sum >= wanted {
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

// valueOf returns the geometric middle of a bin.
func valueOf(bin int) time.Duration {
	return time.Duration(float64(shortestRun) * math.Pow(binRatio, float64(bin)+0.5))
}
