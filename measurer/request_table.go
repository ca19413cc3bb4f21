package measurer

import (
	"fmt"
	"math"
	"slices"

	"egretring.example/egretring/describer"
)

// noFigure stands for a wait when no request ran.
const noFigure = "none ran"

// spreadOf is the median and the worst of the seeds.
type spreadOf struct {
	median float64
	worst  float64
}

// lowIsGood and highIsGood return the median and the worst of values of which the smallest or largest is best.
func lowIsGood(values []float64) spreadOf {
	sorted := slices.Sorted(slices.Values(values))
	return spreadOf{median: sorted[len(sorted)/2], worst: sorted[len(sorted)-1]}
}

func highIsGood(values []float64) spreadOf {
	sorted := slices.Sorted(slices.Values(values))
	return spreadOf{median: sorted[len(sorted)/2], worst: sorted[0]}
}

func (s spreadOf) milliseconds() string {
	if math.IsNaN(s.median) {
		return noFigure
	}
	return fmt.Sprintf("%.4g / %.4g", 1000*s.median, 1000*s.worst)
}

func (s spreadOf) share() string {
	return fmt.Sprintf("%.3f / %.3f", s.median, s.worst)
}

func (s spreadOf) ratio() string {
	if math.IsNaN(s.median) {
		return noFigure
	}
	return fmt.Sprintf("%.2f / %.2f", s.median, s.worst)
}

var waitQuantiles = [...]struct {
	name string
	q    float64
}{{"p50", 0.5}, {"p99", 0.99}, {"p99.9", 0.999}}

// p99 is the index of the 99th percentile in waitQuantiles.
const p99 = 1

// waitOf returns one of the waitQuantiles of a class in seconds.
func waitOf(tally *requestTally, class describer.Class, index int) float64 {
	if tally.begun[class] == 0 {
		return math.NaN()
	}
	return tally.quantiles[class][index].Seconds()
}

// ratioTo returns the 99th percentile of the wait of Urgent requests divided by that of a reference load.
func (r *requestResults) ratioTo(only restriction) func(*requestTally, requestRun) float64 {
	return func(tally *requestTally, run requestRun) float64 {
		run.only, run.variant = only, chosenPolicy.name
		return waitOf(tally, describer.Urgent, p99) / waitOf(r.runs[run], describer.Urgent, p99)
	}
}

func requestColumns(first string) []string {
	columns := []string{first}
	for _, class := range describer.Classes() {
		for _, quantile := range waitQuantiles {
			columns = append(columns, fmt.Sprintf("%s %s ms", class, quantile.name))
		}
	}
	return append(columns, "goodput", "refused", "slot use while queued", "head-of-line p99 ratio", "broken guarantees")
}

func (r *requestResults) row(table *Table, name string, run requestRun) {
	cells := []any{name}
	for _, class := range describer.Classes() {
		for i := range waitQuantiles {
			values := r.each(run, func(t *requestTally, _ requestRun) float64 { return waitOf(t, class, i) })
			cells = append(cells, lowIsGood(values).milliseconds())
		}
	}
	cells = append(cells,
		highIsGood(r.each(run, func(t *requestTally, _ requestRun) float64 { return t.goodput() })).share(),
		lowIsGood(r.each(run, func(t *requestTally, _ requestRun) float64 { return t.refusedShare() })).share(),
		highIsGood(r.each(run, func(t *requestTally, _ requestRun) float64 { return t.use.share() })).share(),
		lowIsGood(r.each(run, r.ratioTo(shortAlone))).ratio(),
		r.brokenIn(run),
	)
	table.add(cells...)
}

// brokenIn sums the broken guarantees over the seeds.
func (r *requestResults) brokenIn(run requestRun) int {
	sum := 0
	for _, seed := range r.seeds {
		run.seed = seed
		sum += r.runs[run].broken()
	}
	return sum
}

// MeasureRequests measures the request path for each seed.
func MeasureRequests(options RequestOptions) ([]Table, error) {
	results, err := runAll(options.Seeds, planRequests(options), options.Workers)
	if err != nil {
		return nil, err
	}
	tables := []Table{results.targets()}
	for _, shape := range requestShapes() {
		tables = append(tables, results.loadTable(shape), results.traceTable(shape))
		if options.ChosenOnly {
			continue
		}
		for _, load := range partLoads {
			tables = append(tables, results.partTable(shape, load))
		}
	}
	return tables, nil
}

func (r *requestResults) loadTable(shape requestShape) Table {
	table := Table{
		Title: fmt.Sprintf("%s: loads with the chosen policy", shape.name),
		Notes: []string{fmt.Sprintf(
			"Each cell is the median / worst of the seeds. Waits last from the sending by the caller to the begin of the "+
				"first run, so they include the one-way delay of %s to callers; requests that never ran have none. The first "+
				"%s of %s are left out.", shape.toCaller, requestWarmUp, requestDuration)},
		Columns: requestColumns("load"),
	}
	for _, load := range requestLoads() {
		r.row(&table, load.name, requestRun{shape: shape.name, load: load.name, variant: chosenPolicy.name})
	}
	return table
}

func (r *requestResults) partTable(shape requestShape, load string) Table {
	table := Table{
		Title:   fmt.Sprintf("%s: policies at the load %q", shape.name, load),
		Columns: requestColumns("policy"),
	}
	for _, variant := range requestVariants() {
		if !variant.measuredAt(load) {
			continue
		}
		r.row(&table, variant.name, requestRun{shape: shape.name, load: load, variant: variant.name})
	}
	return table
}
