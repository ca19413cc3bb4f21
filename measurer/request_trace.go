package measurer

import (
	"fmt"

	"egretring.example/egretring/describer"
)

// traceTable shows why slots are idle while requests wait, and what Urgent requests wait for.
func (r *requestResults) traceTable(shape requestShape) Table {
	table := Table{
		Title: fmt.Sprintf("%s: trace of the waits with the chosen policy", shape.name),
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
		r.traceRow(&table, requestRun{shape: shape.name, load: load.name, variant: chosenPolicy.name})
	}
	return table
}

func (r *requestResults) traceRow(table *Table, run requestRun) {
	cells := []any{run.load}
	for _, class := range describer.Classes() {
		idle := r.each(run, func(t *requestTally, _ requestRun) float64 { return t.use.idleShare(class) })
		cells = append(cells, lowIsGood(idle).share())
	}
	for _, class := range describer.Classes() {
		held := r.each(run, func(t *requestTally, _ requestRun) float64 { return t.use.heldShare(class) })
		cells = append(cells, lowIsGood(held).share())
	}
	table.add(cells...)
}
