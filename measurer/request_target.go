package measurer

import (
	"fmt"
)

const (
	mostUrgentRatio = 1.2
	mostBlocking    = 1.5
	leastSlotUse    = 0.97
	leastGoodput    = 0.95
)

// targets compares the figures with the targets. A target is met when the worst seed meets it.
func (r *requestResults) targets() Table {
	table := Table{
		Title:   "Targets",
		Notes:   []string{"Each figure is the median / worst of the seeds; a target is met when the worst seed meets it."},
		Columns: []string{"target", "deployment", "load", "figure", "verdict"},
	}
	for _, shape := range requestShapes() {
		for _, load := range requestLoads() {
			r.targetsOf(&table, requestRun{shape: shape.name, load: load.name, variant: chosenPolicy.name})
		}
	}
	broken := 0
	for _, tally := range r.runs {
		broken += tally.broken()
	}
	table.add("lost, doubled, over capacity, \"not run\" yet run: 0", "both", fmt.Sprintf("all %d runs", len(r.runs)), broken, verdict(broken == 0))
	return table
}

func (r *requestResults) targetsOf(table *Table, run requestRun) {
	switch run.load {
	case "steady 0.9", "swing 4x in 2 s", "stragglers 20x":
		ratio := lowIsGood(r.each(run, r.ratioTo(urgentAlone)))
		table.add("Urgent wait p99 to Urgent alone at most 1.2", run.shape, run.load, ratio.ratio(), verdict(ratio.worst <= mostUrgentRatio))
	case "stragglers 100x":
		ratio := lowIsGood(r.each(run, r.ratioTo(shortAlone)))
		table.add("head-of-line blocking p99 at most 1.5", run.shape, run.load, ratio.ratio(), verdict(ratio.worst <= mostBlocking))
	case "overload 3x":
		goodput := highIsGood(r.each(run, func(t *requestTally, _ requestRun) float64 { return t.goodput() }))
		table.add("goodput at 3x at least 0.95", run.shape, run.load, goodput.share(), verdict(goodput.worst >= leastGoodput))
	}
	use := highIsGood(r.each(run, func(t *requestTally, _ requestRun) float64 { return t.use.share() }))
	table.add("slot use while queues are not empty at least 0.97", run.shape, run.load, use.share(), verdict(use.worst >= leastSlotUse))
}

func verdict(met bool) string {
	if met {
		return "met"
	}
	return "missed"
}
