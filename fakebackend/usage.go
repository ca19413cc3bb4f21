package fakebackend

import (
	"sort"
	"time"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/forwarder"
)

// UsageReport returns the state of the server as it was one usage lag before now.
func (s *State) UsageReport(now time.Time) forwarder.UsageReport {
	s.advance(now)
	sampledAt := now.Add(-s.lag)
	var report forwarder.UsageReport
	for _, past := range s.history {
		if past.SampledAt.After(sampledAt) {
			break
		}
		report = past
	}
	report.SampledAt = sampledAt
	report.Leaving = s.faults.Mode == Leaving
	return report
}

// recordHistory appends the current state to the history and drops the entries that no report needs any more. The new
// entry shares the task reports of the previous one unless the tasks have changed.
func (s *State) recordHistory(now time.Time, tasksChanged bool) {
	entry := forwarder.UsageReport{SampledAt: now, BusySlots: len(s.runs), Connections: s.counters.Connections}
	last := len(s.history) - 1
	if last >= 0 {
		entry.Tasks, entry.Used = s.history[last].Tasks, s.history[last].Used
	}
	if tasksChanged {
		entry.Tasks, entry.Used = s.taskReports()
	}
	s.history = append(s.history, entry)
	oldest := now.Add(-s.lag)
	for len(s.history) > 1 && !s.history[1].SampledAt.After(oldest) {
		s.history = s.history[1:]
	}
}

func (s *State) taskReports() ([]forwarder.TaskReport, describer.Resources) {
	var used describer.Resources
	reports := make([]forwarder.TaskReport, 0, len(s.tasks))
	for _, known := range s.tasks {
		reports = append(reports, known.report)
		used = used.Plus(known.report.Used)
	}
	sort.Slice(reports, func(i, j int) bool {
		a, b := reports[i].Task, reports[j].Task
		return a.Job < b.Job || a.Job == b.Job && a.Index < b.Index
	})
	return reports, used
}
