package measurer

import (
	"fmt"
	"math"
	"slices"

	"egretring.example/egretring/describer"
)

// noFigure is printed instead of a wait when no request ran.
const noFigure = "none ran"

// seedSpread is the median and the worst value of the seeds.
type seedSpread struct {
	median float64
	worst  float64
}

// lowerIsBetter returns the median and the largest value.
func lowerIsBetter(values []float64) seedSpread {
	sorted := slices.Sorted(slices.Values(values))
	return seedSpread{median: sorted[len(sorted)/2], worst: sorted[len(sorted)-1]}
}

// higherIsBetter returns the median and the smallest value.
func higherIsBetter(values []float64) seedSpread {
	sorted := slices.Sorted(slices.Values(values))
	return seedSpread{median: sorted[len(sorted)/2], worst: sorted[0]}
}

func (s seedSpread) milliseconds() string {
	if math.IsNaN(s.median) {
		return noFigure
	}
	return fmt.Sprintf("%.4g / %.4g", 1000*s.median, 1000*s.worst)
}

func (s seedSpread) share() string {
	return fmt.Sprintf("%.3f / %.3f", s.median, s.worst)
}

func (s seedSpread) ratio() string {
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

// requestColumns returns the column heads of the cells that row adds.
func requestColumns(first string) []string {
	columns := []string{first}
	for _, class := range describer.Classes() {
		for _, quantile := range waitQuantiles {
			columns = append(columns, fmt.Sprintf("%s %s ms", class, quantile.name))
		}
	}
	return append(columns, "goodput", "refused", "slot use while queued", "head-of-line p99 ratio", "broken guarantees")
}

// row adds the figures of a run to a table.
func (r *requestResults) row(table *Table, name string, run requestRun) {
	cells := []any{name}
	for _, class := range describer.Classes() {
		for i := range waitQuantiles {
			values := r.perSeed(run, func(t *requestTally, _ requestRun) float64 { return waitOf(t, class, i) })
			cells = append(cells, lowerIsBetter(values).milliseconds())
		}
	}
	cells = append(cells,
		higherIsBetter(r.perSeed(run, func(t *requestTally, _ requestRun) float64 { return t.goodput() })).share(),
		lowerIsBetter(r.perSeed(run, func(t *requestTally, _ requestRun) float64 { return t.refusedShare() })).share(),
		higherIsBetter(r.perSeed(run, func(t *requestTally, _ requestRun) float64 { return t.use.share() })).share(),
		lowerIsBetter(r.perSeed(run, r.ratioTo(shortAlone))).ratio(),
		r.brokenGuaranteesIn(run),
	)
	table.add(cells...)
}

// brokenGuaranteesIn returns the number of broken guarantees of a run in all seeds.
func (r *requestResults) brokenGuaranteesIn(run requestRun) int {
	sum := 0
	for _, seed := range r.seeds {
		run.seed = seed
		sum += r.runs[run].brokenGuarantees()
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
	for _, topology := range requestTopologies() {
		tables = append(tables, results.loadTable(topology), results.traceTable(topology))
		if options.ChosenOnly {
			continue
		}
		for _, load := range comparisonLoads {
			tables = append(tables, results.comparisonTable(topology, load))
		}
	}
	return tables, nil
}

func (r *requestResults) loadTable(topology requestTopology) Table {
	table := Table{
		Title: fmt.Sprintf("%s: loads with the chosen policy", topology.name),
		Notes: []string{fmt.Sprintf(
			"Each cell is the median / worst of the seeds. Waits last from the sending by the caller to the begin of the "+
				"first run, so they include the one-way delay of %s to callers; requests that never ran have none. The first "+
				"%s of %s are left out.", topology.toCaller, requestWarmUp, requestDuration)},
		Columns: requestColumns("load"),
	}
	for _, load := range requestLoads() {
		r.row(&table, load.name, requestRun{topology: topology.name, load: load.name, variant: chosenPolicy.name})
	}
	return table
}

func (r *requestResults) comparisonTable(topology requestTopology, load string) Table {
	table := Table{
		Title:   fmt.Sprintf("%s: policies at the load %q", topology.name, load),
		Columns: requestColumns("policy"),
	}
	for _, variant := range requestVariants() {
		if !variant.measuredAt(load) {
			continue
		}
		r.row(&table, variant.name, requestRun{topology: topology.name, load: load, variant: variant.name})
	}
	return table
}
