package measurer

import (
	"fmt"

	"egretring.example/egretring/describer"
)

// traceTable shows which class is waiting while slots are idle, and which classes hold the slots while Urgent requests
// wait.
func (r *requestResults) traceTable(topology requestTopology) Table {
	table := Table{
		Title: fmt.Sprintf("%s: trace of the waits with the chosen policy", topology.name),
		Notes: []string{
			"Idle: share of an instance's slots that are idle while the class is the most urgent one waiting there. Held: " +
				"share of the class in the slots that an Urgent request found busy when it had to wait.",
		},
		Columns: []string{"load"},
	}
	for _, class := range describer.Classes() {
		table.Columns = append(table.Columns, fmt.Sprintf("idle, %s waits", class))
	}
	for _, class := range describer.Classes() {
		table.Columns = append(table.Columns, fmt.Sprintf("held by %s", class))
	}
	for _, load := range requestLoads() {
		r.traceRow(&table, requestRun{topology: topology.name, load: load.name, variant: chosenPolicy.name})
	}
	return table
}

func (r *requestResults) traceRow(table *Table, run requestRun) {
	cells := []any{run.load}
	for _, class := range describer.Classes() {
		idle := r.perSeed(run, func(t *requestTally, _ requestRun) float64 { return t.use.idleShare(class) })
		cells = append(cells, lowerIsBetter(idle).share())
	}
	for _, class := range describer.Classes() {
		held := r.perSeed(run, func(t *requestTally, _ requestRun) float64 { return t.use.heldShare(class) })
		cells = append(cells, lowerIsBetter(held).share())
	}
	table.add(cells...)
}
