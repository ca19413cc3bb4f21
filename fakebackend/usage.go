package fakebackend

import (
	"sort"
	"time"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/forwarder"
)

// sampleInterval is the shortest time between two samples, so that a busy server does not sample at each request.
const sampleInterval = 50 * time.Millisecond

// UsageReport returns the state of the server as it was before the lag.
func (s *State) UsageReport(now time.Time) forwarder.UsageReport {
	s.advance(now)
	oldest := now.Add(-s.lag)
	if len(s.samples) == 0 || !s.changedAt.After(oldest) {
		return s.current(oldest)
	}
	report := s.samples[0]
	for _, sample := range s.samples {
		if !sample.SampledAt.After(oldest) {
			report = sample
		}
	}
	return report
}

// sample is called before each change. It records the state that has held until now, and drops samples that no report
// needs any more.
func (s *State) sample(now time.Time) {
	s.changedAt = now
	last := len(s.samples) - 1
	if last >= 0 && now.Before(s.samples[last].SampledAt.Add(sampleInterval)) {
		return
	}
	s.samples = append(s.samples, s.current(now))
	oldest := now.Add(-s.lag)
	for len(s.samples) > 1 && !s.samples[1].SampledAt.After(oldest) {
		s.samples = s.samples[1:]
	}
}

func (s *State) current(now time.Time) forwarder.UsageReport {
	report := forwarder.UsageReport{
		SampledAt:   now,
		BusySlots:   len(s.runs),
		Connections: s.counters.Connections,
	}
	var used describer.Resources
	for _, known := range s.tasks {
		report.Tasks = append(report.Tasks, known.report)
		used = used.Plus(known.report.Used)
	}
	report.Used = used
	sort.Slice(report.Tasks, func(i, j int) bool {
		a, b := report.Tasks[i].Task, report.Tasks[j].Task
		return a.Job < b.Job || a.Job == b.Job && a.Index < b.Index
	})
	return report
}
