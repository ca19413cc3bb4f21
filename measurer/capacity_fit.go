package measurer

import (
	"fmt"
	"math"
	"runtime"
	"strings"
	"time"
)

// fit is the least-squares line through the figures of several sizes.
type fit struct {
	slope     float64
	intercept float64
	// worst is the largest error of the line relative to the measured figure.
	worst float64
}

// fitLine fits a line to the figures by least squares. The sizes must hold at least two different values.
func fitLine(sizes, figures []float64) fit {
	n := float64(len(sizes))
	var sumX, sumY, sumXX, sumXY float64
	for i, x := range sizes {
		sumX += x
		sumY += figures[i]
		sumXX += x * x
		sumXY += x * figures[i]
	}
	line := fit{slope: (n*sumXY - sumX*sumY) / (n*sumXX - sumX*sumX)}
	line.intercept = (sumY - line.slope*sumX) / n
	for i, x := range sizes {
		if figures[i] != 0 {
			line.worst = max(line.worst, math.Abs(line.at(x)-figures[i])/math.Abs(figures[i]))
		}
	}
	return line
}

func (f fit) at(size float64) float64 {
	return f.intercept + f.slope*size
}

// sweep is one figure measured at several sizes.
type sweep struct {
	figure string
	// size names what the size counts.
	size  string
	sizes []int
	// today and later are the present size and the size expected in two years, at which the line is evaluated.
	today   int
	later   int
	measure func(size int) float64
}

// run measures the figure at each size and adds a row with the figures and the fitted line to a table.
func (s sweep) run(table *Table) {
	xs, ys := make([]float64, len(s.sizes)), make([]float64, len(s.sizes))
	var texts []string
	for i, size := range s.sizes {
		xs[i], ys[i] = float64(size), s.measure(size)
		texts = append(texts, fmt.Sprintf("%d: %.4g", size, ys[i]))
	}
	line := fitLine(xs, ys)
	table.add(s.figure, s.size, strings.Join(texts, ", "), line.slope, line.intercept,
		fmt.Sprintf("%.0f%%", 100*line.worst),
		fmt.Sprintf("%.4g at %d", line.at(float64(s.today)), s.today),
		fmt.Sprintf("%.4g at %d", line.at(float64(s.later)), s.later))
}

// microsecondsEach returns the mean processor time of a run in microseconds, garbage collection included. A tenth as
// many runs are made first as a warm-up. Processor time depends less than wall time on the other load of the machine.
func microsecondsEach(runs int, run func(i int)) float64 {
	warmUp := runs / 10
	for i := range warmUp {
		run(i)
	}
	runtime.GC()
	before := cpuTime()
	for i := range runs {
		run(warmUp + i)
	}
	return float64(cpuTime()-before) / float64(time.Microsecond) / float64(runs)
}

// heapBytes returns by how many bytes the live heap grows with the value that build returns.
func heapBytes(build func() any) float64 {
	before := liveBytes()
	built := build()
	after := liveBytes()
	runtime.KeepAlive(built)
	return float64(after) - float64(before)
}

// liveBytes returns the size of the heap after garbage collection.
func liveBytes() uint64 {
	// The second collection frees objects that finalizers and pools kept alive in the first.
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
