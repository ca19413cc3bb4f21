package measurer

import (
	"fmt"
)

const (
	maxUrgentRatio   = 1.2
	maxBlockingRatio = 1.5
	minSlotUse       = 0.97
	minGoodput       = 0.95
)

// targets compares the figures with the targets. A target is met if the seed with the worst figure meets it.
func (r *requestResults) targets() Table {
	table := Table{
		Title:   "Targets",
		Notes:   []string{"Each figure is the median / worst of the seeds; a target is met when the worst seed meets it."},
		Columns: []string{"target", "deployment", "load", "figure", "verdict"},
	}
	for _, topology := range requestTopologies() {
		for _, load := range requestLoads() {
			r.targetsOf(&table, requestRun{topology: topology.name, load: load.name, variant: chosenPolicy.name})
		}
	}
	brokenGuarantees := 0
	for _, tally := range r.runs {
		brokenGuarantees += tally.brokenGuarantees()
	}
	table.add("lost, doubled, over capacity, \"not run\" yet run: 0", "both", fmt.Sprintf("all %d runs", len(r.runs)), brokenGuarantees, verdict(brokenGuarantees == 0))
	return table
}

// targetsOf adds the rows of the targets that apply to the load of a run.
func (r *requestResults) targetsOf(table *Table, run requestRun) {
	switch run.load {
	case "steady 0.9", "swing 4x in 2 s", "stragglers 20x":
		ratio := lowerIsBetter(r.perSeed(run, r.ratioTo(urgentAlone)))
		table.add("Urgent wait p99 to Urgent alone at most 1.2", run.topology, run.load, ratio.ratio(), verdict(ratio.worst <= maxUrgentRatio))
	case "stragglers 100x":
		ratio := lowerIsBetter(r.perSeed(run, r.ratioTo(shortAlone)))
		table.add("head-of-line blocking p99 at most 1.5", run.topology, run.load, ratio.ratio(), verdict(ratio.worst <= maxBlockingRatio))
	case "overload 3x":
		goodput := higherIsBetter(r.perSeed(run, func(t *requestTally, _ requestRun) float64 { return t.goodput() }))
		table.add("goodput at 3x at least 0.95", run.topology, run.load, goodput.share(), verdict(goodput.worst >= minGoodput))
	}
	use := higherIsBetter(r.perSeed(run, func(t *requestTally, _ requestRun) float64 { return t.use.share() }))
	table.add("slot use while queues are not empty at least 0.97", run.topology, run.load, use.share(), verdict(use.worst >= minSlotUse))
}

func verdict(met bool) string {
	if met {
		return "met"
	}
	return "missed"
}
