package ticketer_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/ticketer"
)

// twoYearState returns a state with the 160,000 jobs of one day and the teams of the size expected in two years.
func twoYearState() ticketer.State {
	var state ticketer.State
	for i := range 160_000 {
		id := describer.JobID(fmt.Sprintf("job-%06d", i))
		state = state.WithJob(id, &describer.Job{
			ID: id, Team: describer.TeamID(fmt.Sprintf("team-%03d", i%360)), Class: describer.Standard,
			Policy: describer.BatchJob, Tasks: 10, PerTask: describer.Resources{MilliCores: 1000, MemoryBytes: 1 << 30},
		})
	}
	return state
}

// BenchmarkTwoYearSize measures the cost of handling one ticket and of encoding one snapshot at 160,000 jobs.
func BenchmarkTwoYearSize(b *testing.B) {
	state := twoYearState()
	job, _ := state.Job("job-000077")
	job.Tasks++
	ticket := ticketer.Ticket{ID: "t", Jobs: map[describer.JobID]*describer.Job{job.ID: &job}}
	b.Run("Apply", func(b *testing.B) {
		for b.Loop() {
			_, _ = ticketer.Apply(state, ticketer.AcceptedTicket{Number: 1, Ticket: ticket})
		}
	})
	b.Run("Check", func(b *testing.B) {
		for b.Loop() {
			_ = ticketer.Check(state, ticket)
		}
	})
	b.Run("DiffTicket", func(b *testing.B) {
		for b.Loop() {
			_ = ticketer.DiffTicket(state, ticket)
		}
	})
	b.Run("Snapshot", func(b *testing.B) {
		var encoded []byte
		for b.Loop() {
			encoded, _ = json.Marshal(state.Snapshot())
		}
		b.ReportMetric(float64(len(encoded)), "bytes")
	})
}
